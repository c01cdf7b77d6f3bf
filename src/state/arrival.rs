//! Admits, refuses, fails and removes requests.

use {
    crate::state::{
        action::Action,
        active_request::{ActiveRequest, Timer},
        admission,
        claims::refusal::{Reason, Refusal},
        class::Class,
        clock::Time,
        fair_queue::Flow,
        id, limit,
        request::Request,
        scheduler::Scheduler,
    },
    rand::Rng,
    std::{sync::Arc, time::Duration},
};

/// Retry delay returned with refusals for which no wait is estimated.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Admits or refuses a request. A request that is already in progress is
    /// ignored.
    pub(super) fn arrive(&mut self, now: Time, request: Request, actions: &mut Vec<Action>) {
        if self.active.contains_key(&request.request) {
            return;
        }

        match self.accept(now, &request) {
            Ok(active) => {
                let id = request.request;
                self.limits.begin(now, &request.team, &request.class);
                self.active.insert(id.clone(), active);
                actions.push(Action::Admitted { request: id });
            }
            Err(refusal) => {
                self.counters.count_refusal(refusal.reason);
                actions.push(Action::Refused {
                    refusal,
                    request: request.request,
                });
            }
        }
    }

    /// Removes a request that is over: from the ledgers, from its queue and
    /// from the limits, and cancels its running attempts.
    pub(super) fn remove_request(
        &mut self,
        now: Time,
        request: &id::Request,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut active) = self.active.remove(request) else {
            return;
        };

        for stage in 0..active.committed.len() {
            self.release(&mut active, stage);
        }

        if let Some(current) = active.current.take() {
            if let Some(queued) = current.queued {
                let timer = Timer::Expiry(request.clone());
                self.timers.remove(&(queued.expires, timer));

                if let Some(pool) = self.pool_of(&active, current.stage) {
                    let queue = &mut self.inventory.pools[pool].queue;
                    queue.remove(&active.flow, queued.position);
                }
            }

            for attempt in current.attempts {
                self.cancel(attempt, actions);
            }
        }

        self.limits
            .end(now, &active.request.team, &active.request.class);
    }

    /// Fails a request and removes it. The refusal states whether the request
    /// may have run.
    pub(super) fn fail_request(
        &mut self,
        now: Time,
        request: &id::Request,
        stage: usize,
        reason: Reason,
        detail: String,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.active.get(request) else {
            return;
        };

        let refusal = match (active.may_have_run(), active.request.repeatable) {
            (false, _) => Refusal::not_run(reason, detail),
            (true, false) => Refusal::unknown(reason, detail),
            (true, true) => Refusal::failed(reason, detail),
        };

        self.counters.count_refusal(reason);
        actions.push(Action::Failed {
            refusal: refusal.retry_after(RETRY_AFTER),
            request: request.clone(),
            stage,
        });
        self.remove_request(now, request, actions);
    }

    /// Returns the index of a stage's pool, or `None` if the pool has never had
    /// an endpoint.
    pub(super) fn pool_of(&self, active: &ActiveRequest, stage: usize) -> Option<usize> {
        let stage = active.request.stages.get(stage)?;
        self.inventory.find_pool(&stage.pool)
    }

    /// Removes a stage's expected work from its pool's ledger.
    pub(super) fn release(&mut self, active: &mut ActiveRequest, stage: usize) {
        let Some(committed) = active.committed.get_mut(stage) else {
            return;
        };

        let committed = std::mem::take(committed);

        if committed > 0.0
            && let Some(pool) = self.pool_of(active, stage)
        {
            let ledger = &mut self.inventory.pools[pool].ledger;
            ledger.remove(&active.flow, committed);
        }
    }

    fn accept(&mut self, now: Time, request: &Request) -> Result<ActiveRequest, Refusal> {
        if request.deadline <= now {
            return Err(Refusal::not_run(
                Reason::Deadline,
                "the deadline has passed",
            ));
        }

        let policy = Arc::clone(&self.policy);
        let fallback = Class::default();
        let class = policy
            .class(&request.team, &request.class)
            .unwrap_or(&fallback);
        let pools = self.pools(request)?;
        let flow = self.flow(request, class);
        let finish = self.check_finish(now, request, &flow, class.queue_time, &pools)?;
        self.check_limits(now, request)?;

        let mut committed = Vec::with_capacity(pools.len());

        for index in &pools {
            let pool = &mut self.inventory.pools[*index];
            let work = pool.service_times.mean(pool.size_of(request)).as_secs_f64();
            pool.ledger.add(now, &flow, work);
            committed.push(work);
        }

        Ok(ActiveRequest {
            admitted: now,
            bottleneck: finish.bottleneck,
            committed,
            current: None,
            estimated_wait: finish.uncorrected_wait,
            flow,
            queue_time: class.queue_time,
            ran: false,
            request: request.clone(),
        })
    }

    fn check_finish(
        &mut self,
        now: Time,
        request: &Request,
        flow: &Flow,
        queue_time: Duration,
        pools: &[usize],
    ) -> Result<admission::FinishEstimate, Refusal> {
        let share = self.limits.share(now);
        let finish = admission::estimate_finish(
            &self.inventory,
            pools,
            now,
            request,
            flow,
            share,
            &self.tuning,
        );

        if !self.tuning.admission {
            return Ok(finish);
        }

        let deadline = request.deadline;

        match admission::assess(&self.inventory, pools, finish, now, deadline, queue_time) {
            admission::Decision::Accepted => Ok(finish),
            admission::Decision::Probe { pool } => {
                self.inventory.pools[pool].probed = Some(now);
                Ok(finish)
            }
            admission::Decision::Late { by } => {
                let jitter = self.rng.random_range(0.0..1.0);
                let pool = &mut self.inventory.pools[finish.bottleneck];
                let retry_after =
                    admission::retry_after(pool, now, request, flow, by, share, jitter);
                let name = &pool.name;
                let detail = format!(
                    "estimated to be {} ms too late: {} ms in queues, longest before pool {name}, and {} ms of service",
                    by.as_millis(),
                    finish.wait.as_millis(),
                    finish.service.as_millis(),
                );
                Err(Refusal::not_run(Reason::Overload, detail).retry_after(retry_after))
            }
        }
    }

    fn check_limits(&mut self, now: Time, request: &Request) -> Result<(), Refusal> {
        let policy = Arc::clone(&self.policy);
        let Some(team) = policy.teams.get(&request.team) else {
            return Ok(());
        };

        let class = team.classes.get(&request.class);
        let mut decision = self
            .limits
            .admit(&request.team, &request.class, &team.default, class);

        if decision == limit::Decision::Allowed
            && let Some(class) = class
        {
            let name = Some(&request.class);
            decision = self.limits.spend(now, &request.team, name, class.rate);
        }

        if decision == limit::Decision::Allowed {
            let rate = team.default.rate;
            decision = self.limits.spend(now, &request.team, None, rate);
        }

        match decision {
            limit::Decision::Allowed => Ok(()),
            limit::Decision::Over(retry_after) => {
                let detail = format!("team {} is over its limit on this host", request.team);
                Err(Refusal::not_run(Reason::TeamLimit, detail).retry_after(retry_after))
            }
        }
    }

    /// Returns the flow of a request, which decides its place in queues. With
    /// fairness switched off all requests share one flow.
    fn flow(&self, request: &Request, class: &Class) -> Flow {
        if !self.tuning.fairness {
            return Flow {
                class: "".into(),
                priority: 0,
                share: 0,
                team: "".into(),
                weight: 1,
            };
        }

        Flow {
            class: request.class.clone(),
            priority: class.priority,
            share: class.share,
            team: request.team.clone(),
            weight: class.weight,
        }
    }

    fn pools(&self, request: &Request) -> Result<Vec<usize>, Refusal> {
        request
            .stages
            .iter()
            .map(|stage| {
                self.inventory
                    .find_pool(&stage.pool)
                    .filter(|pool| !self.inventory.pools[*pool].members.is_empty())
                    .ok_or_else(|| {
                        let detail = format!("pool {} has no live endpoint", stage.pool);
                        Refusal::not_run(Reason::NoEndpoint, detail).retry_after(RETRY_AFTER)
                    })
            })
            .collect()
    }
}
