//! Handles the end of attempts: records the result and continues the request.

use {
    crate::state::{
        action::Action,
        active_request::RunningAttempt,
        attempt::{End, Report},
        claims::refusal::Reason,
        clock::Time,
        id,
        scheduler::Scheduler,
    },
    std::time::Duration,
};

/// The next step of a request after one of its attempts ended.
enum Next {
    /// The stage is complete.
    Done,
    /// The request fails.
    Fail(Reason, &'static str),
    /// Nothing is left to do, or another attempt of the stage still runs.
    Nothing,
    /// The stage goes back to its pool's queue.
    Requeue,
}

impl Scheduler {
    /// Cancels an attempt whose result is no longer needed.
    pub(super) fn cancel(&mut self, attempt: id::Attempt, actions: &mut Vec<Action>) {
        if let Some(running) = self.attempts.get_mut(&attempt) {
            running.cancelled = true;
            actions.push(Action::Cancelled {
                attempt,
                request: running.request.clone(),
            });
        }
    }

    /// Handles the end of an attempt: updates the ledger and the endpoint,
    /// advances the request unless the attempt was cancelled, and dispatches
    /// queued work.
    pub(super) fn complete(
        &mut self,
        now: Time,
        attempt: id::Attempt,
        report: &Report,
        actions: &mut Vec<Action>,
    ) {
        let Some(running) = self.attempts.remove(&attempt) else {
            return;
        };

        let ledger = &mut self.inventory.pools[running.pool].ledger;
        ledger.end(running.priority, running.service);
        self.inventory.end(now, running.endpoint, running.pool);
        self.record_outcome(now, &running, report);

        if !running.cancelled {
            self.advance_request(now, attempt, &running, report, actions);
        }

        self.dispatch_queued(now, running.pool, Some(running.endpoint), actions);
    }

    /// Applies the next step of a request after one of its attempts ended.
    fn advance_request(
        &mut self,
        now: Time,
        attempt: id::Attempt,
        running: &RunningAttempt,
        report: &Report,
        actions: &mut Vec<Action>,
    ) {
        let id = &running.request;
        let Some(active) = self.active.get_mut(id) else {
            return;
        };
        let Some(current) = &mut active.current else {
            return;
        };

        current.attempts.retain(|other| *other != attempt);
        current.failed |= matches!(report.end, End::Failed | End::TimedOut);
        active.ran |= !matches!(report.end, End::NotRun { .. });

        match self.next_step(now, running, &report.end) {
            Next::Done => {
                let current = self
                    .active
                    .get_mut(id)
                    .and_then(|active| active.current.take());
                let redundant = current.map_or_else(Vec::new, |current| current.attempts);
                redundant
                    .into_iter()
                    .for_each(|redundant_attempt| self.cancel(redundant_attempt, actions));
            }
            Next::Fail(reason, detail) => {
                self.fail_request(now, id, running.stage, reason, detail.into(), actions);
            }
            Next::Nothing => {}
            Next::Requeue => self.queue_current_stage(now, id, actions),
        }
    }

    /// Updates the service times, ejection state or phase of an attempt's
    /// endpoint and pool from its result.
    fn record_outcome(&mut self, now: Time, running: &RunningAttempt, report: &Report) {
        let (endpoint, size) = (running.endpoint, running.size);
        let elapsed = report.elapsed.max(Duration::from_micros(1));
        let tuning = &self.tuning;

        match report.end {
            End::Cancelled => self
                .inventory
                .record_lower_bound(now, endpoint, size, elapsed, tuning),
            End::Done { .. } => self
                .inventory
                .record_success(now, endpoint, size, elapsed, tuning),
            End::Failed | End::TimedOut => self.inventory.record_failure(now, endpoint, tuning),
            End::NotRun { leaving: true } => self.inventory.mark_leaving(now, endpoint),
            End::NotRun { leaving: false } => {
                self.inventory.endpoints[endpoint]
                    .ejection
                    .record_refusal(now, tuning);
            }
        }
    }

    fn next_step(&mut self, now: Time, running: &RunningAttempt, end: &End) -> Next {
        let Some(active) = self.active.get(&running.request) else {
            return Next::Nothing;
        };

        let Some(current) = &active.current else {
            return Next::Nothing;
        };

        match end {
            End::Done { .. } => return Next::Done,
            End::Cancelled => return Next::Nothing,
            _ if !current.attempts.is_empty() => return Next::Nothing,
            _ => {}
        }

        if current.failed && !active.request.repeatable {
            return Next::Fail(Reason::Stage, "the endpoint did not answer in full");
        }

        if now >= active.request.deadline {
            return Next::Fail(Reason::Deadline, "the deadline passed");
        }

        // `failed` covers every attempt since the stage was queued: if one of
        // an attempt and its hedge failed and the other did not run, sending
        // the stage again counts as a retry too.
        if !current.failed {
            return Next::Requeue;
        }

        if !self.inventory.pools[running.pool]
            .budget
            .withdraw(&self.tuning)
        {
            return Next::Fail(Reason::Stage, "the pool's retry budget is spent");
        }

        self.counters.retries += 1;
        Next::Requeue
    }
}
