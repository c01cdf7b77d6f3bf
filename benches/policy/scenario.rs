//! The load and the faults of one run.

use crate::deployment::Deployment;

/// A scenario, which determines the load and the fault of a run.
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

/// Offered load outside bursts, relative to the capacity.
const STEADY_LOAD: f64 = 0.65;
/// Offered load during a burst, relative to the capacity.
const BURST_LOAD: f64 = 3.0;
/// Time at which a fault or burst begins, in seconds.
pub const FAULT_S: f64 = 8.0;
/// Time at which a burst ends, in seconds.
pub const BURST_END_S: f64 = 14.0;
/// Time from which requests are counted, in seconds.
pub const WARM_UP_S: f64 = 4.0;

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

    /// Returns whether the scenario has a burst from which the system must
    /// recover.
    pub fn has_burst(self) -> bool {
        matches!(self, Self::Burst | Self::Metastable)
    }

    /// Returns the offered load at a time, in requests per second.
    pub fn arrival_rate(self, deployment: &Deployment, now_s: f64) -> f64 {
        let burst = self.has_burst() && (FAULT_S..BURST_END_S).contains(&now_s);
        deployment.capacity * if burst { BURST_LOAD } else { STEADY_LOAD }
    }

    /// Returns the time after which no request arrives, in seconds.
    pub fn end_s(self) -> f64 {
        if self.has_burst() { 32.0 } else { 20.0 }
    }

    /// Returns the age of load reports, in milliseconds.
    pub fn lag_ms(self) -> f64 {
        match self {
            Self::LagOne => 1000.0,
            Self::LagFive => 5000.0,
            _ => 100.0,
        }
    }

    /// Returns the number of times that a caller resends an unanswered request.
    pub fn resends(self) -> u32 {
        if self == Self::Metastable { 3 } else { 0 }
    }
}
