//! Pieces of stages: the jobs that hosts submit to a pool's dispatcher, and
//! their outcomes.

use {
    crate::state::id,
    snafu::{Snafu, ensure},
    std::{cell::Cell, collections::HashSet, time::Duration},
};

/// The input of a piece.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// The key from the caller's request.
    Key(String),
    /// Handles of the outputs of earlier stages.
    Outputs(Vec<String>),
}

/// Identifies a job across the fleet and across restarts of its home.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId {
    /// The host that received the request and submitted the job.
    pub home: id::Host,
    /// One of the home's [`Numbers`].
    pub number: u64,
}

/// The numbers of the jobs and prompts of one process.
///
/// A host keeps its name when it restarts, while other hosts still work for its
/// earlier process. The numbers start at random, so that those of two processes
/// differ.
#[derive(Debug)]
pub struct Numbers(Cell<u64>);

impl Numbers {
    /// Returns the numbers from `first` on.
    pub const fn starting_at(first: u64) -> Self {
        Self(Cell::new(first))
    }

    /// Returns a number that was not returned before.
    pub fn next(&self) -> u64 {
        let number = self.0.get();
        self.0.set(number.wrapping_add(1));
        number
    }
}

/// The pieces of one stage of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Failure domain that holds the inputs, or in which the outputs will be
    /// used, if known.
    pub domain: Option<id::Domain>,
    /// Whether no stage of the request has run yet, so that the request may
    /// still be refused.
    pub first: bool,
    pub id: JobId,
    pub input: Input,
    /// Expected size of one output, in bytes.
    pub output_bytes: u64,
    pub pieces: Vec<u16>,
    /// Priority of the request. Lower values run first.
    pub priority: u8,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Id of the request, as given by the caller.
    pub request: String,
    pub service: id::Pool,
    pub stage: u16,
    /// Team of the request, if it has one.
    pub team: Option<id::Team>,
    /// Time until the latest start at which the request can meet its goal.
    pub urgency: Duration,
}

impl Job {
    /// Checks that an outcome without a failure has one output for each piece of
    /// the job, in their order.
    ///
    /// # Errors
    ///
    /// Returns how the outcome differs from what the job asked for.
    pub fn check(&self, outcome: &Outcome) -> std::result::Result<(), Mismatch> {
        if outcome.failure.is_some() {
            return Ok(());
        }

        let outputs = outcome.outputs.len();
        let pieces = self.pieces.len();
        ensure!(outputs == pieces, CountSnafu { outputs, pieces });
        let mut handles = HashSet::new();

        for (output, &expected) in outcome.outputs.iter().zip(&self.pieces) {
            let piece = output.piece;
            ensure!(piece == expected, PieceSnafu { expected, piece });
            let is_new = handles.insert(&output.handle);
            ensure!(is_new, RepeatedSnafu { piece });
        }

        Ok(())
    }
}

/// How an outcome differs from what its job asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Snafu)]
pub enum Mismatch {
    #[snafu(display("{outputs} outputs, expected one for each of {pieces} pieces"))]
    Count { outputs: usize, pieces: usize },
    #[snafu(display("output of piece {piece}, expected that of piece {expected}"))]
    Piece { expected: u16, piece: u16 },
    #[snafu(display("output of piece {piece} occurs twice"))]
    Repeated { piece: u16 },
}

/// The output of a finished piece.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Output {
    /// The endpoint that stores the output.
    pub endpoint: id::Endpoint,
    /// Identifies the output at the endpoint.
    pub handle: String,
    pub piece: u16,
}

/// The reason why a job has no outputs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The home of the job cancelled it.
    Cancelled,
    /// A piece used up its attempts.
    Failed,
    /// An input no longer exists.
    InputGone,
    /// The deadline passed.
    Late,
    /// The pool cannot finish the job before its deadline. Nothing has run.
    Overloaded,
    /// No dispatcher could be reached.
    Unreachable,
}

impl Failure {
    /// All failures, for decoding.
    pub const ALL: [Self; 6] = [
        Self::Cancelled,
        Self::Failed,
        Self::InputGone,
        Self::Late,
        Self::Overloaded,
        Self::Unreachable,
    ];

    /// Returns the name of the failure in messages and logs.
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

/// The outcome of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Expected time until a new piece would start.
    pub backlog: Duration,
    /// Outputs in the order of the pieces. Complete if there is no failure.
    pub outputs: Vec<Output>,
    pub failure: Option<Failure>,
    /// Time after which a refused request may be retried.
    pub retry_after: Duration,
}

/// The result of one piece, as reported by an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Result {
    /// The piece is done. Holds the handle of its output.
    Done(String),
    /// The endpoint reported an error.
    Failed,
    /// An input no longer exists.
    InputGone,
    /// The deadline passed.
    Late,
    /// The endpoint has no storage left for the output.
    NoSpace,
}
