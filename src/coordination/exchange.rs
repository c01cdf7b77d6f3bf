//! The call of one attempt of a run.

use crate::{
    coordination::{
        attempt::{self, Channel, Ending, Order},
        run::Run,
    },
    protocol::call::Call,
    state::{attempt::End, pool::Kind},
};

impl Run {
    /// Makes the call of an attempt and passes its tokens on.
    pub(super) fn perform(&self, order: &Order) -> Ending {
        let channel = match (&self.job.claim, self.job.request.repeatable) {
            (_, true) => Channel::Kept(&self.gateway.client),
            (Some(claim), false) => Channel::Once(claim),
            (None, false) => {
                return Ending {
                    end: End::NotRun { leaving: false },
                    detail: "the witness has not granted the request".into(),
                    output: None,
                    discarded: None,
                    tokens: 0,
                };
            }
        };
        let call = self.call(order);

        if !call.stream {
            return attempt::whole(channel, order, &call);
        }

        let start = usize::try_from(call.resume_from).unwrap_or(usize::MAX);
        let mut read = Vec::new();
        let ending = attempt::stream(channel, order, &call, &mut |token| {
            read.push(token);
            let mut progress = self.lock();

            if progress.live.contains_key(&order.attempt) {
                let fresh = progress.tokens.offer(order.attempt, start, &read);
                self.job.record.push(fresh);
            }
        });

        self.close_stream(order, start, &read, ending)
    }

    fn close_stream(&self, order: &Order, start: usize, read: &[String], ending: Ending) -> Ending {
        let mut progress = self.lock();

        if !matches!(ending.end, End::Done { .. }) {
            progress.tokens.release(order.attempt);
            return ending;
        }

        if !progress.live.contains_key(&order.attempt) {
            return ending;
        }

        let Some(fresh) = progress.tokens.finish(order.attempt, start, read) else {
            return Ending {
                end: End::Failed,
                detail: "another attempt has streamed more tokens".into(),
                ..ending
            };
        };

        self.job.record.push(fresh);
        Ending {
            output: Some(self.job.record.tokens().concat().into()),
            ..ending
        }
    }

    fn call(&self, order: &Order) -> Call {
        let request = &self.job.request;
        let stage = &request.stages[order.stage];
        let policy = &self.gateway.published.get().policy;
        let engine = policy
            .pools
            .get(&stage.pool)
            .is_some_and(|pool| pool.kind == Kind::Engine);
        let progress = self.lock();
        let stream = self.job.stream && engine && order.stage + 1 == request.stages.len();
        let resumed = if stream {
            progress.tokens.delivered()
        } else {
            0
        };

        Call {
            attempt: self.wire(order.attempt),
            class: request.class.clone(),
            deadline: self.left(),
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
            resume_from: u32::try_from(resumed).unwrap_or(u32::MAX),
            stage: stage.name.clone(),
            stream,
            team: request.team.clone(),
        }
    }
}
