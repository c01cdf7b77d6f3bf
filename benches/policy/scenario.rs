//! What happens to a deployment in one run.

use crate::deployment::Deployment;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Scenario {
    Steady,
    Burst,
    Straggler,
    ThirdDead,
    DomainLost,
    Overnight,
    LagOne,
    LagFive,
    Metastable,
}

/// Part of the capacity that is offered outside bursts.
const STEADY: f64 = 0.65;
/// Offered load of a burst relative to the capacity.
const OVERLOAD: f64 = 3.0;
/// When a fault or burst begins, in seconds, and when a burst ends.
pub const FAULT_S: f64 = 8.0;
pub const BURST_END_S: f64 = 14.0;
/// Requests that arrive earlier are not counted.
pub const WARM_S: f64 = 4.0;

impl Scenario {
    pub const ALL: [Self; 9] = [
        Self::Steady,
        Self::Burst,
        Self::Straggler,
        Self::ThirdDead,
        Self::DomainLost,
        Self::Overnight,
        Self::LagOne,
        Self::LagFive,
        Self::Metastable,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Burst => "burst of 3 times the capacity",
            Self::Straggler => "one straggler",
            Self::ThirdDead => "a third of the engines dead",
            Self::DomainLost => "a failure domain lost",
            Self::Overnight => "overnight backlog of drafts",
            Self::LagOne => "load reports lag 1 s",
            Self::LagFive => "load reports lag 5 s",
            Self::Metastable => "metastable overload, callers resend",
        }
    }

    /// Returns whether there is a burst after which the system must recover.
    pub fn bursts(self) -> bool {
        matches!(self, Self::Burst | Self::Metastable)
    }

    /// Returns the offered load at a time, in requests a second.
    pub fn rate(self, deployment: &Deployment, now_s: f64) -> f64 {
        let burst = self.bursts() && (FAULT_S..BURST_END_S).contains(&now_s);
        deployment.capacity * if burst { OVERLOAD } else { STEADY }
    }

    /// Returns the time at which the last request arrives.
    pub fn end_s(self) -> f64 {
        if self.bursts() { 32.0 } else { 20.0 }
    }

    /// Returns the age of load reports, in milliseconds.
    pub fn lag_ms(self) -> f64 {
        match self {
            Self::LagOne => 1000.0,
            Self::LagFive => 5000.0,
            _ => 100.0,
        }
    }

    /// Returns how often a caller resends a request that got no answer.
    pub fn resends(self) -> u32 {
        if self == Self::Metastable { 3 } else { 0 }
    }
}
