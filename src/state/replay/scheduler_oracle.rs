//! Oracle that records the scheduler's events and actions and checks every
//! action against the rules, without using the scheduler's code.

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

/// Number of successes that allow one more retry or hedge.
const SUCCESSES_PER_RETRY: u64 = 10;

/// The oracle's record of a request.
#[derive(Debug)]
pub struct Entry {
    pub admitted: bool,
    /// Whether an attempt of the current stage has failed since the latest one
    /// was sent.
    failed: bool,
    pub ended: bool,
    /// Time since which the current stage is queued, or `None` if it is not.
    queued_since: Option<Time>,
    queue_time: Duration,
    pub request: Request,
    /// Number of attempts that ran or may have run, by stage.
    ran: BTreeMap<usize, u32>,
    pub stage: usize,
    /// Time that the current stage had spent in the queue before
    /// `queued_since`.
    waited: Duration,
}

/// The oracle's record of an attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub endpoint: id::Endpoint,
    pub request: id::Request,
    pub stage: usize,
    pub started: Time,
    pub timeout: Duration,
}

/// Independent model of the scheduler's requests, attempts and endpoints.
#[derive(Debug, Default)]
pub struct Oracle {
    pub attempts: BTreeMap<id::Attempt, Attempt>,
    pub cancelled: BTreeSet<id::Attempt>,
    pub endpoints: BTreeMap<id::Endpoint, Endpoint>,
    /// Time at which an endpoint reported that it is leaving, and whether the
    /// host list has confirmed it since.
    leaving_reports: BTreeMap<id::Endpoint, (Time, bool)>,
    pub requests: BTreeMap<id::Request, Entry>,
    /// Number of successes, and of retries and hedges, by pool.
    retry_usage: BTreeMap<id::Pool, (u64, u64)>,
}

