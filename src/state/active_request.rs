//! A request and an attempt as the scheduler keeps them.

use {
    crate::state::{
        clock::Time,
        estimates::SizeClass,
        fair_queue::{Flow, Position},
        id,
        request::Request,
    },
    std::time::Duration,
};

/// A stage in a queue.
#[derive(Clone, Debug)]
pub struct QueuedStage {
    /// When it is given up.
    pub expires: Time,
    pub position: Position,
    pub since: Time,
}

/// The stage that a request is in.
#[derive(Clone, Debug)]
pub struct CurrentStage {
    /// Running attempts that are not cancelled.
    pub attempts: Vec<id::Attempt>,
    /// Whether an attempt failed since the stage was last queued.
    pub failed: bool,
    pub queued: Option<QueuedStage>,
    pub stage: usize,
    /// Endpoints that have had the stage.
    pub tried: Vec<usize>,
    /// Time spent in the queue before earlier attempts of the stage.
    pub waited: Duration,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct ActiveRequest {
    /// Endpoint-seconds entered in the ledger of each stage's pool.
    pub committed: Vec<f64>,
    pub current: Option<CurrentStage>,
    /// When the request was admitted.
    pub admitted: Time,
    /// Time in queues that was estimated at admission before the pool with
    /// the longest queue, without the factor of correction.
    pub estimated: Duration,
    /// That pool.
    pub bottleneck: usize,
    pub flow: Flow,
    /// Longest time in a queue before a stage.
    pub queue_time: Duration,
    /// Whether an attempt ended in any other way than `not_run`.
    pub ran: bool,
    pub request: Request,
}

impl ActiveRequest {
    /// Returns whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.ran
            || self
                .current
                .as_ref()
                .is_some_and(|current| !current.attempts.is_empty())
    }
}

/// An attempt whose end has not been reported.
#[derive(Clone, Debug)]
pub struct RunningAttempt {
    /// Whether its end no longer matters to the request.
    pub cancelled: bool,
    /// Whether its end is being reported, so that a hedge comes too late.
    pub ended: bool,
    pub endpoint: usize,
    pub pool: usize,
    pub priority: u8,
    pub request: id::Request,
    /// Service time in seconds as entered in the ledger.
    pub service: f64,
    pub size: SizeClass,
    pub stage: usize,
}

/// Something that is due at a time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// A queued stage has waited too long.
    Expiry(id::Request),
    /// An attempt is slow enough for a hedge.
    Hedge(id::Attempt),
}
