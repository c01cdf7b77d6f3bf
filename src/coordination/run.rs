//! Runs one request through the stages of its pipeline.

use {
    crate::{
        coordination::{
            attempt::{self, CallOutcome, Spec},
            claim::{Claim, Permitted},
            control,
            gateway::Gateway,
            progress::{BeginOutcome, FinishOutcome, Progress},
            record::{Outcome, Record},
            scheduling,
        },
        protocol::caller::{Answer, Body},
        state::{
            action::Action,
            attempt::{End, Report},
            claims::refusal::{Outcome as RefusalOutcome, Reason, Refusal},
            event, id,
            journal::Entry,
            request::Request,
        },
        transport::boot_clock,
    },
    std::{
        mem,
        sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc::Sender},
        thread,
        time::Duration,
    },
};

/// Timeout of the call that cancels an attempt at its endpoint.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to run and the record for its answer.
#[derive(Debug)]
pub struct Job {
    pub body: Body,
    /// The witness's permission, which a request that is not repeatable needs.
    pub claim: Option<Claim<Permitted>>,
    pub record: Arc<Record>,
    pub request: Request,
    pub stream: bool,
}

/// A request in progress, shared by its runner thread and its attempt threads.
#[derive(Debug)]
pub struct Run {
    pub(super) gateway: Arc<Gateway>,
    pub(super) job: Job,
    progress: Mutex<Progress>,
}

impl Run {
    /// Creates a run that has not started.
    pub fn new(gateway: Arc<Gateway>, job: Job) -> Self {
        Self {
            gateway,
            job,
            progress: Mutex::default(),
        }
    }

    /// Submits the request to the scheduler, whose actions go to `actions`.
    pub fn start(&self, actions: Sender<Action>) {
        let request = &self.job.request;
        self.record_event(Entry::new(
            "arrived",
            format!("for pipeline {}", request.pipeline),
        ));
        self.send_to_control(scheduling::Event::Register {
            actions,
            request: request.request.clone(),
        });
        self.send_to_scheduler(event::Event::Arrived(request.clone()));
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.job.request.deadline.since(boot_clock::now())
    }

    /// Carries out an action of the scheduler.
    pub fn handle(self: &Arc<Self>, action: Action) {
        match action {
            Action::Admitted { .. } => {
                self.record_event(Entry::new("admitted", ""));
                self.start_stage(0);
            }
            Action::Cancelled { attempt, .. } => self.cancel(attempt),
            Action::Dispatched {
                attempt,
                endpoint,
                hedge,
                stage,
                timeout,
                ..
            } => {
                let spec = self.spec(attempt, &endpoint, hedge, stage, timeout);
                self.dispatch(attempt, spec);
            }
            Action::Failed { refusal, stage, .. } => {
                let current = self.lock().stage == stage;

                if current {
                    self.refuse(refusal);
                }
            }
            Action::Refused { refusal, .. } => self.refuse(refusal),
            Action::Warned(_) => {}
        }
    }

    /// Ends the request because its deadline has passed.
    pub fn expire(&self) {
        self.refuse(Refusal::not_run(Reason::Deadline, "the deadline passed"));
    }

    /// Ends the request with a refusal unless it has ended.
    pub fn refuse_unless_ended(&self, refusal: Refusal) {
        let ended = self.lock().ended;

        if !ended {
            self.refuse(refusal);
        }
    }

    /// Ends the request with a refusal whose outcome is limited to what this host
    /// can prove.
    pub fn refuse(&self, refusal: Refusal) {
        let refusal = self
            .lock()
            .with_provable_outcome(refusal, self.job.request.repeatable);
        self.record_event(Entry::new(
            "refused",
            format!("{:?}: {}", refusal.outcome, refusal.detail),
        ));
        self.end(Outcome::Refused(refusal));
    }

    fn spec(
        &self,
        attempt: id::Attempt,
        endpoint: &id::Endpoint,
        hedge: bool,
        stage: usize,
        timeout: Duration,
    ) -> Option<Spec> {
        Some(Spec {
            address: self.gateway.endpoint(endpoint)?,
            attempt,
            endpoint: endpoint.clone(),
            hedge,
            stage,
            started: boot_clock::now(),
            timeout: timeout.min(self.time_left()),
        })
    }

    fn dispatch(self: &Arc<Self>, attempt: id::Attempt, spec: Option<Spec>) {
        let Some(spec) = spec else {
            self.report_end(attempt, End::NotRun { leaving: false }, Duration::ZERO);
            return;
        };
        let stage = self.job.request.stages[spec.stage].name.clone();
        let event = if spec.hedge { "hedged" } else { "dispatched" };
        self.record_event(
            Entry::new(event, "")
                .stage(&stage)
                .attempt(attempt, &spec.endpoint),
        );

        match self.lock().begin(&spec, self.job.request.repeatable) {
            BeginOutcome::Refused => {
                self.gateway.observer.count("repeated_dispatches");
                self.report_end(attempt, End::Failed, Duration::ZERO);
                return;
            }
            BeginOutcome::Late => {
                self.report_end(attempt, End::Cancelled, Duration::ZERO);
                return;
            }
            BeginOutcome::Sent => {}
        }

        let run = Arc::clone(self);
        let perform = move || {
            let outcome = run.perform(&spec);
            run.finish(&spec, outcome);
        };

        if thread::Builder::new()
            .name("attempt".into())
            .spawn(perform)
            .is_err()
        {
            self.lock().record_unsent(attempt);
            self.report_end(attempt, End::NotRun { leaving: false }, Duration::ZERO);
        }
    }

