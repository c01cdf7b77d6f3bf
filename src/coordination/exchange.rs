//! Calls the endpoint of an attempt and collects the streamed tokens.

use crate::{
    coordination::{
        attempt::{self, CallOutcome, Channel, Spec},
        run::Run,
    },
    protocol::call::Call,
    state::{attempt::End, pool::Kind},
};

impl Run {
    /// Makes the call of an attempt and appends its tokens to the request's
    /// record.
    pub(super) fn perform(&self, spec: &Spec) -> CallOutcome {
        let channel = match (&self.job.claim, self.job.request.repeatable) {
            (_, true) => Channel::Pooled(&self.gateway.client),
            (Some(claim), false) => Channel::Dedicated(claim),
            (None, false) => {
                return CallOutcome {
                    end: End::NotRun { leaving: false },
                    detail: "the witness has not permitted the request".into(),
                    output: None,
                    discarded: None,
                    tokens: 0,
                };
            }
        };
        let call = self.call(spec);

        if !call.stream {
            return attempt::buffered(channel, spec, &call);
        }

        let start = usize::try_from(call.resume_from).unwrap_or(usize::MAX);
        let mut received = Vec::new();
        let outcome = attempt::stream(channel, spec, &call, &mut |token| {
            received.push(token);
            let mut progress = self.lock();

            if progress.in_flight.contains_key(&spec.attempt) {
                let new_tokens = progress.tokens.offer(spec.attempt, start, &received);
                self.job.record.push(new_tokens);
            }
        });

        self.finish_stream(spec, start, &received, outcome)
    }

    fn finish_stream(
        &self,
        spec: &Spec,
        start: usize,
        received: &[String],
        outcome: CallOutcome,
    ) -> CallOutcome {
        let mut progress = self.lock();

        if !matches!(outcome.end, End::Done { .. }) {
            progress.tokens.release(spec.attempt);
            return outcome;
        }

        if !progress.in_flight.contains_key(&spec.attempt) {
            return outcome;
        }

        let Some(new_tokens) = progress.tokens.finish(spec.attempt, start, received) else {
            return CallOutcome {
                end: End::Failed,
                detail: "another attempt has streamed more tokens".into(),
                ..outcome
            };
        };

        self.job.record.push(new_tokens);
        CallOutcome {
            output: Some(self.job.record.tokens().concat().into()),
            ..outcome
        }
    }

    fn call(&self, spec: &Spec) -> Call {
        let request = &self.job.request;
        let stage = &request.stages[spec.stage];
        let policy = &self.gateway.published.get().policy;
        let engine = policy
            .pools
            .get(&stage.pool)
            .is_some_and(|pool| pool.kind == Kind::Engine);
        let progress = self.lock();
        let stream = self.job.stream && engine && spec.stage + 1 == request.stages.len();
        let delivered = if stream {
            progress.tokens.delivered()
        } else {
            0
        };

        Call {
            attempt: self.wire_id(spec.attempt),
            class: request.class.clone(),
            deadline: self.time_left(),
            input: progress
                .output
                .clone()
                .or_else(|| self.job.body.input.clone()),
            max_tokens: self.job.body.max_tokens,
            prefix: self.job.body.prefix.clone(),
            priority: policy
                .class(&request.team, &request.class)
                .map_or(0, |class| class.priority),
            prompt: self.job.body.prompt.clone(),
            repeatable: request.repeatable,
            request: request.request.clone(),
            resume_from: u32::try_from(delivered).unwrap_or(u32::MAX),
            stage: stage.name.clone(),
            stream,
            team: request.team.clone(),
        }
    }
}
