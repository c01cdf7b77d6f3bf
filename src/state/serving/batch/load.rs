//! The load of a pool and its throughput.

use {
    crate::state::{
        clock::Time,
        serving::{
            batch::{
                Dispatcher,
                active_job::{ActiveJob, LAST_CHANCE_CALLS},
                endpoint_state::EndpointState,
                fill::LAST_CHANCE_SHARE,
                value::Order,
            },
            piece::Job,
        },
    },
    std::time::Duration,
};

/// A summary of a pool's load, for logs and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Summary {
    /// Expected time until a new piece would start.
    pub backlog: Duration,
    /// Calls in progress.
    pub calls: usize,
    /// Endpoints that accept another call.
    pub idle: usize,
    pub jobs: usize,
    /// Jobs that can no longer meet their goal.
    pub late: usize,
    pub endpoints: usize,
    pub paused: usize,
    /// Queued pieces.
    pub queued: usize,
    /// Pieces in calls in progress.
    pub running: usize,
    /// Total size of the outputs that are not freed yet.
    pub stored_bytes: u64,
}

impl Dispatcher {
    /// Returns the number of jobs in progress.
    pub fn jobs(&self) -> usize {
        self.active_jobs.len()
    }

    /// Returns the number of queued pieces.
    pub fn queued(&self) -> usize {
        self.active_jobs.values().map(|active| active.waiting).sum()
    }

    /// Returns a summary of the pool's load.
    pub fn summary(&self, now: Time) -> Summary {
        let endpoints = self.endpoints.values();
        let pieces = || self.active_jobs.values().flat_map(|active| &active.pieces);

        Summary {
            backlog: self.backlog(now),
            calls: self.calls.len(),
            idle: self.idle(now),
            jobs: self.active_jobs.len(),
            late: self
                .active_jobs
                .values()
                .filter(|active| active.start_by < now)
                .count(),
            endpoints: self.endpoints.len(),
            paused: endpoints
                .filter(|state| state.health.is_paused(now))
                .count(),
            queued: self.queued(),
            running: pieces().filter(|piece| piece.running > 0).count(),
            stored_bytes: (self.endpoints.values())
                .flat_map(|state| state.stored.values())
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

    /// Returns the expected time until a new piece of a priority would start, behind the
    /// jobs that go before it.
    pub(super) fn backlog_for(&self, now: Time, priority: u8) -> Duration {
        let rate = self.rate(now);

        if rate <= 0.0 {
            return self.call_time(self.pool.batch);
        }

        let ahead = self.active_jobs.values().filter(|active| {
            active.has_begun() || active.is_planned(now) && active.job.priority <= priority
        });
        let ahead = ahead.map(|active| active.waiting).sum::<usize>();
        let waiting = ahead.saturating_sub(self.idle(now) * self.pool.batch);
        Duration::from_secs_f64(waiting as f64 / rate)
    }

    /// Returns the expected duration of a call with up to `pieces` pieces.
    pub(super) fn call_time(&self, pieces: usize) -> Duration {
        let pieces = u32::try_from(pieces.min(self.pool.batch)).unwrap_or(u32::MAX);
        self.pool.call + self.pool.item * pieces
    }

    /// Returns the number of endpoints that accept another call.
    pub(super) fn idle(&self, now: Time) -> usize {
        let free = |state: &&EndpointState| {
            !state.entry.leaving
                && state.calls < self.pool.slots
                && !state.health.is_paused(now)
                && self.cold.allows(now, &state.entry)
        };
        self.endpoints.values().filter(free).count()
    }

    /// Returns the throughput of the pool with full calls, in pieces per second.
    pub(super) fn rate(&self, now: Time) -> f64 {
        let usable = |state: &&EndpointState| !state.entry.leaving && !state.health.is_closed(now);
        let call = self.call_time(self.pool.batch).as_secs_f64();
        let unlimited = self.pool.slots as f64 / call.max(0.001);
        let calls = self.endpoints.values().filter(usable).map(|state| {
            let limited = state.health.max_rate().unwrap_or(unlimited);
            let cold = self.cold.max_rate(now, &state.entry).unwrap_or(unlimited);
            limited.min(cold).min(unlimited)
        });
        calls.sum::<f64>() * self.pool.batch as f64
    }

    /// Returns the pieces by which the forecast judges a new job. In the order by value
    /// all jobs are judged alike: in a long overload, the queue is as long as the
    /// forecast admits, and a longer call would keep out every large job.
    fn admitted_pieces(&self, job: &Job) -> usize {
        match self.order {
            Order::Urgency => job.pieces.len(),
            Order::Value => self.pool.batch,
        }
    }

    /// Forecasts how a new job would fare behind the queued pieces.
    ///
    /// A job that the pieces ahead of it make late may have to wait for its last
    /// chance. These get only a share of each call, and no more of them can have
    /// the same deadline than the pool can take.
    pub(super) fn forecast(&self, now: Time, job: &Job) -> Forecast {
        let rate = self.rate(now);

        if rate <= 0.0 {
            return Forecast::default();
        }

        let pieces = |jobs: &[&ActiveJob]| jobs.iter().map(|active| active.waiting).sum::<usize>();
        let (on_time, late) = self
            .active_jobs
            .values()
            .partition::<Vec<&ActiveJob>, _>(|active| active.is_planned(now));
        let idle = self.idle(now) * self.pool.batch;
        let share = if pieces(&late) > idle {
            1.0 - LAST_CHANCE_SHARE
        } else {
            1.0
        };
        let (ahead, _) = on_time
            .iter()
            .partition::<Vec<&ActiveJob>, _>(|active| active.job.priority <= job.priority);
        let wait = pieces(&ahead).saturating_sub(idle) as f64 / (rate * share);
        let call = self.call_time(self.admitted_pieces(job));
        let urgency = job.urgency.as_secs_f64();
        let backlog = Duration::from_secs_f64(wait);

        if wait <= urgency {
            let end = backlog + call;
            return Forecast {
                backlog,
                is_hopeless: end > job.remaining,
            };
        }

        // The jobs ahead of this one turn late with it.
        let excess = (wait - urgency) * rate * share;
        let deadline = now + job.remaining;
        let earlier = late.iter().filter(|active| active.deadline <= deadline);
        let earlier = earlier.map(|active| active.waiting).sum::<usize>();
        let last_chance = (earlier as f64 + excess) / (rate * LAST_CHANCE_SHARE);
        let end = Duration::from_secs_f64(last_chance) + call;
        let window = self.call_time(self.pool.batch).mul_f64(LAST_CHANCE_CALLS);
        let is_near = |active: &&&ActiveJob| {
            active.deadline <= deadline && active.deadline + window > deadline
        };
        let near = late.iter().chain(&ahead).filter(is_near);
        let near = near.map(|active| active.waiting).sum::<usize>();

        Forecast {
            backlog,
            is_hopeless: end > job.remaining || near as f64 > rate * window.as_secs_f64(),
        }
    }
}

/// The expected course of a new job.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Forecast {
    /// Expected time until the job would start if it did not turn late.
    pub(super) backlog: Duration,
    /// Whether the job would not end before its deadline.
    pub(super) is_hopeless: bool,
}
