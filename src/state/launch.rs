//! Chooses endpoints for attempts, sends them and hedges slow ones.

use {
    crate::state::{
        action::Action,
        active_request::{RunningAttempt, Timer},
        clock::Time,
        id,
        placement::{Criteria, Placement},
        scheduler::Scheduler,
    },
    std::time::Duration,
};

impl Scheduler {
    /// Sends a second attempt of a slow stage to another endpoint. Sets the timer
    /// again if no endpoint is available, other stages are queued, or the retry
    /// budget is exhausted.
    pub(super) fn hedge(&mut self, now: Time, attempt: id::Attempt, actions: &mut Vec<Action>) {
        let Some(running) = self
            .attempts
            .get(&attempt)
            .filter(|candidate| !candidate.cancelled && !candidate.ended)
        else {
            return;
        };
        let Some(active) = self.active.get(&running.request) else {
            return;
        };
        let Some(current) = &active.current else {
            return;
        };

        let pool = &self.inventory.pools[running.pool];
        let size = running.size;
        let too_late = now + pool.service_times.median(size) >= active.request.deadline;

        if current.attempts.len() != 1 || too_late {
            return;
        }

        let (id, index, stage) = (running.request.clone(), running.pool, running.stage);
        let tried = current.tried.clone();
        let next_check = now + pool.service_times.p95(size).max(Duration::from_millis(1));
        let queue_empty = pool.queue.is_empty();
        let chosen = queue_empty
            .then(|| self.place(now, index, &id, &tried, None))
            .flatten();

        if let Some(endpoint) = chosen
            && self.inventory.pools[index].budget.withdraw(&self.tuning)
        {
            self.counters.hedges += 1;
            self.start(now, &id, stage, endpoint, true, actions);
        } else {
            self.timers.insert((next_check, Timer::Hedge(attempt)));
        }
    }

    /// Chooses an endpoint for a request, excluding those in `avoid`. `freed` is
    /// an endpoint that may have become available.
    pub(super) fn place(
        &mut self,
        now: Time,
        pool: usize,
        id: &id::Request,
        avoid: &[usize],
        freed: Option<usize>,
    ) -> Option<usize> {
        let criteria = Criteria {
            avoid,
            freed,
            prefix: self.active.get(id)?.request.prefix,
        };
        let share = self.limits.share(now);

        Placement::new(
            &self.inventory,
            now,
            pool,
            &mut self.rng,
            share,
            &self.tuning,
        )
        .choose(criteria)
    }

    /// Sends one attempt and, if it may be hedged, sets its hedge timer.
    pub(super) fn start(
        &mut self,
        now: Time,
        id: &id::Request,
        stage: usize,
        endpoint: usize,
        hedge: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.active.get(id) else {
            return;
        };

        let time_left = active.request.deadline.since(now);
        let later_duration = self.remaining(active, stage + 1);
        let timeout = time_left.saturating_sub(later_duration).max(time_left / 2);
        let index = self.inventory.endpoints[endpoint].pool;
        let pool = &self.inventory.pools[index];
        let size = pool.size_of(&active.request);
        let may_hedge = active.request.repeatable && self.tuning.hedging && pool.settings.hedge;
        let delay = if pool.service_times.has_enough_samples(size) {
            let p95 = pool.service_times.p95(size);
            let slack = time_left.saturating_sub(later_duration + p95);
            p95.mul_f64(self.tuning.hedge_factor) + slack.mul_f64(self.tuning.hedge_slack)
        } else {
            // Without enough samples of the pool, wait for half of the stage's
            // equal share of the remaining time, so that a stalled first call
            // leaves time for another.
            let stages = active.request.stages.len().saturating_sub(stage).max(1);
            time_left.div_f64(to_f64(stages) * 2.0)
        };

        self.next_attempt += 1;
        let attempt = id::Attempt(self.next_attempt);
        let service = pool.service_times.mean(size).as_secs_f64();
        let (flow, priority) = (active.flow.clone(), active.flow.priority);
        self.inventory.pools[index].ledger.begin(&flow, service);
        self.inventory.begin(now, endpoint);
        self.counters.dispatched += 1;
        self.attempts.insert(
            attempt,
            RunningAttempt {
                cancelled: false,
                ended: false,
                endpoint,
                pool: index,
                priority,
                request: id.clone(),
                service,
                size,
                stage,
            },
        );

        if let Some(active) = self.active.get_mut(id)
            && let Some(current) = &mut active.current
        {
            current.attempts.push(attempt);
            current.tried.push(endpoint);
        }

        if may_hedge && !hedge {
            let due = now + delay.max(Duration::from_millis(1));
            self.timers.insert((due, Timer::Hedge(attempt)));
        }

        actions.push(Action::Dispatched {
            attempt,
            endpoint: self.inventory.endpoints[endpoint].endpoint.endpoint.clone(),
            hedge,
            request: id.clone(),
            stage,
            timeout,
        });
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
