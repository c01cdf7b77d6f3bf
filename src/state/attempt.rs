//! How one call to an endpoint ended.

use std::time::Duration;

/// The end of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// The request no longer needs the attempt.
    Cancelled,
    /// The endpoint answered in full.
    Done { tokens: u32 },
    /// The endpoint failed, or the connection broke after the first byte.
    Failed,
    /// The endpoint refused before it ran anything, or no byte was sent.
    NotRun { leaving: bool },
    /// No whole answer within the attempt's timeout.
    TimedOut,
}

/// The end of an attempt and the time it took.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    pub elapsed: Duration,
    pub end: End,
}
