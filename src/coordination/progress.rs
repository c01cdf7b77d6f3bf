//! How far a request has come.

use {
    crate::{
        coordination::attempt::{CallOutcome, Spec},
        protocol::caller::StageReport,
        state::{
            attempt::End,
            claims::at_most_once::AtMostOnce,
            claims::refusal::{Outcome as Proof, Refusal},
            clock::Time,
            id,
            tokens::Tokens,
        },
        transport::boot_clock,
    },
    serde_json::Value,
    std::{collections::HashMap, mem, time::Duration},
};

/// The stages, attempts and tokens of one request.
#[derive(Debug, Default)]
pub struct Progress {
    pub attempts: u32,
    /// Whether a call may have reached an endpoint in any stage.
    pub called: bool,
    pub ended: bool,
    pub in_flight: HashMap<id::Attempt, Spec>,
    pub once: AtMostOnce,
    pub output: Option<Value>,
    pub reports: Vec<StageReport>,
    pub stage: usize,
    pub started: Time,
    pub tokens: Tokens,
}

/// What becomes of an attempt that the scheduler asks for.
#[derive(Debug)]
pub enum Begin {
    /// The attempt is for a stage or a request that is over.
    Late,
    /// Another attempt of a request that is not repeatable may have run.
    Refused,
    Sent,
}

/// What an ended attempt means for the request.
#[derive(Debug)]
pub enum Finish {
    Failed,
    /// The request no longer needs the attempt.
    Late,
    /// The stage is done; the other attempts at it are to be cancelled.
    Stage {
        losers: Vec<Spec>,
        took: Duration,
    },
}

impl Progress {
    /// Takes up an attempt, unless it comes late or must not be sent.
    pub fn begin(&mut self, spec: &Spec, repeatable: bool) -> Begin {
        if self.ended || self.stage != spec.stage {
            return Begin::Late;
        }

        if !repeatable && !self.once.begin(spec.attempt) {
            return Begin::Refused;
        }

        self.attempts += 1;
        self.in_flight.insert(spec.attempt, spec.clone());
        Begin::Sent
    }

    /// Takes up the end of an attempt.
    pub fn finish(&mut self, spec: &Spec, stage: &id::Stage, outcome: &CallOutcome) -> Finish {
        let not_run = matches!(outcome.end, End::NotRun { .. });

        if not_run {
            self.once.not_run(spec.attempt);
        } else {
            self.called = true;
        }

        if self.in_flight.remove(&spec.attempt).is_none() {
            return Finish::Late;
        }

        let (End::Done { tokens }, Some(output)) = (&outcome.end, &outcome.output) else {
            return Finish::Failed;
        };

        let took = boot_clock::now().since(self.started);
        self.reports.push(StageReport {
            attempts: mem::take(&mut self.attempts),
            endpoint: spec.endpoint.clone(),
            elapsed: took,
            stage: stage.clone(),
            tokens: *tokens,
        });
        self.output = Some(output.clone());
        self.once = AtMostOnce::default();
        self.stage += 1;

        Finish::Stage {
            losers: mem::take(&mut self.in_flight).into_values().collect(),
            took,
        }
    }

    /// Gives up an attempt that is in progress.
    pub fn forget(&mut self, attempt: id::Attempt) -> Option<Spec> {
        self.tokens.release(attempt);
        self.in_flight.remove(&attempt)
    }

    /// Takes back an attempt that was never sent.
    pub fn unsent(&mut self, attempt: id::Attempt) {
        self.in_flight.remove(&attempt);
        self.once.not_run(attempt);
    }

    /// Returns the refusal with the outcome that this host can prove.
    pub fn justified(&self, refusal: Refusal, repeatable: bool) -> Refusal {
        let outcome = if !repeatable && self.once.may_have_run() {
            Proof::Unknown
        } else if self.called || !self.in_flight.is_empty() {
            match refusal.outcome {
                Proof::Unknown => Proof::Unknown,
                Proof::Failed | Proof::NotRun => Proof::Failed,
            }
        } else {
            refusal.outcome
        };

        Refusal { outcome, ..refusal }
    }
}
