//! Queues stages and sends them to endpoints.

use {
    crate::state::{
        action::Action,
        clock::Time,
        fair_queue::Item,
        id,
        placement::{Placement, Wish},
        refusal::Reason,
        scheduler::Scheduler,
        work::{Current, Queued, Running, Timer, Work},
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
        let Some(work) = self.works.get_mut(id) else {
            return;
        };

        if stage >= work.request.stages.len() || work.current.is_some() {
            return;
        }

        work.current = Some(Current {
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
        let Some(work) = self.works.get(id) else {
            return;
        };
        let Some(current) = &work.current else {
            return;
        };

        let stage = current.stage;
        let Some(pool) = self.pool_of(work, stage) else {
            let detail = format!("pool {} has no endpoint", work.request.stages[stage].pool);
            self.give_up(now, id, stage, Reason::NoEndpoint, detail, actions);
            return;
        };

        let left = work.queue_time.saturating_sub(current.waited);
        let expires = (now + left).min(work.request.deadline);
        let urgency = self.urgency(work, stage);
        let cost = self.fleet.pools[pool]
            .estimates
            .mean(self.fleet.pools[pool].size_of(&work.request));
        self.sequence += 1;
        let position = (urgency, self.sequence);

        if let Some(work) = self.works.get_mut(id) {
            let pool = &mut self.fleet.pools[pool];
            let item = Item {
                cost,
                enqueued: now,
                request: id.clone(),
                stage,
            };

            if work.committed[stage] == 0.0 {
                work.committed[stage] = cost.as_secs_f64();
                pool.ledger.add(now, &work.flow, work.committed[stage]);
            }

            pool.queue.push(&work.flow, position, item);

            if let Some(current) = &mut work.current {
                current.failed = false;
                current.queued = Some(Queued {
                    expires,
                    position,
                    since: now,
                });
            }
        }

        self.timers.insert((expires, Timer::Expiry(id.clone())));

        // Whatever waits ahead of it could not be sent either.
        let first = self.fleet.pools[pool].queue.peek();

        if first.is_some_and(|item| item.request == *id) {
            self.pump(now, pool, None, actions);
        }
    }

    /// Gives up a stage that has waited too long.
    pub(super) fn expire(&mut self, now: Time, id: &id::Request, actions: &mut Vec<Action>) {
        let Some(work) = self.works.get(id) else {
            return;
        };
        let Some(current) = &work.current else {
            return;
        };

        let stage = current.stage;
        let pool = work.request.stages[stage].pool.clone();

        if current.tried.is_empty() {
            let work = work.clone();
            self.compare(now, &work, stage);
        }

        let Some(work) = self.works.get(id) else {
            return;
        };

        if now >= work.request.deadline {
            let detail = format!("the deadline passed in the queue before pool {pool}");
            self.give_up(now, id, stage, Reason::Deadline, detail, actions);
        } else {
            let limit = work.queue_time.as_millis();
            let detail = format!("waited longer than {limit} ms before pool {pool}");
            self.give_up(now, id, stage, Reason::Overload, detail, actions);
        }
    }

    /// Sends a second attempt of a slow stage.
    pub(super) fn hedge(&mut self, now: Time, attempt: id::Attempt, actions: &mut Vec<Action>) {
        let Some(running) = self
            .attempts
            .get(&attempt)
            .filter(|known| !known.cancelled && !known.ended)
        else {
            return;
        };
        let Some(work) = self.works.get(&running.request) else {
            return;
        };
        let Some(current) = &work.current else {
            return;
        };

        let pool = &self.fleet.pools[running.pool];
        let size = running.size;
        let late = now + pool.estimates.median(size) >= work.request.deadline;

        if current.attempts.len() != 1 || late {
            return;
        }

        let (id, index, stage) = (running.request.clone(), running.pool, running.stage);
        let tried = current.tried.clone();
        let retry = now + pool.estimates.high(size).max(Duration::from_millis(1));
        let idle = pool.queue.is_empty();
        let chosen = idle
            .then(|| self.place(now, index, &id, &tried, None))
            .flatten();

        if let Some(endpoint) = chosen
            && self.fleet.pools[index].budget.take(&self.tuning)
        {
            self.tally.hedges += 1;
            self.start(now, &id, stage, endpoint, true, actions);
        } else {
            self.timers.insert((retry, Timer::Hedge(attempt)));
        }
    }

    /// Sends what can be sent of a pool's queue. `freed` is an endpoint on
    /// which something changed.
    pub(super) fn pump(
        &mut self,
        now: Time,
        pool: usize,
        freed: Option<usize>,
        actions: &mut Vec<Action>,
    ) {
        while let Some(item) = self.fleet.pools[pool].queue.peek() {
            let (id, stage, cost) = (item.request.clone(), item.stage, item.cost);
            let Some(work) = self.works.get(&id) else {
                return;
            };

            if self.hopeless(now, work, stage) {
                let name = &self.fleet.pools[pool].name;
                let detail = format!("cannot finish in time after the queue before pool {name}");
                self.give_up(now, &id, stage, Reason::Overload, detail, actions);
                continue;
            }

            let state = &self.fleet.pools[pool];
            let (share, headroom) = (self.limits.share(now), self.tuning.headroom);

            if cost >= self.tuning.long_call
                && !state.queue.owes()
                && !state.leaves_room(now, work.flow.priority, share, headroom)
            {
                return;
            }

            let tried = work
                .current
                .as_ref()
                .map_or_else(Vec::new, |current| current.tried.clone());
            let chosen = self
                .place(now, pool, &id, &tried, freed)
                .or_else(|| self.again(now, pool, &id, &tried, freed));
            let Some(endpoint) = chosen else {
                return;
            };

            self.fleet.pools[pool].queue.pop();
            self.dequeue(now, &id);
            self.start(now, &id, stage, endpoint, false, actions);
        }
    }

    /// Sends what can be sent of every queue.
    pub(super) fn pump_all(&mut self, now: Time, actions: &mut Vec<Action>) {
        for pool in 0..self.fleet.pools.len() {
            self.pump(now, pool, None, actions);
        }
    }

    /// Compares the estimated wait before a stage with the measured one.
    fn compare(&mut self, now: Time, work: &Work, stage: usize) {
        if self.pool_of(work, stage) == Some(work.bottleneck) {
            let measured = now.since(work.admitted);
            let forecast = &mut self.fleet.pools[work.bottleneck].forecast;
            forecast.record(work.flow.priority, work.estimated, measured);
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
        let Some(mut work) = self.works.remove(id) else {
            return;
        };

        if let Some(current) = &mut work.current
            && let Some(queued) = current.queued.take()
        {
            let first = current.tried.is_empty();
            current.waited += now.since(queued.since);
            let timer = Timer::Expiry(id.clone());
            self.timers.remove(&(queued.expires, timer));
            let stage = current.stage;

            if first {
                self.compare(now, &work, stage);
            }

            self.release(&mut work, stage);
        }

        self.works.insert(id.clone(), work);
    }

    fn hopeless(&self, now: Time, work: &Work, stage: usize) -> bool {
        let deadline = work.request.deadline;
        let rest = self.remaining(work, stage).mul_f64(HOPELESS);
        now >= deadline || self.tuning.admission && now + rest > deadline
    }

    fn place(
        &mut self,
        now: Time,
        pool: usize,
        id: &id::Request,
        avoid: &[usize],
        freed: Option<usize>,
    ) -> Option<usize> {
        let wish = Wish {
            avoid,
            freed,
            prefix: self.works.get(id)?.request.prefix,
        };
        let share = self.limits.share(now);

        Placement::new(&self.fleet, now, pool, &mut self.rng, share, &self.tuning).choose(wish)
    }

    fn start(
        &mut self,
        now: Time,
        id: &id::Request,
        stage: usize,
        endpoint: usize,
        hedge: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(work) = self.works.get(id) else {
            return;
        };

        let left = work.request.deadline.since(now);
        let later = self.remaining(work, stage + 1);
        let timeout = left.saturating_sub(later).max(left / 2);
        let index = self.fleet.nodes[endpoint].pool;
        let pool = &self.fleet.pools[index];
        let size = pool.size_of(&work.request);
        let hedged = work.request.repeatable
            && self.tuning.hedging
            && pool.settings.hedge
            && pool.estimates.trained(size);
        let high = pool.estimates.high(size);
        let slack = left.saturating_sub(later + high);
        let delay = high.mul_f64(self.tuning.hedge_factor) + slack.mul_f64(self.tuning.hedge_slack);

        self.next_attempt += 1;
        let attempt = id::Attempt(self.next_attempt);
        let service = pool.estimates.mean(size).as_secs_f64();
        let (flow, priority) = (work.flow.clone(), work.flow.priority);
        self.fleet.pools[index].ledger.begin(&flow, service);
        self.fleet.begin(now, endpoint);
        self.tally.dispatched += 1;
        self.attempts.insert(
            attempt,
            Running {
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

        if let Some(work) = self.works.get_mut(id)
            && let Some(current) = &mut work.current
        {
            current.attempts.push(attempt);
            current.tried.push(endpoint);
        }

        if hedged && !hedge {
            let due = now + delay.max(Duration::from_millis(1));
            self.timers.insert((due, Timer::Hedge(attempt)));
        }

        actions.push(Action::Dispatched {
            attempt,
            endpoint: self.fleet.nodes[endpoint].endpoint.endpoint.clone(),
            hedge,
            request: id.clone(),
            stage,
            timeout,
        });
    }

    /// Returns the time by which a stage should be done; the key within a
    /// team's queue. Without fairness the order is that of arrival.
    fn urgency(&self, work: &Work, stage: usize) -> Time {
        if !self.tuning.fairness {
            return Time::ZERO;
        }

        let later = self.remaining(work, stage + 1);
        let deadline = Duration::from_micros(work.request.deadline.as_micros());
        Time::ZERO + deadline.saturating_sub(later)
    }
}
