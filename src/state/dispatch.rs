//! Queues stages and sends them to endpoints.

use {
    crate::state::{
        action::Action,
        active_request::{ActiveRequest, CurrentStage, QueuedStage, Timer},
        claims::refusal::Reason,
        clock::Time,
        fair_queue::Item,
        id,
        scheduler::Scheduler,
    },
    std::time::Duration,
};

/// Part of the expected rest of a request that must fit before its deadline
/// for it to be sent. Half the median, because a good request must not be
/// dropped for a pessimistic estimate.
const HOPELESS: f64 = 0.5;

impl Scheduler {
    /// Puts a request's stage into the queue of its pool.
    pub(super) fn enqueue(
        &mut self,
        now: Time,
        id: &id::Request,
        stage: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.active.get_mut(id) else {
            return;
        };

        if stage >= active.request.stages.len() || active.current.is_some() {
            return;
        }

        active.current = Some(CurrentStage {
            attempts: Vec::new(),
            failed: false,
            queued: None,
            stage,
            tried: Vec::new(),
            waited: Duration::ZERO,
        });
        self.queue(now, id, actions);
    }

    /// Queues a request's current stage, for the first time or again.
    pub(super) fn queue(&mut self, now: Time, id: &id::Request, actions: &mut Vec<Action>) {
        let Some(active) = self.active.get(id) else {
            return;
        };
        let Some(current) = &active.current else {
            return;
        };

        let stage = current.stage;
        let Some(pool) = self.pool_of(active, stage) else {
            let detail = format!("pool {} has no endpoint", active.request.stages[stage].pool);
            self.give_up(now, id, stage, Reason::NoEndpoint, detail, actions);
            return;
        };

        let left = active.queue_time.saturating_sub(current.waited);
        let expires = (now + left).min(active.request.deadline);
        let urgency = self.urgency(active, stage);
        let cost = self.inventory.pools[pool]
            .estimates
            .mean(self.inventory.pools[pool].size_of(&active.request));
        self.sequence += 1;
        let position = (urgency, self.sequence);

        if let Some(active) = self.active.get_mut(id) {
            let pool = &mut self.inventory.pools[pool];
            let item = Item {
                cost,
                enqueued: now,
                request: id.clone(),
                stage,
            };

            if active.committed[stage] == 0.0 {
                active.committed[stage] = cost.as_secs_f64();
                pool.ledger.add(now, &active.flow, active.committed[stage]);
            }

            pool.queue.push(&active.flow, position, item);

            if let Some(current) = &mut active.current {
                current.failed = false;
                current.queued = Some(QueuedStage {
                    expires,
                    position,
                    since: now,
                });
            }
        }

        self.timers.insert((expires, Timer::Expiry(id.clone())));

        // Whatever waits ahead of it could not be sent either.
        let first = self.inventory.pools[pool].queue.peek();

        if first.is_some_and(|item| item.request == *id) {
            self.dispatch_queued(now, pool, None, actions);
        }
    }

    /// Gives up a stage that has waited too long.
    pub(super) fn expire(&mut self, now: Time, id: &id::Request, actions: &mut Vec<Action>) {
        let Some(active) = self.active.get(id) else {
            return;
        };
        let Some(current) = &active.current else {
            return;
        };

        let stage = current.stage;
        let pool = active.request.stages[stage].pool.clone();

        if current.tried.is_empty() {
            let active = active.clone();
            self.compare(now, &active, stage);
        }

        let Some(active) = self.active.get(id) else {
            return;
        };

        if now >= active.request.deadline {
            let detail = format!("the deadline passed in the queue before pool {pool}");
            self.give_up(now, id, stage, Reason::Deadline, detail, actions);
        } else {
            let limit = active.queue_time.as_millis();
            let detail = format!("waited longer than {limit} ms before pool {pool}");
            self.give_up(now, id, stage, Reason::Overload, detail, actions);
        }
    }

