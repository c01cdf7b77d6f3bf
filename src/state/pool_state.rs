//! One pool as the scheduler keeps it.

use {
    crate::state::{
        budget::RetryBudget,
        clock::Time,
        estimates::{Estimates, SizeClass},
        fair_queue::FairQueue,
        forecast::Forecast,
        id,
        ledger::Ledger,
        pool::{Kind, Pool},
        rate::Rate,
        request::Request,
        tuning::Tuning,
    },
    std::time::Duration,
};

/// Time over which refused work is remembered.
const REFUSED_TIME: Duration = Duration::from_secs(10);
/// Weight of the newest call in a pool's slowness.
const WEIGHT: f64 = 0.02;

/// What is known of one pool.
#[derive(Debug)]
pub struct PoolState {
    pub budget: RetryBudget,
    pub estimates: Estimates,
    pub forecast: Forecast,
    /// Members in other failure domains.
    pub remote: Vec<usize>,
    /// Hashes of the members' ids, in the order of `members`.
    pub hashes: Vec<u64>,
    pub ledger: Ledger,
    /// Members in this host's failure domain.
    pub local: Vec<usize>,
    /// Endpoints that take new work.
    pub members: Vec<usize>,
    pub name: id::Pool,
    /// Calls of this host in progress, members or not.
    pub own: u32,
    /// When a request was last admitted as a probe.
    pub probed: Option<Time>,
    pub queue: FairQueue,
    /// Work that was refused lately, in seconds.
    pub refused: Rate,
    /// Calls of other hosts on members, as last reported.
    pub reported: f64,
    pub settings: Pool,
    /// Smoothed duration of calls relative to the median.
    slowness: f64,
}

impl PoolState {
    /// Builds the state of a pool without endpoints.
    pub fn new(name: id::Pool, settings: Pool, tuning: &Tuning) -> Self {
        Self {
            budget: RetryBudget::default(),
            estimates: Estimates::new(tuning),
            forecast: Forecast::default(),
            remote: Vec::new(),
            hashes: Vec::new(),
            ledger: Ledger::default(),
            local: Vec::new(),
            members: Vec::new(),
            name,
            own: 0,
            probed: None,
            queue: FairQueue::default(),
            refused: Rate::new(REFUSED_TIME),
            reported: 0.0,
            settings,
            slowness: 1.0,
        }
    }

    /// Returns this host's part of the pool, in calls at a time.
    pub fn entitlement(&self, share: f64) -> f64 {
        self.size() * f64::from(self.limit()) * share
    }

    /// Returns other hosts' calls on an average endpoint if all hosts use the
    /// pool in proportion to their demand. Leaves room for one call, so that
    /// an idle host can start.
    pub fn expected(&self, share: f64) -> f64 {
        let own = f64::from(self.own) / self.size();
        let most = f64::from(self.limit() - 1);
        (own * (1.0 - share) / share).min(most)
    }

    /// Returns the calls at a time that one endpoint takes.
    pub fn limit(&self) -> u32 {
        self.settings.concurrency_limit.max(1)
    }

    /// Returns the mean load of a member.
    pub fn mean(&self, share: f64) -> f64 {
        let others = if self.settings.reports_load {
            self.reported / self.size()
        } else {
            self.expected(share)
        };

        f64::from(self.own) / self.size() + others
    }

    /// Returns the mean service time in seconds.
    pub fn mean_service(&self) -> f64 {
        self.estimates.overall_mean().as_secs_f64()
    }

    /// Returns whether a long call of a priority leaves enough calls free for
    /// what is more urgent, within this host's entitlement. Calls in progress
    /// are not interrupted, so long ones must not take every free call, nor
    /// all hosts together more than there are.
    pub fn leaves_headroom(&self, now: Time, priority: u8, share: f64, headroom: f64) -> bool {
        if !self.ledger.contested(now, priority) {
            return true;
        }

        let preferred = self.ledger.preferred(now, priority, headroom);

        let slots = self.slots(share).min(self.entitlement(share));
        slots - f64::from(self.own) >= preferred + 1.0
    }

    /// Takes one more call into the pool's slowness.
    pub fn observe(&mut self, ratio: f64) {
        self.slowness += WEIGHT * (ratio.min(10.0) - self.slowness);
    }

    /// Returns the size class of a request's call here.
    pub fn size_of(&self, request: &Request) -> SizeClass {
        match self.settings.kind {
            Kind::Engine => SizeClass::of(request.max_tokens),
            Kind::Pool | Kind::Service => SizeClass::of(0),
        }
    }

    /// Returns the smoothed duration of calls relative to the median.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns how many calls this host can expect to run at a time when the
    /// pool is full: those it runs, and its share of what is free.
    pub fn slots(&self, share: f64) -> f64 {
        let total = self.size() * f64::from(self.limit());
        let own = f64::from(self.own);
        let free = (total - self.mean(share) * self.size()).max(0.0);
        let fair = total * share / 2.0;
        (own + free * share).max(fair).max(1.0)
    }

    /// Returns how long a call takes relative to its pool's median.
    pub fn ratio(&self, size: SizeClass, elapsed: Duration) -> f64 {
        let median = self.estimates.median(size).as_secs_f64();
        elapsed.as_secs_f64() / median.max(1e-6)
    }

    fn size(&self) -> f64 {
        f64::from(u32::try_from(self.members.len()).unwrap_or(u32::MAX)).max(1.0)
    }
}
