//! Refusals: why a request got no result, and whether it may have run.

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::time::Duration,
};

/// Whether the refused request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and failed; the caller may choose to run it again.
    Failed,
    /// No endpoint received the request, and none ever will.
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
    /// The host is stopping and accepts no new requests.
    Leaving,
    /// The body, a header or a parameter is not valid.
    Invalid,
    /// A size, a connection count or a table is at its limit.
    Limit,
    /// This host has no record of the request.
    Missing,
    /// No endpoint of the pool is available.
    NoEndpoint,
    /// The host is not ready: it has no settings or cannot reach its peers.
    NotReady,
    /// The idempotency key or ticket was already used with another body.
    Conflict,
    /// The estimated completion is later than the deadline.
    Overload,
    /// The deadline passed.
    Deadline,
    /// A stage failed and no retries remain.
    Stage,
    /// The team exceeds its share of its rate or concurrency limit.
    TeamLimit,
    /// The ticket is expired, forged or closed.
    Ticket,
    /// The witness could not be reached or did not grant a permit.
    Witness,
}

/// Refusal of a request: its outcome, its reason and when to try again.
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
    /// Builds a refusal for a request that did not run and never will.
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

    /// Sets the time after which the caller may try again.
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
