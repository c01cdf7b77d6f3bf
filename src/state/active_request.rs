//! The scheduler's state of requests and attempts in progress.

use {
    crate::state::{
        clock::Time,
        fair_queue::{Flow, Position},
        id,
        request::Request,
        service_times::SizeClass,
    },
    std::time::Duration,
};

/// The queue entry of a stage.
#[derive(Clone, Debug)]
pub struct QueuedStage {
    /// Time at which the request fails if the stage is still queued.
    pub expires: Time,
    pub position: Position,
    pub since: Time,
}

/// The current stage of a request.
#[derive(Clone, Debug)]
pub struct CurrentStage {
    /// Running attempts, without cancelled ones.
    pub attempts: Vec<id::Attempt>,
    /// Whether an attempt has failed since the stage was last queued.
    pub failed: bool,
    pub queued: Option<QueuedStage>,
    pub stage: usize,
    /// Endpoints to which the stage was sent.
    pub tried: Vec<usize>,
    /// Time that the stage spent in the queue before its earlier attempts.
    pub waited: Duration,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct ActiveRequest {
    /// Work of each stage in endpoint-seconds, as added to the ledger of its pool.
    pub committed: Vec<f64>,
    pub current: Option<CurrentStage>,
    /// When the request was admitted.
    pub admitted: Time,
    /// Waiting time in the queue of the bottleneck, as estimated at admission and
    /// before correction.
    pub estimated_wait: Duration,
    /// Index of the pool with the longest estimated wait at admission.
    pub bottleneck: usize,
    pub flow: Flow,
    /// Maximum time in the queue per stage.
    pub queue_time: Duration,
    /// Whether any attempt ended other than with `not_run`.
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

/// An attempt whose end has not been reported yet.
#[derive(Clone, Debug)]
pub struct RunningAttempt {
    /// Whether the request no longer needs the attempt's result.
    pub cancelled: bool,
    /// Whether the attempt's end is being handled, so that it is too late for a
    /// hedge.
    pub ended: bool,
    pub endpoint: usize,
    pub pool: usize,
    pub priority: u8,
    pub request: id::Request,
    /// Expected service time in seconds, as added to the ledger.
    pub service: f64,
    pub size: SizeClass,
    pub stage: usize,
}

/// An action that is due at a certain time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// Fails a request whose stage has been queued for too long.
    Expiry(id::Request),
    /// Hedges an attempt that has not ended yet.
    Hedge(id::Attempt),
}
