//! What happens when an attempt ends.

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

/// What follows from the end of an attempt.
enum Next {
    /// The stage is done.
    Done,
    /// The request fails.
    GiveUp(Reason, &'static str),
    /// Nothing: another attempt still runs.
    Nothing,
    /// The stage is sent again.
    Queue,
}

impl Scheduler {
    /// Cancels an attempt whose end no longer matters.
    pub(super) fn cancel(&mut self, attempt: id::Attempt, actions: &mut Vec<Action>) {
        if let Some(running) = self.attempts.get_mut(&attempt) {
            running.cancelled = true;
            actions.push(Action::Cancelled {
                attempt,
                request: running.request.clone(),
            });
        }
    }

    /// Takes the end of an attempt.
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
        self.learn(now, &running, report);

        if !running.cancelled {
            self.follow(now, attempt, &running, report, actions);
        }

        self.dispatch_queued(now, running.pool, Some(running.endpoint), actions);
    }

    /// Goes on with the request after one of its attempts ended.
    fn follow(
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

        match self.next(now, running, &report.end) {
            Next::Done => {
                let current = self
                    .active
                    .get_mut(id)
                    .and_then(|active| active.current.take());
                let losers = current.map_or_else(Vec::new, |current| current.attempts);
                losers
                    .into_iter()
                    .for_each(|loser| self.cancel(loser, actions));
            }
            Next::GiveUp(reason, detail) => {
                self.give_up(now, id, running.stage, reason, detail.into(), actions);
            }
            Next::Nothing => {}
            Next::Queue => self.queue(now, id, actions),
        }
    }

    /// Records what an attempt's end says about its endpoint and pool.
    fn learn(&mut self, now: Time, running: &RunningAttempt, report: &Report) {
        let (node, size) = (running.endpoint, running.size);
        let elapsed = report.elapsed.max(Duration::from_micros(1));
        let tuning = &self.tuning;

        match report.end {
            End::Cancelled => self
                .inventory
                .record_lower_bound(now, node, size, elapsed, tuning),
            End::Done { .. } => self
                .inventory
                .record_success(now, node, size, elapsed, tuning),
            End::Failed | End::TimedOut => self.inventory.record_failure(now, node, tuning),
            End::NotRun { leaving: true } => self.inventory.mark_leaving(now, node),
            End::NotRun { leaving: false } => {
                self.inventory.nodes[node]
                    .ejection
                    .record_refusal(now, tuning);
            }
        }
    }

    fn next(&mut self, now: Time, running: &RunningAttempt, end: &End) -> Next {
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
            return Next::GiveUp(Reason::Stage, "the endpoint did not answer in full");
        }

        if now >= active.request.deadline {
            return Next::GiveUp(Reason::Deadline, "the deadline passed");
        }

        // Of an attempt and its hedge, one may have failed and the other not
        // have run; sending the stage again is a retry then as well.
        if !current.failed {
            return Next::Queue;
        }

        if !self.inventory.pools[running.pool]
            .budget
            .withdraw(&self.tuning)
        {
            return Next::GiveUp(Reason::Stage, "the pool's retry budget is spent");
        }

        self.counters.retries += 1;
        Next::Queue
    }
}
