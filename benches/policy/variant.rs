//! The policies that are compared.

use {
    crate::baseline::{Baseline, Choice},
    persimmoncleat::state::{
        action::Action, clock::Time, event::Event, id, scheduler::Scheduler, tuning::Tuning,
    },
};

/// The product's scheduler, a baseline, or the product's scheduler without one
/// mechanism.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Variant {
    Product,
    RoundRobin,
    LeastOutstanding,
    NoAffinity,
    NoAdmission,
    NoFairness,
    NoBudget,
    NoHedging,
    NoEjection,
    OneChoice,
}

impl Variant {
    pub const ALL: [Self; 10] = [
        Self::Product,
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::NoAffinity,
        Self::NoAdmission,
        Self::NoFairness,
        Self::NoBudget,
        Self::NoHedging,
        Self::NoEjection,
        Self::OneChoice,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::RoundRobin => "round robin",
            Self::LeastOutstanding => "least outst.",
            Self::NoAffinity => "- affinity",
            Self::NoAdmission => "- admission",
            Self::NoFairness => "- fairness",
            Self::NoBudget => "- budget",
            Self::NoHedging => "- hedging",
            Self::NoEjection => "- ejection",
            Self::OneChoice => "- two choices",
        }
    }

    /// Returns the policy of a host in `domain`.
    pub fn build(self, domain: id::Domain, seed: u64) -> Policy {
        let mut tuning = Tuning::default();

        match self {
            Self::RoundRobin => return Policy::Baseline(Baseline::new(Choice::RoundRobin)),
            Self::LeastOutstanding => {
                return Policy::Baseline(Baseline::new(Choice::LeastOutstanding));
            }
            Self::Product => {}
            Self::NoAffinity => tuning.affinity = false,
            Self::NoAdmission => tuning.admission = false,
            Self::NoFairness => tuning.fairness = false,
            Self::NoBudget => tuning.budget = false,
            Self::NoHedging => tuning.hedging = false,
            Self::NoEjection => tuning.ejection = false,
            Self::OneChoice => tuning.two_choices = false,
        }

        Policy::Product(Box::new(Scheduler::with_tuning(domain, seed, tuning)))
    }
}

/// The policy of one host.
#[derive(Debug)]
pub enum Policy {
    Baseline(Baseline),
    Product(Box<Scheduler>),
}

impl Policy {
    pub fn demand(&self) -> persimmoncleat::state::event::Demand {
        match self {
            Self::Baseline(_) => Default::default(),
            Self::Product(scheduler) => scheduler.demand(),
        }
    }

    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match self {
            Self::Baseline(baseline) => baseline.handle(now, event, actions),
            Self::Product(scheduler) => scheduler.handle(now, event, actions),
        }
    }
}
