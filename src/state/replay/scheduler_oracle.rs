//! A plain record of what the scheduler was told and did, which checks every
//! action against the rules without using the scheduler's own code.

use {
    crate::state::{
        action::Action,
        attempt::End,
        claims::refusal::Outcome,
        clock::Time,
        endpoint::{Endpoint, Phase},
        id,
        replay::scheduler_violation::{Rule, Violation, check},
        request::Request,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Successes that earn one retry.
const SUCCESSES_PER_RETRY: u64 = 10;

/// A request in the oracle's eyes.
#[derive(Debug)]
pub struct Entry {
    pub admitted: bool,
    /// Whether an attempt of the present stage failed since the last one was
    /// sent.
    failed: bool,
    pub over: bool,
    /// Since when the present stage waits.
    queued: Option<Time>,
    queue_time: Duration,
    pub request: Request,
    /// Attempts that ran or may have run, by stage.
    ran: BTreeMap<usize, u32>,
    pub stage: usize,
    waited: Duration,
}

/// An attempt in the oracle's eyes.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub endpoint: id::Endpoint,
    pub request: id::Request,
    pub stage: usize,
    pub started: Time,
    pub timeout: Duration,
}

/// The oracle.
#[derive(Debug, Default)]
pub struct Oracle {
    pub attempts: BTreeMap<id::Attempt, Attempt>,
    pub cancelled: BTreeSet<id::Attempt>,
    pub endpoints: BTreeMap<id::Endpoint, Endpoint>,
    /// When endpoints said that they leave, and whether the list agreed since.
    marks: BTreeMap<id::Endpoint, (Time, bool)>,
    pub requests: BTreeMap<id::Request, Entry>,
    /// Successes, and retries and hedges, by pool.
    spent: BTreeMap<id::Pool, (u64, u64)>,
}

impl Oracle {
    /// Notes a request that asks for admission.
    pub fn arrive(&mut self, request: Request, queue_time: Duration) {
        self.requests.insert(
            request.request.clone(),
            Entry {
                admitted: false,
                failed: false,
                over: false,
                queued: None,
                queue_time,
                request,
                ran: BTreeMap::new(),
                stage: 0,
                waited: Duration::ZERO,
            },
        );
    }

    /// Checks what must hold after each event.
    pub fn check(&self, now: Time) -> Result<(), Violation> {
        for (id, entry) in self.requests.iter().filter(|(_, entry)| !entry.over) {
            let Some(queued) = entry.queued else {
                continue;
            };

            let waited = entry.waited + now.since(queued);
            check(waited <= entry.queue_time, Rule::QueueTime, || {
                format!("{id} has waited for {waited:?}")
            })?;
        }

        Ok(())
    }

    /// Notes the end of an attempt that the scheduler has not heard of yet.
    pub fn finish(&mut self, now: Time, id: id::Attempt, end: &End) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        let cancelled = self.cancelled.remove(&id);
        let pool = self.endpoints_pool(&attempt);
        let entry = self.requests.get_mut(&attempt.request)?;

        if *end == (End::NotRun { leaving: true }) {
            let agreed = self
                .endpoints
                .get(&attempt.endpoint)
                .is_none_or(|endpoint| endpoint.phase == Phase::Leaving);
            self.marks.insert(attempt.endpoint.clone(), (now, agreed));
        }

        match end {
            End::NotRun { .. } => {
                if let Some(ran) = entry.ran.get_mut(&attempt.stage) {
                    *ran -= 1;
                }
            }
            End::Done { .. } => self.spent.entry(pool).or_default().0 += 1,
            End::Failed | End::TimedOut => entry.failed = true,
            End::Cancelled => {}
        }

        let alone = !self.attempts.iter().any(|(other, running)| {
            running.request == attempt.request && !self.cancelled.contains(other)
        });

        if !cancelled && alone && !entry.over && !matches!(end, End::Done { .. }) {
            entry.queued = Some(now);
        }

        Some(attempt)
    }

    /// Notes a host list.
    pub fn list(&mut self, now: Time, endpoints: &[Endpoint], hold: Duration) {
        let mut listed = BTreeMap::new();

        for endpoint in endpoints {
            let id = endpoint.endpoint.clone();

            if let Some((since, agreed)) = self.marks.get_mut(&id) {
                match endpoint.phase {
                    Phase::Leaving => *agreed = true,
                    Phase::Live if *agreed || now.since(*since) >= hold => {
                        self.marks.remove(&id);
                    }
                    Phase::Live => {}
                }
            }

            listed.insert(id, endpoint.clone());
        }

        for (id, (_, agreed)) in &mut self.marks {
            *agreed |= !listed.contains_key(id);
        }

        self.endpoints = listed;
    }

    /// Checks and notes one action.
    ///
    /// # Errors
    ///
    /// Returns the rule that the action breaks.
    pub fn observe(&mut self, now: Time, action: &Action) -> Result<(), Violation> {
        let Some(id) = action.request() else {
            return Ok(());
        };

        let entry = self.requests.get_mut(id).ok_or_else(|| Violation {
            detail: format!("{action:?} for an unknown request"),
            rule: Rule::Ending,
        })?;
        let ends = !matches!(action, Action::Cancelled { .. });

        check(!(entry.over && ends), Rule::Ending, || {
            format!("{action:?} after the end")
        })?;

        match action {
            Action::Admitted { .. } => {
                check(!entry.admitted, Rule::Ending, || {
                    format!("{id} admitted twice")
                })?;
                entry.admitted = true;
            }
            Action::Cancelled { attempt, .. } => {
                let known = self.attempts.contains_key(attempt);
                let first = self.cancelled.insert(*attempt);
                check(known && first, Rule::Ending, || {
                    format!("attempt {attempt} cancelled twice or after its end")
                })?;
            }
            Action::Dispatched { .. } => return self.dispatch(now, action),
            Action::Failed { refusal, .. } => {
                let ran = entry.ran.values().any(|ran| *ran > 0);
                let expected = match (ran, entry.request.repeatable) {
                    (false, _) => Outcome::NotRun,
                    (true, true) => Outcome::Failed,
                    (true, false) => Outcome::Unknown,
                };
                entry.over = true;
                check(refusal.outcome == expected, Rule::Outcome, || {
                    format!("{id} ended as {:?}, not {expected:?}", refusal.outcome)
                })?;
            }
            Action::Refused { refusal, .. } => {
                entry.over = true;
                let right = refusal.outcome == Outcome::NotRun && !entry.admitted;
                check(right, Rule::Outcome, || {
                    format!("{id} refused: {refusal:?}")
                })?;
            }
            Action::Warned(_) => {}
        }

        Ok(())
    }

    /// Notes that a stage is ready to run.
    pub fn ready(&mut self, now: Time, id: &id::Request, stage: usize) {
        if let Some(entry) = self.requests.get_mut(id) {
            entry.failed = false;
            entry.queued = Some(now);
            entry.stage = stage;
            entry.waited = Duration::ZERO;
        }
    }

    /// Returns the requests with a stage in a queue.
    pub fn waiting(&self) -> usize {
        let waits = |entry: &&Entry| !entry.over && entry.queued.is_some();
        self.requests.values().filter(waits).count()
    }

    fn dispatch(&mut self, now: Time, action: &Action) -> Result<(), Violation> {
        let Action::Dispatched {
            attempt,
            endpoint,
            hedge,
            request,
            stage,
            timeout,
        } = action
        else {
            return Ok(());
        };
        let Some(entry) = self.requests.get_mut(request) else {
            return Ok(());
        };

        let target = self.endpoints.get(endpoint);
        let pool = entry.request.stages[*stage].pool.clone();
        let usable = target.is_some_and(|target| {
            target.phase == Phase::Live && target.pool == pool && !self.marks.contains_key(endpoint)
        });
        check(usable, Rule::Leaving, || format!("{action:?}"))?;

        let on_time = now < entry.request.deadline
            && now + *timeout <= entry.request.deadline
            && !timeout.is_zero();
        check(on_time, Rule::Deadline, || format!("{action:?} at {now:?}"))?;

        if !entry.request.repeatable {
            let ran: u32 = entry.ran.get(stage).copied().unwrap_or(0);
            check(ran == 0 && !hedge, Rule::AtMostOnce, || {
                format!("{action:?}")
            })?;
        }

        check(*hedge != entry.queued.is_some(), Rule::Accounting, || {
            format!("{action:?} while queued since {:?}", entry.queued)
        })?;

        if let Some(queued) = entry.queued.take() {
            entry.waited += now.since(queued);
        }

        let (successes, spent) = self.spent.entry(pool).or_default();
        *spent += u64::from(*hedge || std::mem::take(&mut entry.failed));
        check(
            *spent <= 1 + *successes / SUCCESSES_PER_RETRY,
            Rule::Budget,
            || format!("{spent} retries and hedges after {successes} successes"),
        )?;

        *entry.ran.entry(*stage).or_insert(0) += 1;
        self.attempts.insert(
            *attempt,
            Attempt {
                endpoint: endpoint.clone(),
                request: request.clone(),
                stage: *stage,
                started: now,
                timeout: *timeout,
            },
        );
        Ok(())
    }

    fn endpoints_pool(&self, attempt: &Attempt) -> id::Pool {
        let stages = &self.requests[&attempt.request].request.stages;
        stages[attempt.stage].pool.clone()
    }
}
