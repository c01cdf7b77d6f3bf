//! Interfaces that the adapter to a platform implements.
//!
//! Only the implementations contain the platform's names. They decode and
//! encode; every decision is made on the types here.

use {
    crate::state::{
        fleet::record::Record,
        serving::{
            batch::Item, config::Config, mirror::Changes, pace::Load, piece, revision::Revision,
            roster::Entry,
        },
    },
    hyper::{HeaderMap, StatusCode, http::request},
    snafu::Snafu,
    std::time::Duration,
};

/// A field of a message whose value cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[snafu(display("{field} is {value:?}, expected {expected}"))]
pub struct Fault {
    pub expected: String,
    pub field: String,
    pub value: String,
}

impl Fault {
    /// Builds a fault from a field, its value and the expected form.
    pub fn new(field: &str, value: impl Into<String>, expected: &str) -> Self {
        Self {
            expected: expected.into(),
            field: field.into(),
            value: value.into(),
        }
    }
}

/// A part of a prompt and its length in tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    pub id: String,
    pub tokens: u64,
}

/// Prompt and maximum output of a request to a model engine, in tokens.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// The caller's estimate of the output tokens.
    pub length_hint: Option<u64>,
    pub max_output_tokens: u64,
    pub parts: Vec<Part>,
    pub tokens: u64,
}

/// Metadata of a caller's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Call {
    /// The caller's id of this attempt.
    pub attempt: Option<String>,
    /// Time that the caller waits, counted from when it sent the request.
    pub deadline: Option<Duration>,
    pub key: Option<String>,
    /// Id of the last event that the caller received of an interrupted stream.
    pub last_event: Option<String>,
    /// Key of the input of the first stages' pieces.
    pub piece_key: Option<String>,
    /// Number of pieces of each stage.
    pub pieces: Vec<usize>,
    pub prompt: Option<Prompt>,
}

/// Values that are added to a request when it is forwarded to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// Id of the endpoint that the request is for; any other one refuses it.
    pub endpoint: &'a str,
    /// Outputs of the last stages, which are the inputs of the request.
    pub inputs: &'a [String],
    pub last_event: Option<&'a str>,
    /// Priority of the request; 0 is served first.
    pub priority: Option<u8>,
    pub remaining: Duration,
    pub team: Option<&'a str>,
}

/// Metadata of an endpoint's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// Id of the attempt that the answer states.
    pub attempt: Option<String>,
    /// The endpoint closes the connection.
    pub closing: bool,
    /// An input of the request no longer exists; nothing has run.
    pub input_gone: bool,
    /// Time for which the endpoint keeps an idle connection.
    pub keep_alive: Option<Duration>,
    /// The endpoint accepts no new work, and ends soon.
    pub leaving: bool,
    /// Requests a second that the endpoint takes from all hosts together, while it
    /// names a number.
    pub limit: Option<f64>,
    /// The load that the endpoint reports, or what is wrong with the report.
    pub load: Option<Result<Load, Fault>>,
    /// The endpoint states that it has not run the request.
    pub not_run: bool,
    /// The answer carries the endpoint's proof.
    pub has_proof: bool,
    /// Another endpoint now uses the address; nothing has run.
    pub replaced: bool,
    /// Time for which the endpoint wants no requests from this host.
    pub retry_after: Option<Duration>,
}

/// A call to an endpoint: path and body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointCall {
    pub body: Vec<u8>,
    pub path: &'static str,
}

/// A caller's query for the addresses to use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AddressQuery {
    pub domain: Option<String>,
}

/// Translates between the platform's messages and the types of this crate.
pub trait Codec: Send + Sync {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a fault for a header that cannot be decoded.
    fn read_call(&self, head: &request::Parts) -> Result<Call, Fault>;

    /// Builds the headers of a request to an endpoint from the caller's.
    fn forward_headers(&self, caller: &HeaderMap, forward: &Forward) -> HeaderMap;

    /// Decodes the head of an endpoint's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> Answer;

    /// Builds the headers of an answer to a caller from an endpoint's.
    fn reply_headers(&self, endpoint: &HeaderMap) -> HeaderMap;

    /// Builds a call that runs pieces of a stage.
    fn piece_call(&self, items: &[Item]) -> EndpointCall;

    /// Builds the headers of a call with pieces.
    fn piece_headers(&self, endpoint: &str, remaining: Duration) -> HeaderMap;

    /// Decodes the answer to a call with pieces.
    ///
    /// # Errors
    ///
    /// Returns a fault for an answer that does not have one result per piece.
    fn piece_results(&self, body: &[u8], items: usize) -> Result<Vec<piece::Result>, Fault>;

    /// Builds a call that frees outputs.
    fn release_call(&self, handles: &[String]) -> EndpointCall;

    /// Decodes a query for addresses; returns `None` for any other path.
    fn address_query(&self, path: &str, query: &str) -> Option<AddressQuery>;

    /// Encodes the answer to a query for addresses, which callers may cache
    /// for the time `keep`.
    fn address_answer(&self, addresses: &[std::net::SocketAddr], keep: Duration) -> Vec<u8>;

    /// Returns the path of the readiness check.
    fn ready_path(&self) -> &'static str;
}

/// A kind of store objects that hosts watch.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    Config,
    Endpoints,
    /// Failure domains whose endpoints get no more work. Each is the name of an object.
    Evacuations,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Config, Self::Endpoints, Self::Evacuations];

    /// Returns the name of the kind in logs and in messages between hosts.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Endpoints => "endpoints",
            Self::Evacuations => "evacuations",
        }
    }
}

/// A failed request to the store.
#[derive(Debug)]
#[derive(Snafu)]
pub enum StoreError {
    /// The store no longer has the changes after the revision.
    #[snafu(display("the store no longer holds the changes after the revision"))]
    Compacted,
    #[snafu(display("the store is unavailable: {message}"))]
    Unavailable { message: String },
    #[snafu(display("the store's answer cannot be decoded: {message}"))]
    Unreadable { message: String },
}

/// How up to date a listing has to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Consistency {
    /// The listing holds every change that the store has accepted.
    Current,
    /// The listing may be some seconds old, for a tenth of the price.
    MayLag,
}

/// Client of the platform's store.
pub trait Store: Send + Sync {
    /// Lists the objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns an error if the listing is not complete.
    fn list(&self, kind: Kind, consistency: Consistency) -> Result<Changes, StoreError>;

    /// Waits for changes after a revision, at most for `wait` and for the time in
    /// the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer or no longer holds the
    /// changes.
    fn watch(&self, kind: Kind, revision: Revision, wait: Duration) -> Result<Changes, StoreError>;

    /// Decodes the configuration from the value of its object.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    fn config(&self, value: &[u8]) -> Result<Config, Fault>;

    /// Decodes an endpoint from the name and value of its object.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    fn endpoint(&self, name: &str, value: &[u8]) -> Result<Entry, Fault>;

    /// Returns the faults of those fields of an endpoint's object that are ignored if
    /// they cannot be decoded.
    fn ignored_faults(&self, _value: &[u8]) -> Vec<Fault> {
        Vec::new()
    }

    /// Registers this host, so that other hosts find it, and returns the era of the store
    /// that holds the record.
    ///
    /// # Errors
    ///
    /// Returns an error if the store did not accept the record.
    fn announce(&self, record: &Record) -> Result<u32, StoreError>;

    /// Lists the registered hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if the listing is not complete.
    fn hosts(&self, consistency: Consistency) -> Result<Vec<Record>, StoreError>;
}
