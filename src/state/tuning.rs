//! Constants of the scheduler that are not part of the settings tree.

use std::time::Duration;

/// Switches for the scheduler's mechanisms, and their constants.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Refuses requests on arrival that cannot finish in time.
    pub admission: bool,
    /// Factor on the estimated queueing time at admission.
    pub admission_margin: f64,
    /// The same factor while more urgent work keeps arriving, because more may
    /// follow.
    pub admission_margin_contested: f64,
    /// Routes engine calls by prompt prefix.
    pub affinity: bool,
    /// Maximum load of an affinity candidate, relative to the pool's mean.
    pub affinity_bound: f64,
    /// Number of endpoints considered in rendezvous order.
    pub affinity_candidates: usize,
    /// Limits retries and hedges by a budget.
    pub budget: bool,
    /// Maximum number of tokens in a retry budget.
    pub budget_cap: f64,
    /// Tokens that a successful call adds to the retry budget.
    pub budget_ratio: f64,
    /// Ejects failing and slow endpoints.
    pub ejection: bool,
    /// Number of consecutive failures after which an endpoint is ejected.
    pub ejection_failures: u32,
    /// Maximum duration of an ejection.
    pub ejection_max: Duration,
    /// Duration of the first ejection; doubles with each consecutive one.
    pub ejection_time: Duration,
    /// Orders queues by class, team and deadline instead of by arrival.
    pub fairness: bool,
    /// Calls kept free for more urgent work, as a multiple of the square root of
    /// the average number of calls that such work uses.
    pub headroom: f64,
    /// Expected service time at or above which a call must leave headroom.
    pub long_call: Duration,
    /// Sends slow repeatable calls to a second endpoint.
    pub hedging: bool,
    /// Hedge delay as a multiple of the 95th percentile of the service time.
    pub hedge_factor: f64,
    /// Fraction of the slack before the deadline that is added to the hedge delay.
    /// A slow stage that does not endanger the deadline is not worth a second
    /// attempt.
    pub hedge_slack: f64,
    /// Maximum number of cache hints kept per endpoint.
    pub hints_per_endpoint: usize,
    /// How long an endpoint's leaving mark takes precedence over a host list that
    /// still shows the endpoint as live.
    pub leaving_hold: Duration,
    /// Cost added to a call to another failure domain.
    pub cross_domain_cost: Duration,
    /// Age at which a load report has half of its initial weight.
    pub load_half_life: Duration,
    /// Duration of the first pause after an endpoint answers `not_run`; doubles
    /// with each consecutive one.
    pub not_run_pause: Duration,
    /// Maximum duration of a pause after `not_run`.
    pub not_run_pause_max: Duration,
    /// Service time assumed until enough calls of a pool have been measured.
    pub initial_service_time: Duration,
    /// Latency ratio relative to the pool's above which an endpoint is ejected.
    pub straggler_ratio: f64,
    /// Number of calls after which an endpoint may be ejected for slowness.
    pub straggler_samples: u32,
    /// Chooses the better of two random endpoints instead of a single random one.
    pub two_choices: bool,
    /// Minimum interval between warnings about late queues.
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
