//! Rules of the scheduler, and their violations.

use std::fmt;

/// Rule that the oracle checks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// The scheduler's counts agree with the oracle's, and a stage is queued
    /// until it is dispatched, unless the dispatch is a hedge.
    Accounting,
    /// At most one attempt of a request that is not repeatable may have run.
    AtMostOnce,
    /// Retries and hedges stay within the budget.
    Budget,
    /// An endpoint has no more concurrent calls than its pool allows.
    Concurrency,
    /// No attempt is sent after the request's deadline or may run past it.
    Deadline,
    /// A request ends exactly once; only cancellations follow.
    Ending,
    /// Nothing is sent to an endpoint that is leaving, unlisted or in another
    /// pool.
    Leaving,
    /// A refusal reports the outcome that the attempts prove.
    Outcome,
    /// No stage waits longer than its queue time.
    QueueTime,
}

/// Violation of a rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    pub detail: String,
    pub rule: Rule,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "rule {:?} violated: {}", self.rule, self.detail)
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
