//! One request on its way through the stages of its pipeline.

use {
    crate::{
        coordination::{
            attempt::{self, CallOutcome, Spec},
            claim::{Claim, Permitted},
            control,
            gateway::Gateway,
            progress::{Begin, Finish, Progress},
            record::{Outcome, Record},
            scheduling,
        },
        protocol::caller::{Answer, Body},
        state::{
            action::Action,
            attempt::{End, Report},
            claims::refusal::{Outcome as Proof, Reason, Refusal},
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

/// Longest time to tell an endpoint that an attempt is cancelled.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// What is to be run.
#[derive(Debug)]
pub struct Job {
    pub body: Body,
    /// The witness's grant; a request that is not repeatable needs one.
    pub claim: Option<Claim<Permitted>>,
    pub record: Arc<Record>,
    pub request: Request,
    pub stream: bool,
}

/// A request in progress, shared by its runner and its attempts.
#[derive(Debug)]
pub struct Run {
    pub(super) gateway: Arc<Gateway>,
    pub(super) job: Job,
    progress: Mutex<Progress>,
}

impl Run {
    /// Builds a run that has not started.
    pub fn new(gateway: Arc<Gateway>, job: Job) -> Self {
        Self {
            gateway,
            job,
            progress: Mutex::default(),
        }
    }

    /// Asks the scheduler to admit the request.
    pub fn start(&self, actions: Sender<Action>) {
        let request = &self.job.request;
        self.note(Entry::new(
            "arrived",
            format!("for pipeline {}", request.pipeline),
        ));
        self.tell(scheduling::Event::Register {
            actions,
            request: request.request.clone(),
        });
        self.schedule(event::Event::Arrived(request.clone()));
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.job.request.deadline.since(boot_clock::now())
    }

    /// Does what the scheduler asks for.
    pub fn handle(self: &Arc<Self>, action: Action) {
        match action {
            Action::Admitted { .. } => {
                self.note(Entry::new("admitted", ""));
                self.ready(0);
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

    /// Ends the request because of its deadline.
    pub fn expire(&self) {
        self.refuse(Refusal::not_run(Reason::Deadline, "the deadline passed"));
    }

    /// Ends the request with a refusal unless it has ended.
    pub fn refuse_open(&self, refusal: Refusal) {
        let ended = self.lock().ended;

        if !ended {
            self.refuse(refusal);
        }
    }

    /// Ends the request with a refusal that claims no more than this host
    /// knows about it.
    pub fn refuse(&self, refusal: Refusal) {
        let refusal = self.lock().justified(refusal, self.job.request.repeatable);
        self.note(Entry::new(
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
            self.report(attempt, End::NotRun { leaving: false }, Duration::ZERO);
            return;
        };
        let stage = self.job.request.stages[spec.stage].name.clone();
        let event = if spec.hedge { "hedged" } else { "dispatched" };
        self.note(
            Entry::new(event, "")
                .stage(&stage)
                .attempt(attempt, &spec.endpoint),
        );

        match self.lock().begin(&spec, self.job.request.repeatable) {
            Begin::Refused => {
                self.gateway.observer.count("repeated_dispatches");
                self.report(attempt, End::Failed, Duration::ZERO);
                return;
            }
            Begin::Late => {
                self.report(attempt, End::Cancelled, Duration::ZERO);
                return;
            }
            Begin::Sent => {}
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
            self.lock().unsent(attempt);
            self.report(attempt, End::NotRun { leaving: false }, Duration::ZERO);
        }
    }

    fn finish(&self, spec: &Spec, outcome: CallOutcome) {
        let stage = self.job.request.stages[spec.stage].name.clone();
        let elapsed = boot_clock::now().since(spec.started);
        let observer = &self.gateway.observer;
        observer.record_cost(&self.job.request, &stage, outcome.tokens, elapsed);

        self.note(
            Entry::new(
                "finished",
                format!("{:?} {}", outcome.end, outcome.detail).trim_end(),
            )
            .stage(&stage)
            .attempt(spec.attempt, &spec.endpoint),
        );

        if outcome.end == End::TimedOut {
            self.withdraw(spec);
        }

        let finished = self.lock().finish(spec, &stage, &outcome);

        // The answer of a cancelled attempt is cut short by its endpoint.
        if let Some(name) = outcome.discarded
            && !matches!(finished, Finish::Late)
        {
            observer.count(name);
        }

        match finished {
            Finish::Late => observer.count("late_answers"),
            Finish::Failed => self.report(spec.attempt, outcome.end, elapsed),
            Finish::Stage { took, losers } => {
                self.report(spec.attempt, outcome.end, elapsed);
                observer.record_time(&self.job.request, Some(&stage), took);
                losers.into_iter().for_each(|loser| self.stop(loser));
                self.advance(spec.stage + 1);
            }
        }
    }

    fn advance(&self, next: usize) {
        if next < self.job.request.stages.len() {
            self.ready(next);
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

    fn ready(&self, stage: usize) {
        self.lock().started = boot_clock::now();
        self.schedule(event::Event::Ready {
            request: self.job.request.request.clone(),
            stage,
        });
    }

    fn cancel(&self, attempt: id::Attempt) {
        let spec = self.lock().forget(attempt);

        if let Some(spec) = spec {
            self.stop(spec);
        }
    }

    /// Reports an attempt as cancelled and tells its endpoint so.
    fn stop(&self, spec: Spec) {
        let elapsed = boot_clock::now().since(spec.started);
        self.report(spec.attempt, End::Cancelled, elapsed);
        let stage = self.job.request.stages[spec.stage].name.clone();
        self.note(
            Entry::new("cancelled", "")
                .stage(&stage)
                .attempt(spec.attempt, &spec.endpoint),
        );
        self.withdraw(&spec);
    }

    /// Tells an endpoint that the answer of an attempt is no longer awaited.
    fn withdraw(&self, spec: &Spec) {
        let address = spec.address;
        let client = self.gateway.client.clone();
        let wire_id = self.wire_id(spec.attempt);
        let _ = thread::Builder::new().name("cancel".into()).spawn(move || {
            if let Err(failure) = attempt::cancel(&client, address, &wire_id, CANCEL_TIMEOUT) {
                log::debug!(attempt = wire_id.as_str(); "cannot cancel: {}", failure.into_error());
            }
        });
    }

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
                Proof::Failed => "failed",
                Proof::NotRun => "not_run",
                Proof::Unknown => "unknown",
            },
        });

        if matches!(outcome, Outcome::Answered(_)) {
            self.note(Entry::new("answered", ""));
            observer.record_time(request, None, now.since(request.arrived));
        }

        in_flight.into_values().for_each(|spec| self.stop(spec));
        self.gateway.records.end(now, &self.job.record, outcome);
        self.schedule(event::Event::Ended {
            request: request.request.clone(),
        });
    }

    fn report(&self, attempt: id::Attempt, end: End, elapsed: Duration) {
        self.schedule(event::Event::Finished {
            attempt,
            report: Report { elapsed, end },
        });
    }

    fn schedule(&self, event: event::Event) {
        self.tell(scheduling::Event::Scheduler(event));
    }

    fn tell(&self, event: scheduling::Event) {
        // A send fails only after the control thread has stopped; the runner
        // then gets no action and ends the request at its deadline.
        let _ = self.gateway.control.send(control::Event::Scheduling(event));
    }

    fn note(&self, entry: Entry) {
        self.gateway.observer.record_event(&self.job.request, entry);
    }

    /// Returns the id of an attempt on the wire.
    pub(super) fn wire_id(&self, attempt: id::Attempt) -> String {
        format!("{}/{attempt}", self.job.request.request)
    }

    /// Locks the progress.
    pub(super) fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
