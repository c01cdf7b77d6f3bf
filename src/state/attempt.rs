//! The result of one call to an endpoint.

use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// The request no longer needs the attempt.
    Cancelled,
    /// The endpoint returned a complete answer.
    Done { tokens: u32 },
    /// The endpoint failed, or the connection broke after the first byte.
    Failed,
    /// The endpoint refused the call before running it, or no byte was sent.
    /// `leaving` is set if the endpoint reported that it is leaving.
    NotRun { leaving: bool },
    /// No complete answer arrived within the attempt's timeout.
    TimedOut,
}

/// How an attempt ended and how long it took.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    pub elapsed: Duration,
    pub end: End,
}
