//! Tracks the progress of a request through its stages.

use {
    crate::{
        coordination::attempt::{CallOutcome, Spec},
        protocol::caller::StageReport,
        state::{
            attempt::End,
            claims::at_most_once::AtMostOnce,
            claims::refusal::{Outcome as RefusalOutcome, Refusal},
            clock::Time,
            id,
            token_delivery::TokenDelivery,
        },
        transport::boot_clock,
    },
    serde_json::Value,
    std::{collections::HashMap, mem, time::Duration},
};

/// The current stage, the attempts and the tokens of one request.
#[derive(Debug, Default)]
pub struct Progress {
    /// Attempts at the current stage so far.
    pub attempts: u32,
    /// Whether a call may have reached an endpoint in any stage.
    pub called: bool,
    pub ended: bool,
    /// Attempts at the current stage that have not ended.
    pub in_flight: HashMap<id::Attempt, Spec>,
    pub at_most_once: AtMostOnce,
    /// Output of the last completed stage.
    pub output: Option<Value>,
    pub reports: Vec<StageReport>,
    /// Index of the current stage.
    pub stage: usize,
    /// When the current stage became ready.
    pub started: Time,
    pub tokens: TokenDelivery,
}

/// What to do with an attempt that the scheduler has dispatched.
#[derive(Debug)]
pub enum BeginOutcome {
    /// The stage or the request has already ended.
    Late,
    /// The request is not repeatable and another attempt may have run.
    Refused,
    /// The attempt is to be sent.
    Sent,
}

/// Effect of an attempt's end on the request.
#[derive(Debug)]
pub enum FinishOutcome {
    /// The attempt produced no output; the scheduler decides on a retry.
    Failed,
    /// The request no longer needs the attempt.
    Late,
    /// The stage is complete; the other attempts at it are to be cancelled.
    Stage { losers: Vec<Spec>, took: Duration },
}

impl Progress {
    /// Registers an attempt unless it is late or must not be sent.
    pub fn begin(&mut self, spec: &Spec, repeatable: bool) -> BeginOutcome {
        if self.ended || self.stage != spec.stage {
            return BeginOutcome::Late;
        }

        if !repeatable && !self.at_most_once.begin(spec.attempt) {
            return BeginOutcome::Refused;
        }

        self.attempts += 1;
        self.in_flight.insert(spec.attempt, spec.clone());
        BeginOutcome::Sent
    }

    /// Registers the end of an attempt. The first output completes the stage.
    pub fn finish(
        &mut self,
        spec: &Spec,
        stage: &id::Stage,
        outcome: &CallOutcome,
    ) -> FinishOutcome {
        let not_run = matches!(outcome.end, End::NotRun { .. });

        if not_run {
            self.at_most_once.not_run(spec.attempt);
        } else {
            self.called = true;
        }

        if self.in_flight.remove(&spec.attempt).is_none() {
            return FinishOutcome::Late;
        }

        let (End::Done { tokens }, Some(output)) = (&outcome.end, &outcome.output) else {
            return FinishOutcome::Failed;
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
        self.at_most_once = AtMostOnce::default();
        self.stage += 1;

        FinishOutcome::Stage {
            losers: mem::take(&mut self.in_flight).into_values().collect(),
            took,
        }
    }

    /// Removes an attempt in flight, whose result is no longer needed.
    pub fn remove_attempt(&mut self, attempt: id::Attempt) -> Option<Spec> {
        self.tokens.release(attempt);
        self.in_flight.remove(&attempt)
    }

    /// Reverts the start of an attempt that was never sent.
    pub fn record_unsent(&mut self, attempt: id::Attempt) {
        self.in_flight.remove(&attempt);
        self.at_most_once.not_run(attempt);
    }

    /// Returns the refusal with its outcome limited to what this host can prove.
    pub fn with_provable_outcome(&self, refusal: Refusal, repeatable: bool) -> Refusal {
        let outcome = if !repeatable && self.at_most_once.may_have_run() {
            RefusalOutcome::Unknown
        } else if self.called || !self.in_flight.is_empty() {
            match refusal.outcome {
                RefusalOutcome::Unknown => RefusalOutcome::Unknown,
                RefusalOutcome::Failed | RefusalOutcome::NotRun => RefusalOutcome::Failed,
            }
        } else {
            refusal.outcome
        };

        Refusal { outcome, ..refusal }
    }
}
