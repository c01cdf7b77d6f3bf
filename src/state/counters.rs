//! Counters of scheduling decisions, reported to operators.

use {crate::state::claims::refusal::Reason, std::collections::BTreeMap};

/// Totals of one scheduler since it started.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    pub dispatched: u64,
    pub hedges: u64,
    refused: BTreeMap<&'static str, u64>,
    pub retries: u64,
}

impl Counters {
    /// Returns all counters under the names that operators see.
    pub fn by_name(&self) -> BTreeMap<&'static str, u64> {
        let mut counters = self.refused.clone();
        counters.insert("dispatched", self.dispatched);
        counters.insert("hedges", self.hedges);
        counters.insert("retries", self.retries);
        counters
    }

    /// Counts a refused or failed request.
    pub fn count_refusal(&mut self, reason: Reason) {
        *self.refused.entry(refusal_counter(reason)).or_insert(0) += 1;
    }
}

fn refusal_counter(reason: Reason) -> &'static str {
    match reason {
        Reason::Conflict => "refused_conflict",
        Reason::Deadline => "refused_deadline",
        Reason::Forbidden => "refused_forbidden",
        Reason::Invalid => "refused_invalid",
        Reason::Leaving => "refused_leaving",
        Reason::Limit => "refused_limit",
        Reason::Missing => "refused_missing",
        Reason::NoEndpoint => "refused_no_endpoint",
        Reason::NotReady => "refused_not_ready",
        Reason::Overload => "refused_overload",
        Reason::Stage => "refused_stage",
        Reason::TeamLimit => "refused_team_limit",
        Reason::Ticket => "refused_ticket",
        Reason::Witness => "refused_witness",
    }
}
