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

/// Fraction of a request's estimated remaining service time that must fit
/// before its deadline for the request to be sent. Half of the median, so that
/// a pessimistic estimate does not drop a request that could finish.
const REQUIRED_FRACTION: f64 = 0.5;

impl Scheduler {
    /// Starts a stage of a request by putting it into the queue of its pool.
    /// Does nothing if a stage is in progress or the index is out of range.
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
        self.queue_current_stage(now, id, actions);
    }

    /// Queues the current stage of a request, for the first attempt or a retry.
    pub(super) fn queue_current_stage(
        &mut self,
        now: Time,
        id: &id::Request,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.active.get(id) else {
            return;
        };
        let Some(current) = &active.current else {
            return;
        };

        let stage = current.stage;
        let Some(pool) = self.pool_of(active, stage) else {
            let detail = format!("pool {} has no endpoint", active.request.stages[stage].pool);
            self.fail_request(now, id, stage, Reason::NoEndpoint, detail, actions);
            return;
        };

        let left = active.queue_time.saturating_sub(current.waited);
        let expires = (now + left).min(active.request.deadline);
        let stage_deadline = self.stage_deadline(active, stage);
        let cost = self.inventory.pools[pool]
            .service_times
            .mean(self.inventory.pools[pool].size_of(&active.request));
        self.sequence += 1;
        let position = (stage_deadline, self.sequence);

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

        // If another item is first, it could not be sent, so this one cannot be
        // sent either.
        let first = self.inventory.pools[pool].queue.peek();

        if first.is_some_and(|item| item.request == *id) {
            self.dispatch_queued(now, pool, None, actions);
        }
    }

    /// Fails a request whose stage has waited too long in the queue.
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
            self.record_wait_error(now, &active, stage);
        }

        let Some(active) = self.active.get(id) else {
            return;
        };

        if now >= active.request.deadline {
            let detail = format!("the deadline passed in the queue before pool {pool}");
            self.fail_request(now, id, stage, Reason::Deadline, detail, actions);
        } else {
            let limit = active.queue_time.as_millis();
            let detail = format!("waited longer than {limit} ms before pool {pool}");
            self.fail_request(now, id, stage, Reason::Overload, detail, actions);
        }
    }

    /// Sends stages from a pool's queue until it is empty or its first item has
    /// to wait. `freed` is an endpoint that may have become available.
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

            if self.cannot_meet_deadline(now, active, stage) {
                let name = &self.inventory.pools[pool].name;
                let detail = format!("cannot finish in time after the queue before pool {name}");
                self.fail_request(now, &id, stage, Reason::Overload, detail, actions);
                continue;
            }

            let state = &self.inventory.pools[pool];
            let (share, headroom) = (self.limits.share(now), self.tuning.headroom);

            if cost >= self.tuning.long_call
                && !state.queue.next_has_guaranteed_share()
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
                .or_else(|| self.place_on_tried(now, pool, &id, &tried, freed));
            let Some(endpoint) = chosen else {
                return;
            };

            self.inventory.pools[pool].queue.pop();
            self.dequeue(now, &id);
            self.start(now, &id, stage, endpoint, false, actions);
        }
    }

    /// Sends the stages that can be placed from the queues of all pools.
    pub(super) fn dispatch_all_queued(&mut self, now: Time, actions: &mut Vec<Action>) {
        for pool in 0..self.inventory.pools.len() {
            self.dispatch_queued(now, pool, None, actions);
        }
    }

    /// Records the error of the wait estimated at admission, if the stage's
    /// pool is the one that the estimate was for.
    fn record_wait_error(&mut self, now: Time, active: &ActiveRequest, stage: usize) {
        if self.pool_of(active, stage) == Some(active.bottleneck) {
            let measured = now.since(active.admitted);
            let wait_correction = &mut self.inventory.pools[active.bottleneck].wait_correction;
            wait_correction.record(active.flow.priority, active.estimated_wait, measured);
        }
    }

    /// Chooses among all endpoints, including those already tried for the
    /// stage; used when no other endpoint is available.
    fn place_on_tried(
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

    /// Updates a request whose stage has left the queue: adds up the time
    /// waited, clears the timer and removes the stage's work from the ledger.
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
                self.record_wait_error(now, &active, stage);
            }

            self.release(&mut active, stage);
        }

        self.active.insert(id.clone(), active);
    }

    /// Returns whether the deadline has passed or, with admission control on,
    /// the required fraction of the estimated remaining time no longer fits
    /// before it.
    fn cannot_meet_deadline(&self, now: Time, active: &ActiveRequest, stage: usize) -> bool {
        let deadline = active.request.deadline;
        let required = self.remaining(active, stage).mul_f64(REQUIRED_FRACTION);
        now >= deadline || self.tuning.admission && now + required > deadline
    }

    /// Returns the time by which a stage must end for the later stages to meet
    /// the deadline. It orders the items of one team; with fairness switched
    /// off it is constant, so the order is that of arrival.
    fn stage_deadline(&self, active: &ActiveRequest, stage: usize) -> Time {
        if !self.tuning.fairness {
            return Time::ZERO;
        }

        let later = self.remaining(active, stage + 1);
        let deadline = Duration::from_micros(active.request.deadline.as_micros());
        Time::ZERO + deadline.saturating_sub(later)
    }
}
