//! Every number of the scheduler that is not a setting.

use std::time::Duration;

/// Mechanisms that can be switched off, and the constants behind them.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Refuses at once what cannot finish in time.
    pub admission: bool,
    /// Factor on the estimated queueing time at admission.
    pub admission_margin: f64,
    /// The same where more urgent work is in progress, of which more may come.
    pub admission_margin_contested: f64,
    /// Routes engine calls by prompt prefix.
    pub affinity: bool,
    /// Load of an affinity candidate, relative to the pool's mean.
    pub affinity_bound: f64,
    /// Endpoints tried in rendezvous order.
    pub affinity_candidates: usize,
    /// Limits retries and hedges by a budget.
    pub budget: bool,
    /// Most tokens of a retry budget.
    pub budget_cap: f64,
    /// Tokens that a success earns.
    pub budget_ratio: f64,
    /// Takes failing and slow endpoints out.
    pub ejection: bool,
    /// Consecutive failures that eject an endpoint.
    pub ejection_failures: u32,
    /// Longest ejection.
    pub ejection_max: Duration,
    /// First ejection; doubles with each one that follows.
    pub ejection_time: Duration,
    /// Queues by class, team and deadline instead of by arrival.
    pub fairness: bool,
    /// Calls kept free for more urgent work, as a multiple of the square root
    /// of the calls that such work uses on average.
    pub headroom: f64,
    /// Expected service time from which a call must leave headroom.
    pub long_call: Duration,
    /// Sends slow repeatable calls to a second endpoint.
    pub hedging: bool,
    /// Hedge delay as a multiple of the 95th percentile.
    pub hedge_factor: f64,
    /// Part of the time to spare before the deadline that is added to it. A
    /// stage that is slow but harmless is not worth a second attempt.
    pub hedge_slack: f64,
    /// Cache hints kept of one endpoint.
    pub hints_per_endpoint: usize,
    /// How long an endpoint's own `leaving` mark outweighs a host list that
    /// still shows it as live.
    pub leaving_hold: Duration,
    /// Cost of a call to another failure domain.
    pub cross_domain_cost: Duration,
    /// Age at which a load report counts half.
    pub load_half_life: Duration,
    /// First pause after an endpoint's `not_run`; doubles with each one that
    /// follows.
    pub not_run_pause: Duration,
    /// Longest pause after `not_run`.
    pub not_run_pause_max: Duration,
    /// Service time assumed before the first measurement.
    pub initial_service_time: Duration,
    /// Slowness relative to the pool that ejects an endpoint.
    pub straggler_ratio: f64,
    /// Calls after which an endpoint's slowness is judged.
    pub straggler_samples: u32,
    /// Compares two random endpoints instead of taking the first.
    pub two_choices: bool,
    /// Least time between two warnings about late queues.
    pub warn_interval: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            admission: true,
            admission_margin: 2.0,
            admission_margin_contested: 3.0,
            affinity: true,
            affinity_bound: 1.25,
            affinity_candidates: 4,
            budget: true,
            budget_cap: 10.0,
            budget_ratio: 0.1,
            ejection: true,
            ejection_failures: 3,
            ejection_max: Duration::from_secs(60),
            ejection_time: Duration::from_secs(5),
            fairness: true,
            headroom: 3.0,
            long_call: Duration::from_millis(1500),
            hedging: true,
            hedge_factor: 1.0,
            hedge_slack: 0.1,
            hints_per_endpoint: 64,
            leaving_hold: Duration::from_secs(5),
            cross_domain_cost: Duration::from_millis(4),
            load_half_life: Duration::from_secs(1),
            not_run_pause: Duration::from_millis(50),
            not_run_pause_max: Duration::from_secs(5),
            initial_service_time: Duration::from_millis(20),
            straggler_ratio: 2.5,
            straggler_samples: 8,
            two_choices: true,
            warn_interval: Duration::from_secs(1),
        }
    }
}
