//! What happens when a request arrives or is over.

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

/// When a caller may try again after a refusal that no estimate explains.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Admits or refuses a request.
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

    /// Forgets a request that is over and cancels what still runs for it.
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

    /// Ends a request without an answer.
    pub(super) fn give_up(
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

    /// Returns the pool of a stage, if any endpoint of it was ever seen.
    pub(super) fn pool_of(&self, active: &ActiveRequest, stage: usize) -> Option<usize> {
        let stage = active.request.stages.get(stage)?;
        self.inventory.find_pool(&stage.pool)
    }

    /// Takes a stage's work out of the ledger.
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
            let work = pool.estimates.mean(pool.size_of(request)).as_secs_f64();
            pool.ledger.add(now, &flow, work);
            committed.push(work);
        }

        Ok(ActiveRequest {
            admitted: now,
            bottleneck: finish.bottleneck,
            committed,
            current: None,
            estimated: finish.raw,
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
    ) -> Result<admission::Finish, Refusal> {
        let share = self.limits.share(now);
        let finish = admission::finish(
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

        match admission::judge(&self.inventory, pools, finish, now, deadline, queue_time) {
            admission::Verdict::Accepted => Ok(finish),
            admission::Verdict::Probe { pool } => {
                self.inventory.pools[pool].probed = Some(now);
                Ok(finish)
            }
            admission::Verdict::Late { by } => {
                let lot = self.rng.random_range(0.0..1.0);
                let pool = &mut self.inventory.pools[finish.bottleneck];
                let retry_after = admission::retry_after(pool, now, request, flow, by, share, lot);
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
        let mut verdict = self
            .limits
            .admit(&request.team, &request.class, &team.default, class);

        if verdict == limit::Verdict::Allowed
            && let Some(class) = class
        {
            let name = Some(&request.class);
            verdict = self.limits.spend(now, &request.team, name, class.rate);
        }

        if verdict == limit::Verdict::Allowed {
            let rate = team.default.rate;
            verdict = self.limits.spend(now, &request.team, None, rate);
        }

        match verdict {
            limit::Verdict::Allowed => Ok(()),
            limit::Verdict::Over(retry_after) => {
                let detail = format!("team {} is over its limit on this host", request.team);
                Err(Refusal::not_run(Reason::TeamLimit, detail).retry_after(retry_after))
            }
        }
    }

    /// Returns where the request belongs in queues. Without fairness all
    /// requests share one queue.
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