impl Oracle {
    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, request: Request, queue_time: Duration) {
        self.requests.insert(
            request.request.clone(),
            Entry {
                admitted: false,
                failed: false,
                ended: false,
                queued_since: None,
                queue_time,
                request,
                ran: BTreeMap::new(),
                stage: 0,
                waited: Duration::ZERO,
            },
        );
    }

    /// Checks that no stage is queued for longer than its queue time.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    pub fn check_queue_times(&self, now: Time) -> Result<(), Violation> {
        for (id, entry) in self.requests.iter().filter(|(_, entry)| !entry.ended) {
            let Some(queued) = entry.queued_since else {
                continue;
            };

            let waited = entry.waited + now.since(queued);
            check(waited <= entry.queue_time, Rule::QueueTime, || {
                format!("{id} has been queued for {waited:?}")
            })?;
        }

        Ok(())
    }

    /// Records the end of an attempt, before the scheduler handles it.
    pub fn record_end(&mut self, now: Time, id: id::Attempt, end: &End) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        let cancelled = self.cancelled.remove(&id);
        let pool = self.pool_of(&attempt);
        let entry = self.requests.get_mut(&attempt.request)?;

        if *end == (End::NotRun { leaving: true }) {
            let confirmed = self
                .endpoints
                .get(&attempt.endpoint)
                .is_none_or(|endpoint| endpoint.phase == Phase::Leaving);
            self.leaving_reports
                .insert(attempt.endpoint.clone(), (now, confirmed));
        }

        match end {
            End::NotRun { .. } => {
                if let Some(ran) = entry.ran.get_mut(&attempt.stage) {
                    *ran -= 1;
                }
            }
            End::Done { .. } => self.retry_usage.entry(pool).or_default().0 += 1,
            End::Failed | End::TimedOut => entry.failed = true,
            End::Cancelled => {}
        }

        let last_attempt = !self.attempts.iter().any(|(other, running)| {
            running.request == attempt.request && !self.cancelled.contains(other)
        });

        if !cancelled && last_attempt && !entry.ended && !matches!(end, End::Done { .. }) {
            entry.queued_since = Some(now);
        }

        Some(attempt)
    }

    /// Records the endpoints of a host list.
    pub fn record_endpoints(&mut self, now: Time, endpoints: &[Endpoint], hold: Duration) {
        let mut listed = BTreeMap::new();

        for endpoint in endpoints {
            let id = endpoint.endpoint.clone();

            if let Some((since, confirmed)) = self.leaving_reports.get_mut(&id) {
                match endpoint.phase {
                    Phase::Leaving => *confirmed = true,
                    Phase::Live if *confirmed || now.since(*since) >= hold => {
                        self.leaving_reports.remove(&id);
                    }
                    Phase::Live => {}
                }
            }

            listed.insert(id, endpoint.clone());
        }

        for (id, (_, confirmed)) in &mut self.leaving_reports {
            *confirmed |= !listed.contains_key(id);
        }

        self.endpoints = listed;
    }

    /// Checks and records one action of the scheduler.
    ///
    /// # Errors
    ///
    /// Returns the rule that the action violates.
    pub fn check_action(&mut self, now: Time, action: &Action) -> Result<(), Violation> {
        let Some(id) = action.request() else {
            return Ok(());
        };

        let entry = self.requests.get_mut(id).ok_or_else(|| Violation {
            detail: format!("{action:?} for an unknown request"),
            rule: Rule::Ending,
        })?;
        let ends = !matches!(action, Action::Cancelled { .. });

        check(!(entry.ended && ends), Rule::Ending, || {
            format!("{action:?} after the request ended")
        })?;

        match action {
            Action::Admitted { .. } => {
                check(!entry.admitted, Rule::Ending, || {
                    format!("{id} admitted twice")
                })?;
                entry.admitted = true;
            }
            Action::Cancelled { attempt, .. } => {
                let in_progress = self.attempts.contains_key(attempt);
                let first = self.cancelled.insert(*attempt);
                check(in_progress && first, Rule::Ending, || {
                    format!("attempt {attempt} cancelled twice or after its end")
                })?;
            }
            Action::Dispatched { .. } => return self.check_dispatch(now, action),
            Action::Failed { refusal, .. } => {
                let ran = entry.ran.values().any(|ran| *ran > 0);
                let expected = match (ran, entry.request.repeatable) {
                    (false, _) => Outcome::NotRun,
                    (true, true) => Outcome::Failed,
                    (true, false) => Outcome::Unknown,
                };
                entry.ended = true;
                check(refusal.outcome == expected, Rule::Outcome, || {
                    format!("{id} ended as {:?}, expected {expected:?}", refusal.outcome)
                })?;
            }
            Action::Refused { refusal, .. } => {
                entry.ended = true;
                let correct = refusal.outcome == Outcome::NotRun && !entry.admitted;
                check(correct, Rule::Outcome, || {
                    format!("{id} refused: {refusal:?}")
                })?;
            }
            Action::Warned(_) => {}
        }

        Ok(())
    }

    /// Records that a stage is ready to run.
    pub fn record_ready(&mut self, now: Time, id: &id::Request, stage: usize) {
        if let Some(entry) = self.requests.get_mut(id) {
            entry.failed = false;
            entry.queued_since = Some(now);
            entry.stage = stage;
            entry.waited = Duration::ZERO;
        }
    }

    /// Returns the number of requests with a queued stage.
    pub fn waiting(&self) -> usize {
        let waits = |entry: &&Entry| !entry.ended && entry.queued_since.is_some();
        self.requests.values().filter(waits).count()
    }

    fn check_dispatch(&mut self, now: Time, action: &Action) -> Result<(), Violation> {
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
            target.phase == Phase::Live
                && target.pool == pool
                && !self.leaving_reports.contains_key(endpoint)
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

        check(
            *hedge != entry.queued_since.is_some(),
            Rule::Accounting,
            || format!("{action:?} while queued since {:?}", entry.queued_since),
        )?;

        if let Some(queued) = entry.queued_since.take() {
            entry.waited += now.since(queued);
        }

        let (successes, spent) = self.retry_usage.entry(pool).or_default();
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

    fn pool_of(&self, attempt: &Attempt) -> id::Pool {
        let stages = &self.requests[&attempt.request].request.stages;
        stages[attempt.stage].pool.clone()
    }
}
