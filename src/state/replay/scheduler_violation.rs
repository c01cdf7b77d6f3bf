//! A broken rule of the scheduler.

use std::fmt;

/// The rules that the oracle checks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// A request with a stage to run is neither queued nor running.
    Accounting,
    /// At most one attempt of a not-repeatable request may have run.
    AtMostOnce,
    /// Hedges and retries stay within the budget.
    Budget,
    /// An endpoint has no more calls than its pool's limit.
    Concurrency,
    /// Nothing is sent past the deadline.
    Deadline,
    /// A request ends once, and nothing follows but cancellations.
    Ending,
    /// Nothing is sent to an endpoint that is leaving, gone or of another
    /// pool.
    Leaving,
    /// A refusal claims no more than what is proven.
    Outcome,
    /// No stage waits longer than its queue time.
    QueueTime,
}

/// A broken rule and how it was broken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    pub detail: String,
    pub rule: Rule,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "rule {:?} broken: {}", self.rule, self.detail)
    }
}

impl std::error::Error for Violation {}

/// Returns a violation of `rule` unless `holds`.
pub fn check(holds: bool, rule: Rule, detail: impl FnOnce() -> String) -> Result<(), Violation> {
    if holds {
        return Ok(());
    }

    Err(Violation {
        detail: detail(),
        rule,
    })
}
