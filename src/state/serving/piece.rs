//! Pieces of stages: the jobs that hosts pass to a pool's dispatcher, and
//! what comes of them.

use {crate::state::id, std::time::Duration};

/// What a piece works on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// The key that the caller gave.
    Key(String),
    /// Outputs of earlier stages.
    Outputs(Vec<String>),
}

/// Identifies a job in the fleet.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId {
    pub home: id::Host,
    pub number: u64,
}

/// The pieces of one stage of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Failure domain in which the inputs are, or the outputs will be used, if
    /// it is known.
    pub domain: Option<id::Domain>,
    /// Whether no stage of the request has run yet, so that it may be
    /// refused.
    pub first: bool,
    pub id: JobId,
    pub input: Input,
    /// Expected size of one output.
    pub output_bytes: u64,
    pub pieces: Vec<u16>,
    pub priority: u8,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// The caller's id of the request.
    pub request: String,
    pub service: id::Pool,
    pub stage: u16,
    /// Time until the stage has to start for the request to meet its goal.
    pub urgency: Duration,
}

/// A finished piece.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Output {
    pub endpoint: id::Endpoint,
    pub handle: String,
    pub piece: u16,
}

/// Why a job has no outputs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The job was given up by its home.
    Cancelled,
    /// Pieces failed more often than the budget covers.
    Failed,
    /// An input no longer exists.
    InputGone,
    /// The deadline passed.
    Late,
    /// The pool has more work than it can do in time; nothing has run.
    Overloaded,
    /// No dispatcher could be reached.
    Unreachable,
}

impl Failure {
    /// Every failure, for decoding.
    pub const ALL: [Self; 6] = [
        Self::Cancelled,
        Self::Failed,
        Self::InputGone,
        Self::Late,
        Self::Overloaded,
        Self::Unreachable,
    ];

    /// Returns the failure's name in messages and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::Failed => "failed",
            Self::InputGone => "input_gone",
            Self::Late => "late",
            Self::Overloaded => "overloaded",
            Self::Unreachable => "unreachable",
        }
    }
}

/// What came of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Expected time until a new piece would start.
    pub backlog: Duration,
    /// Outputs in the order of pieces; all of them if there is no failure.
    pub outputs: Vec<Output>,
    pub failure: Option<Failure>,
    /// When a refused request may come back.
    pub retry_after: Duration,
}

/// What an endpoint says of one piece.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Result {
    Done(String),
    /// An endpoint's error.
    Failed,
    InputGone,
    Late,
    /// No room for the output.
    NoSpace,
}
