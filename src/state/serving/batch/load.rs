//! How much work a pool has, and how fast it does it.

use {
    crate::state::{
        clock::Time,
        serving::{
            batch::{Dispatcher, node::Node},
            piece::Job,
        },
    },
    std::time::Duration,
};

/// The state of a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Summary {
    pub backlog: Duration,
    pub calls: usize,
    /// Endpoints that could take a call.
    pub idle: usize,
    pub jobs: usize,
    /// Jobs that can no longer meet their goal.
    pub late: usize,
    pub endpoints: usize,
    pub paused: usize,
    /// Pieces that wait.
    pub queued: usize,
    /// Pieces in calls.
    pub running: usize,
    /// Outputs that are not freed yet.
    pub stored_bytes: u64,
}

impl Dispatcher {
    /// Returns the number of jobs in progress.
    pub fn jobs(&self) -> usize {
        self.works.len()
    }

    /// Returns the pieces that wait.
    pub fn queued(&self) -> usize {
        self.works.values().map(|work| work.waiting).sum()
    }

    /// Returns the state of the pool, for logs and metrics.
    pub fn summary(&self, now: Time) -> Summary {
        let nodes = self.nodes.values();
        let pieces = || self.works.values().flat_map(|work| &work.pieces);

        Summary {
            backlog: self.backlog(now),
            calls: self.calls.len(),
            idle: self.idle(now),
            jobs: self.works.len(),
            late: self
                .works
                .values()
                .filter(|work| work.start_by < now)
                .count(),
            endpoints: self.nodes.len(),
            paused: nodes.filter(|node| node.health.is_paused(now)).count(),
            queued: self.queued(),
            running: pieces().filter(|piece| piece.running > 0).count(),
            stored_bytes: (self.nodes.values())
                .flat_map(|node| node.stored.values())
                .map(|(bytes, _)| bytes)
                .sum(),
        }
    }

    /// Returns the expected time until a new piece would start.
    pub fn backlog(&self, now: Time) -> Duration {
        let rate = self.rate(now);

        if rate <= 0.0 {
            return self.call_time(self.pool.batch);
        }

        let waiting = self
            .queued()
            .saturating_sub(self.idle(now) * self.pool.batch);
        Duration::from_secs_f64(waiting as f64 / rate)
    }

    pub(super) fn call_time(&self, pieces: usize) -> Duration {
        let pieces = u32::try_from(pieces.min(self.pool.batch)).unwrap_or(u32::MAX);
        self.pool.call + self.pool.item * pieces
    }

    pub(super) fn idle(&self, now: Time) -> usize {
        let free = |node: &&Node| {
            !node.entry.leaving && node.calls < self.pool.slots && !node.health.is_paused(now)
        };
        self.nodes.values().filter(free).count()
    }

    /// Returns the pieces a second that the pool does with full calls.
    pub(super) fn rate(&self, now: Time) -> f64 {
        let usable = |node: &&Node| !node.entry.leaving && !node.health.is_paused(now);
        let places = self.nodes.values().filter(usable).count() * self.pool.slots;
        let call = self.call_time(self.pool.batch).as_secs_f64();
        places as f64 * self.pool.batch as f64 / call.max(0.001)
    }

    /// Returns the expected time until a job would start, given what goes
    /// before it.
    pub(super) fn backlog_before(&self, now: Time, job: &Job) -> Duration {
        let rate = self.rate(now);

        if rate <= 0.0 {
            return Duration::ZERO;
        }

        let before = self
            .works
            .values()
            .filter(|work| work.start_by > now && work.job.priority <= job.priority)
            .map(|work| work.waiting)
            .sum::<usize>();
        let waiting = before.saturating_sub(self.idle(now) * self.pool.batch);
        Duration::from_secs_f64(waiting as f64 / rate)
    }
}