    fn finish(&self, spec: &Spec, outcome: CallOutcome) {
        let stage = self.job.request.stages[spec.stage].name.clone();
        let elapsed = boot_clock::now().since(spec.started);
        let observer = &self.gateway.observer;
        observer.record_cost(&self.job.request, &stage, outcome.tokens, elapsed);

        self.record_event(
            Entry::new(
                "finished",
                format!("{:?} {}", outcome.end, outcome.detail).trim_end(),
            )
            .stage(&stage)
            .attempt(spec.attempt, &spec.endpoint),
        );

        if outcome.end == End::TimedOut {
            self.cancel_at_endpoint(spec);
        }

        let finished = self.lock().finish(spec, &stage, &outcome);

        // An endpoint truncates the answer of a cancelled attempt, so a late one
        // is not counted.
        if let Some(name) = outcome.discarded
            && !matches!(finished, FinishOutcome::Late)
        {
            observer.count(name);
        }

        match finished {
            FinishOutcome::Late => observer.count("late_answers"),
            FinishOutcome::Failed => self.report_end(spec.attempt, outcome.end, elapsed),
            FinishOutcome::Stage { took, losers } => {
                self.report_end(spec.attempt, outcome.end, elapsed);
                observer.record_time(&self.job.request, Some(&stage), took);
                losers
                    .into_iter()
                    .for_each(|loser| self.abort_attempt(loser));
                self.advance(spec.stage + 1);
            }
        }
    }

    fn advance(&self, next: usize) {
        if next < self.job.request.stages.len() {
            self.start_stage(next);
            return;
        }

        let (output, stages) = {
            let mut progress = self.lock();
            (progress.output.take(), mem::take(&mut progress.reports))
        };
        let answer = Answer {
            complete: true,
            output: output.unwrap_or_default(),
            request: self.job.request.request.clone(),
            stages,
        };
        self.end(Outcome::Answered(Arc::new(answer)));
    }

    fn start_stage(&self, stage: usize) {
        self.lock().started = boot_clock::now();
        self.send_to_scheduler(event::Event::Ready {
            request: self.job.request.request.clone(),
            stage,
        });
    }

    fn cancel(&self, attempt: id::Attempt) {
        let spec = self.lock().remove_attempt(attempt);

        if let Some(spec) = spec {
            self.abort_attempt(spec);
        }
    }

    /// Reports an attempt as cancelled and cancels it at its endpoint.
    fn abort_attempt(&self, spec: Spec) {
        let elapsed = boot_clock::now().since(spec.started);
        self.report_end(spec.attempt, End::Cancelled, elapsed);
        let stage = self.job.request.stages[spec.stage].name.clone();
        self.record_event(
            Entry::new("cancelled", "")
                .stage(&stage)
                .attempt(spec.attempt, &spec.endpoint),
        );
        self.cancel_at_endpoint(&spec);
    }

    /// Cancels an attempt at its endpoint, in a thread of its own.
    fn cancel_at_endpoint(&self, spec: &Spec) {
        let address = spec.address;
        let client = self.gateway.client.clone();
        let wire_id = self.wire_id(spec.attempt);
        let _ = thread::Builder::new().name("cancel".into()).spawn(move || {
            if let Err(failure) = attempt::cancel(&client, address, &wire_id, CANCEL_TIMEOUT) {
                log::debug!(attempt = wire_id.as_str(); "cannot cancel: {}", failure.into_error());
            }
        });
    }

    /// Ends the request unless it has ended, and cancels its other attempts.
    fn end(&self, outcome: Outcome) {
        let in_flight = {
            let mut progress = self.lock();

            if mem::replace(&mut progress.ended, true) {
                return;
            }

            mem::take(&mut progress.in_flight)
        };

        let now = boot_clock::now();
        let request = &self.job.request;

        let observer = &self.gateway.observer;
        observer.count(match &outcome {
            Outcome::Answered(_) => "answered",
            Outcome::Refused(refusal) => match refusal.outcome {
                RefusalOutcome::Failed => "failed",
                RefusalOutcome::NotRun => "not_run",
                RefusalOutcome::Unknown => "unknown",
            },
        });

        if matches!(outcome, Outcome::Answered(_)) {
            self.record_event(Entry::new("answered", ""));
            observer.record_time(request, None, now.since(request.arrived));
        }

        in_flight
            .into_values()
            .for_each(|spec| self.abort_attempt(spec));
        self.gateway.records.end(now, &self.job.record, outcome);
        self.send_to_scheduler(event::Event::Ended {
            request: request.request.clone(),
        });
    }

    fn report_end(&self, attempt: id::Attempt, end: End, elapsed: Duration) {
        self.send_to_scheduler(event::Event::Finished {
            attempt,
            report: Report { elapsed, end },
        });
    }

    fn send_to_scheduler(&self, event: event::Event) {
        self.send_to_control(scheduling::Event::Scheduler(event));
    }

    fn send_to_control(&self, event: scheduling::Event) {
        // A send fails only after the control thread has stopped. The runner then
        // receives no action and ends the request at its deadline.
        let _ = self.gateway.control.send(control::Event::Scheduling(event));
    }

    fn record_event(&self, entry: Entry) {
        self.gateway.observer.record_event(&self.job.request, entry);
    }

    /// Returns the id of an attempt in calls to its endpoint.
    pub(super) fn wire_id(&self, attempt: id::Attempt) -> String {
        format!("{}/{attempt}", self.job.request.request)
    }

    /// Locks the progress of the request.
    pub(super) fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
