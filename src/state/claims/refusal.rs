//! Why a request did not get an answer, and what that proves.

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::time::Duration,
};

/// What a refusal proves about the request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and failed; running it again is the caller's choice.
    Failed,
    /// No endpoint has seen the request, and none ever will.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Why the request was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The team's key is missing or wrong.
    Forbidden,
    /// The host is stopping and takes no new work.
    Leaving,
    /// The body, a header or a parameter is wrong.
    Invalid,
    /// A size, a connection count or a table is at its limit.
    Limit,
    /// The request is not known here.
    Missing,
    /// No endpoint of the pool is available.
    NoEndpoint,
    /// The host is not ready: it has no settings, or no contact to its peers.
    NotReady,
    /// The same key or ticket came with another body.
    Conflict,
    /// The estimated finish lies beyond the deadline.
    Overload,
    /// The deadline passed.
    Deadline,
    /// A stage failed and no retry was left.
    Stage,
    /// The team is over its share of its rate or concurrency.
    TeamLimit,
    /// The ticket is expired, forged or closed.
    Ticket,
    /// The witness could not be asked, or did not grant.
    Witness,
}

/// A refusal: the outcome, the reason, and when to try again.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Refusal {
    pub outcome: Outcome,
    pub reason: Reason,
    pub detail: String,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retry_after_ms")]
    pub retry_after: Duration,
}

impl Refusal {
    /// Builds a refusal that proves that the request did not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(Outcome::NotRun, reason, detail)
    }

    /// Builds a refusal for a request that may have run.
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(Outcome::Unknown, reason, detail)
    }

    /// Builds a refusal for a request that ran and failed.
    pub fn failed(reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(Outcome::Failed, reason, detail)
    }

    /// Sets when the caller may try again.
    #[must_use]
    pub fn retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = retry_after;
        self
    }

    fn new(outcome: Outcome, reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome,
            reason,
            detail: detail.into(),
            retry_after: Duration::ZERO,
        }
    }
}
