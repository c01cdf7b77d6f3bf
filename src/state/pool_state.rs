//! The scheduler's state of one pool.

use {
    crate::state::{
        budget::RetryBudget,
        clock::Time,
        fair_queue::FairQueue,
        id,
        ledger::Ledger,
        pool::{Kind, Pool},
        rate::Rate,
        request::Request,
        service_times::{ServiceTimes, SizeClass},
        tuning::Tuning,
        wait_correction::WaitCorrection,
    },
    std::time::Duration,
};

/// Time constant of the decay of refused work.
const REFUSED_WINDOW: Duration = Duration::from_secs(10);
/// Weight of the latest call in the moving average of a pool's latency ratio.
const LATENCY_RATIO_WEIGHT: f64 = 0.02;

/// Members, queue, service times and counters of one pool.
#[derive(Debug)]
pub struct PoolState {
    pub budget: RetryBudget,
    pub service_times: ServiceTimes,
    pub wait_correction: WaitCorrection,
    /// Members in other failure domains.
    pub remote: Vec<usize>,
    /// Hashes of the members' ids, in the order of `members`.
    pub hashes: Vec<u64>,
    pub ledger: Ledger,
    /// Members in this host's failure domain.
    pub local: Vec<usize>,
    /// Endpoints that accept new calls.
    pub members: Vec<usize>,
    pub name: id::Pool,
    /// This host's calls in progress, including those on endpoints that are no
    /// longer members.
    pub own: u32,
    /// Time at which a request was last admitted as a probe.
    pub probed: Option<Time>,
    pub queue: FairQueue,
    /// Recently refused work, in seconds of service.
    pub refused: Rate,
    /// Other hosts' calls on members according to the last load reports.
    pub reported: f64,
    pub settings: Pool,
    /// Moving average of the duration of calls relative to the pool's median.
    latency_ratio: f64,
}

impl PoolState {
    /// Creates the state of a pool without endpoints.
    pub fn new(name: id::Pool, settings: Pool, tuning: &Tuning) -> Self {
        Self {
            budget: RetryBudget::default(),
            service_times: ServiceTimes::new(tuning),
            wait_correction: WaitCorrection::default(),
            remote: Vec::new(),
            hashes: Vec::new(),
            ledger: Ledger::default(),
            local: Vec::new(),
            members: Vec::new(),
            name,
            own: 0,
            probed: None,
            queue: FairQueue::default(),
            refused: Rate::new(REFUSED_WINDOW),
            reported: 0.0,
            settings,
            latency_ratio: 1.0,
        }
    }

    /// Returns this host's share of the pool, in concurrent calls.
    pub fn entitlement(&self, share: f64) -> f64 {
        self.size() * f64::from(self.limit()) * share
    }

    /// Returns the average number of other hosts' calls per endpoint, assuming that
    /// all hosts use the pool in proportion to their demand. At least one call is
    /// left free, so that an idle host can start.
    pub fn expected_others(&self, share: f64) -> f64 {
        let own = f64::from(self.own) / self.size();
        let max_others = f64::from(self.limit() - 1);
        (own * (1.0 - share) / share).min(max_others)
    }

    /// Returns the number of concurrent calls that one endpoint accepts.
    pub fn limit(&self) -> u32 {
        self.settings.concurrency_limit.max(1)
    }

    /// Returns the mean number of calls per member.
    pub fn mean_load(&self, share: f64) -> f64 {
        let others = if self.settings.reports_load {
            self.reported / self.size()
        } else {
            self.expected_others(share)
        };

        f64::from(self.own) / self.size() + others
    }

    /// Returns the mean service time in seconds.
    pub fn mean_service(&self) -> f64 {
        self.service_times.overall_mean().as_secs_f64()
    }

    /// Returns whether a long call of a priority leaves enough calls free for more
    /// urgent work, within this host's entitlement. Calls in progress are not
    /// preempted, so long ones must not occupy every free call, and all hosts
    /// together must not use more calls than exist.
    pub fn leaves_headroom(&self, now: Time, priority: u8, share: f64, headroom: f64) -> bool {
        if !self.ledger.contested(now, priority) {
            return true;
        }

        let higher_priority_calls = self.ledger.higher_priority_calls(now, priority, headroom);

        let slots = self.slots(share).min(self.entitlement(share));
        slots - f64::from(self.own) >= higher_priority_calls + 1.0
    }

    /// Adds the duration of a call, relative to the pool's median, to the pool's
    /// latency ratio.
    pub fn record_latency_ratio(&mut self, ratio: f64) {
        self.latency_ratio += LATENCY_RATIO_WEIGHT * (ratio.min(10.0) - self.latency_ratio);
    }

    /// Returns the size class of a request's call to this pool.
    pub fn size_of(&self, request: &Request) -> SizeClass {
        match self.settings.kind {
            Kind::Engine => SizeClass::of(request.max_tokens),
            Kind::Pool | Kind::Service => SizeClass::of(0),
        }
    }

    /// Returns the moving average of the duration of calls relative to the pool's
    /// median.
    pub fn latency_ratio(&self) -> f64 {
        self.latency_ratio
    }

    /// Returns how many concurrent calls this host can expect to have when the pool
    /// is full: those in progress and its share of the free calls, but at least
    /// half of its share of all calls, and at least one.
    pub fn slots(&self, share: f64) -> f64 {
        let total = self.size() * f64::from(self.limit());
        let own = f64::from(self.own);
        let free = (total - self.mean_load(share) * self.size()).max(0.0);
        let fair = total * share / 2.0;
        (own + free * share).max(fair).max(1.0)
    }

    /// Returns a call's duration relative to the pool's median.
    pub fn ratio(&self, size: SizeClass, elapsed: Duration) -> f64 {
        let median = self.service_times.median(size).as_secs_f64();
        elapsed.as_secs_f64() / median.max(1e-6)
    }

    fn size(&self) -> f64 {
        f64::from(u32::try_from(self.members.len()).unwrap_or(u32::MAX)).max(1.0)
    }
}