    /// Sends what can be sent of a pool's queue. `freed` is an endpoint on
    /// which something changed.
    pub(super) fn dispatch_queued(
        &mut self,
        now: Time,
        pool: usize,
        freed: Option<usize>,
        actions: &mut Vec<Action>,
    ) {
        while let Some(item) = self.inventory.pools[pool].queue.peek() {
            let (id, stage, cost) = (item.request.clone(), item.stage, item.cost);
            let Some(active) = self.active.get(&id) else {
                return;
            };

            if self.hopeless(now, active, stage) {
                let name = &self.inventory.pools[pool].name;
                let detail = format!("cannot finish in time after the queue before pool {name}");
                self.give_up(now, &id, stage, Reason::Overload, detail, actions);
                continue;
            }

            let state = &self.inventory.pools[pool];
            let (share, headroom) = (self.limits.share(now), self.tuning.headroom);

            if cost >= self.tuning.long_call
                && !state.queue.owes()
                && !state.leaves_headroom(now, active.flow.priority, share, headroom)
            {
                return;
            }

            let tried = active
                .current
                .as_ref()
                .map_or_else(Vec::new, |current| current.tried.clone());
            let chosen = self
                .place(now, pool, &id, &tried, freed)
                .or_else(|| self.again(now, pool, &id, &tried, freed));
            let Some(endpoint) = chosen else {
                return;
            };

            self.inventory.pools[pool].queue.pop();
            self.dequeue(now, &id);
            self.start(now, &id, stage, endpoint, false, actions);
        }
    }

    /// Sends what can be sent of every queue.
    pub(super) fn dispatch_all_queued(&mut self, now: Time, actions: &mut Vec<Action>) {
        for pool in 0..self.inventory.pools.len() {
            self.dispatch_queued(now, pool, None, actions);
        }
    }

    /// Compares the estimated wait before a stage with the measured one.
    fn compare(&mut self, now: Time, active: &ActiveRequest, stage: usize) {
        if self.pool_of(active, stage) == Some(active.bottleneck) {
            let measured = now.since(active.admitted);
            let forecast = &mut self.inventory.pools[active.bottleneck].forecast;
            forecast.record(active.flow.priority, active.estimated, measured);
        }
    }

    /// Chooses an endpoint that has had the stage before, if no other is open.
    fn again(
        &mut self,
        now: Time,
        pool: usize,
        id: &id::Request,
        tried: &[usize],
        freed: Option<usize>,
    ) -> Option<usize> {
        if tried.is_empty() {
            return None;
        }

        self.place(now, pool, id, &[], freed)
    }

    /// Notes that a request's stage has left the queue.
    fn dequeue(&mut self, now: Time, id: &id::Request) {
        let Some(mut active) = self.active.remove(id) else {
            return;
        };

        if let Some(current) = &mut active.current
            && let Some(queued) = current.queued.take()
        {
            let first = current.tried.is_empty();
            current.waited += now.since(queued.since);
            let timer = Timer::Expiry(id.clone());
            self.timers.remove(&(queued.expires, timer));
            let stage = current.stage;

            if first {
                self.compare(now, &active, stage);
            }

            self.release(&mut active, stage);
        }

        self.active.insert(id.clone(), active);
    }

    fn hopeless(&self, now: Time, active: &ActiveRequest, stage: usize) -> bool {
        let deadline = active.request.deadline;
        let rest = self.remaining(active, stage).mul_f64(HOPELESS);
        now >= deadline || self.tuning.admission && now + rest > deadline
    }

    /// Returns the time by which a stage should be done; the key within a
    /// team's queue. Without fairness the order is that of arrival.
    fn urgency(&self, active: &ActiveRequest, stage: usize) -> Time {
        if !self.tuning.fairness {
            return Time::ZERO;
        }

        let later = self.remaining(active, stage + 1);
        let deadline = Duration::from_micros(active.request.deadline.as_micros());
        Time::ZERO + deadline.saturating_sub(later)
    }
}
