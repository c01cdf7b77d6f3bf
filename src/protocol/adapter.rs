//! What the product asks of the folder that translates a platform's messages.
//!
//! The platform's names stand in the implementations only. They decode and
//! encode; every decision is made on the types here.

use {
    crate::state::serving::{batch::Item, config::Config, mirror::Changes, piece, roster::Entry},
    hyper::{HeaderMap, StatusCode, http::request},
    snafu::Snafu,
    std::time::Duration,
};

/// A message that cannot be used.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("{field} is {value:?}, expected {expected}"))]
pub struct Fault {
    pub expected: String,
    pub field: String,
    pub value: String,
}

impl Fault {
    /// Builds a fault.
    pub fn new(field: &str, value: impl Into<String>, expected: &str) -> Self {
        Self {
            expected: expected.into(),
            field: field.into(),
            value: value.into(),
        }
    }
}

/// A part of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    pub id: String,
    pub tokens: u64,
}

/// The work that a model engine is asked for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    pub max_output_tokens: u64,
    pub parts: Vec<Part>,
    pub tokens: u64,
}

/// What a caller's request says about itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Call {
    /// The caller's id of this attempt.
    pub attempt: Option<String>,
    /// How long the caller waits, counted from when it sent the request.
    pub deadline: Option<Duration>,
    pub key: Option<String>,
    /// Last event that the caller has of a stream that broke.
    pub last_event: Option<String>,
    /// Key of the first stages' pieces.
    pub piece_key: Option<String>,
    /// Pieces of each stage.
    pub pieces: Vec<usize>,
    pub prompt: Option<Prompt>,
}

/// What the product adds to a request that goes to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// The endpoint that is meant; any other one refuses.
    pub endpoint: &'a str,
    /// Outputs of the stages.
    pub inputs: &'a [String],
    pub last_event: Option<&'a str>,
    /// Rank of the request; 0 is served first.
    pub priority: Option<u8>,
    pub remaining: Duration,
    pub team: Option<&'a str>,
}

/// What an endpoint's answer says about itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// The attempt that the endpoint says it answers.
    pub attempt: Option<String>,
    /// Whether the endpoint leaves, or at least closes the connection.
    pub closing: bool,
    /// An input of the request no longer exists; nothing has run.
    pub input_gone: bool,
    /// Time for which the endpoint keeps an idle connection.
    pub keep_alive: Option<Duration>,
    /// The endpoint states that it has not run the request.
    pub not_run: bool,
    /// The endpoint's proof is there.
    pub has_proof: bool,
    /// Another endpoint has the address; nothing has run.
    pub replaced: bool,
}

/// A call to an endpoint: path and body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointCall {
    pub body: Vec<u8>,
    pub path: &'static str,
}

/// A caller's question which addresses to use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AddressQuery {
    pub domain: Option<String>,
}

/// Translates between the platform's messages and the product's types.
pub trait Codec: Send + Sync {
    /// Reads a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a fault for a header that cannot be read.
    fn read_call(&self, head: &request::Parts) -> Result<Call, Fault>;

    /// Builds the headers of a request to an endpoint from the caller's.
    fn forward_headers(&self, caller: &HeaderMap, forward: &Forward) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> Answer;

    /// Builds the headers of an answer to a caller from an endpoint's.
    fn reply_headers(&self, endpoint: &HeaderMap) -> HeaderMap;

    /// Builds a call with pieces of a stage.
    fn piece_call(&self, items: &[Item]) -> EndpointCall;

    /// Returns the headers of a call with pieces.
    fn piece_headers(&self, endpoint: &str, remaining: Duration) -> HeaderMap;

    /// Reads the answer to a call with pieces.
    ///
    /// # Errors
    ///
    /// Returns a fault for an answer that does not have one result a piece.
    fn piece_results(&self, body: &[u8], items: usize) -> Result<Vec<piece::Result>, Fault>;

    /// Builds a call that frees outputs.
    fn release_call(&self, handles: &[String]) -> EndpointCall;

    /// Reads the question which addresses to use; `None` for another path.
    fn address_query(&self, path: &str, query: &str) -> Option<AddressQuery>;

    /// Builds the answer to that question.
    fn address_answer(&self, addresses: &[std::net::SocketAddr], keep: Duration) -> Vec<u8>;

    /// Path that asks whether this host takes requests.
    fn ready_path(&self) -> &'static str;
}

/// A kind of the store's objects that hosts follow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    Config,
    Endpoints,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 2] = [Self::Config, Self::Endpoints];

    /// Returns the kind's name in logs and between hosts.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Endpoints => "endpoints",
        }
    }
}

/// Why the store gave no answer.
#[derive(Debug)]
#[derive(Snafu)]
pub enum StoreError {
    /// The store no longer has the changes after the revision.
    #[snafu(display("the store has dropped its history"))]
    Compacted,
    #[snafu(display("the store cannot be reached: {message}"))]
    Unavailable { message: String },
    #[snafu(display("the store's answer cannot be read: {message}"))]
    Unreadable { message: String },
}

/// The platform's store, as far as hosts follow it.
pub trait Store: Send + Sync {
    /// Lists the objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no whole listing.
    fn list(&self, kind: Kind) -> Result<Changes, StoreError>;

    /// Waits for changes after a revision, at most as long as the store lets
    /// a caller wait.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no answer, or the changes are gone.
    fn watch(&self, kind: Kind, revision: u64) -> Result<Changes, StoreError>;

    /// Reads the configuration in its object.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    fn config(&self, value: &[u8]) -> Result<Config, Fault>;

    /// Reads an endpoint in its object.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    fn endpoint(&self, name: &str, value: &[u8]) -> Result<Entry, Fault>;

    /// Makes this host known to the others under a name.
    ///
    /// # Errors
    ///
    /// Returns an error if the store did not take the record.
    fn announce(&self, host: &str, peer: std::net::SocketAddr) -> Result<(), StoreError>;

    /// Lists the peer addresses of the hosts that made themselves known.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no whole listing.
    fn hosts(&self) -> Result<Vec<std::net::SocketAddr>, StoreError>;
}
