//! Execution of a call by an endpoint.

use {
    crate::{
        batch::Slot,
        call::Call,
        endpoint::{CallOutput, Endpoint, Kind},
        faults::{Plan, ResponseMode},
        http::{Body, Flow, Reply},
        oracle::CallRecord,
        server::lock,
        synthetic,
    },
    serde_json::json,
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Time that an engine takes for a prompt whose prefix is not cached.
const PREFILL_TIME: Duration = Duration::from_millis(10);

/// Time that an engine takes for a prompt whose prefix is cached.
const CACHED_PREFILL_TIME: Duration = Duration::from_millis(2);

/// Time that an engine takes for each token of a call that runs alone.
const TOKEN_TIME: Duration = Duration::from_millis(2);

/// Time per token that each additional running call adds.
const SHARED_TOKEN_TIME: Duration = Duration::from_micros(50);

/// Time that a stage pool or plain service takes for a call.
const CALL_TIME: Duration = Duration::from_millis(5);

/// Time for which a stalled call keeps its connection open.
const STALL_TIME: Duration = Duration::from_secs(60);

/// Longest time between two checks of the cancellation flag.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Error of a call that is cancelled or whose endpoint stops.
struct Cancelled;

/// A running call, which holds a slot.
pub(crate) struct RunningCall {
    call: Call,
    cancelled: Arc<AtomicBool>,
    endpoint: Arc<Endpoint>,
    plan: Plan,
    record: usize,
    _slot: Slot,
    started: Instant,
    tokens: Vec<String>,
}

impl RunningCall {
    /// Records that a call begins to run.
    pub(crate) fn begin(endpoint: Arc<Endpoint>, call: Call, slot: Slot) -> Self {
        let source = synthetic::source(&call.prompt, call.input.as_ref());
        let record = lock(&endpoint.oracle).begin(CallRecord {
            attempt: call.attempt.clone(),
            effects: 0,
            marker: synthetic::marker(&source).into(),
            request: call.request.clone(),
            stage: call.stage.clone(),
        });
        let cancelled = Arc::<AtomicBool>::default();
        lock(&endpoint.running).insert(call.attempt.clone(), Arc::clone(&cancelled));
        let plan = lock(&endpoint.faults).plan();

        Self {
            tokens: synthetic::tokens(&call.stage, &source, call.max_tokens),
            call,
            cancelled,
            endpoint,
            plan,
            record,
            _slot: slot,
            started: Instant::now(),
        }
    }

    /// Runs the call and returns the reply. A streamed call runs while its reply
    /// is written.
    pub(crate) fn reply(self) -> Reply {
        if self.call.stream {
            return Reply::Stream(Box::new(move |body| self.stream(body)));
        }

        if self.prepare().is_err() || self.generate_all().is_err() {
            return Reply::status(
                500,
                json!({
                    "attempt": self.call.attempt,
                    "reason": "cancelled",
                    "request": self.call.request,
                    "status": "failed",
                }),
            );
        }

        self.finish()
    }

    fn finish(&self) -> Reply {
        let own = self.own_output();
        let other = self.complete(&own);

        if self.pause(self.plan.response_delay).is_err() {
            return Reply::Close;
        }

        let value = |output: &CallOutput| {
            json!({
                "attempt": output.attempt,
                "millis": u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX),
                "output": output.tokens.concat(),
                "request": output.request,
                "status": "done",
                "tokens": output.tokens.len(),
            })
        };

        match self.plan.response_mode {
            ResponseMode::Mismatched => Reply::ok(value(&other)),
            ResponseMode::Dropped | ResponseMode::Stalled => Reply::Close,
            ResponseMode::Normal => Reply::ok(value(&own)),
            ResponseMode::Duplicated => Reply::Duplicated(value(&own)),
            ResponseMode::Truncated(at) => Reply::Truncated {
                at: at.unwrap_or(40),
                value: value(&own),
            },
        }
    }

    fn stream(self, body: &mut Body) -> io::Result<Flow> {
        if self.prepare().is_err() {
            return Ok(Flow::Close);
        }

        let own = self.own_output();
        let other = self.other_output();
        let half = own.tokens.len() / 2;

        for (index, token) in own.tokens.iter().enumerate().skip(self.first_token()) {
            let number = u32::try_from(index).unwrap_or(u32::MAX);

            if self.generate_one().is_err() || lock(&self.endpoint.faults).breaks_at(number) {
                return Ok(Flow::Close);
            }

            let line = json!({ "attempt": own.attempt, "index": index, "token": token });

            match self.plan.response_mode {
                ResponseMode::Mismatched => {
                    let foreign = &other.tokens[index % other.tokens.len()];
                    body.line(
                        &json!({ "attempt": other.attempt, "index": index, "token": foreign }),
                    )?;
                }
                ResponseMode::Duplicated => body.line(&line)?,
                ResponseMode::Stalled if index >= half => {
                    let _ = self.pause(STALL_TIME);
                    return Ok(Flow::Close);
                }
                ResponseMode::Truncated(at) if index >= at.unwrap_or(half) => return body.end(),
                _ => {}
            }

            body.line(&line)?;
        }

        self.complete(&own);

        if self.pause(self.plan.response_delay).is_err()
            || self.plan.response_mode == ResponseMode::Dropped
        {
            return Ok(Flow::Close);
        }

        body.line(&json!({
            "attempt": own.attempt,
            "end": true,
            "request": own.request,
            "tokens": own.tokens.len(),
        }))?;
        body.end()
    }

    /// Waits for the time before the first token.
    fn prepare(&self) -> Result<(), Cancelled> {
        self.pause(self.plan.start_delay)?;

        if self.plan.response_mode == ResponseMode::Stalled && !self.call.stream {
            self.pause(STALL_TIME)?;
            return Err(Cancelled);
        }

        if self.endpoint.kind != Kind::Engine {
            return self.pause(CALL_TIME);
        }

        let cached = match &self.call.prefix {
            Some(prefix) => lock(&self.endpoint.cache).touch(prefix),
            None => false,
        };

        self.pause(if cached {
            CACHED_PREFILL_TIME
        } else {
            PREFILL_TIME
        })
    }

    fn generate_all(&self) -> Result<(), Cancelled> {
        (self.first_token()..self.tokens.len()).try_for_each(|_| self.generate_one())
    }

    fn generate_one(&self) -> Result<(), Cancelled> {
        if self.endpoint.kind != Kind::Engine {
            return self.pause(Duration::ZERO);
        }

        let (_, running) = self.endpoint.batch.load();
        let others = u32::try_from(running.saturating_sub(1)).unwrap_or(0);
        self.pause(TOKEN_TIME + SHARED_TOKEN_TIME * others)
    }

    fn first_token(&self) -> usize {
        usize::try_from(self.call.resume_from).unwrap_or(usize::MAX)
    }

    fn own_output(&self) -> CallOutput {
        CallOutput {
            attempt: self.call.attempt.clone(),
            request: self.call.request.clone(),
            tokens: self.tokens.clone(),
        }
    }

    /// Returns the output of the latest completed call, or an unrelated output
    /// if no call has completed.
    fn other_output(&self) -> CallOutput {
        let last = lock(&self.endpoint.last_output).clone();

        last.unwrap_or_else(|| CallOutput {
            attempt: "0".into(),
            request: "none.0.none".into(),
            tokens: synthetic::tokens(&self.call.stage, "unrelated", self.call.max_tokens),
        })
    }

    /// Records that the call is complete. Returns the output of the call that
    /// completed before it, or an unrelated output if there is none.
    fn complete(&self, own: &CallOutput) -> CallOutput {
        let other = self.other_output();
        lock(&self.endpoint.oracle).complete(self.record);
        lock(&self.endpoint.running).remove(&self.call.attempt);
        *lock(&self.endpoint.last_output) = Some(own.clone());
        other
    }

    fn pause(&self, duration: Duration) -> Result<(), Cancelled> {
        let deadline = Instant::now() + duration;

        loop {
            if self.cancelled.load(Ordering::SeqCst)
                || self.endpoint.stopping.load(Ordering::SeqCst)
            {
                return Err(Cancelled);
            }

            let remaining = deadline.saturating_duration_since(Instant::now());

            if remaining.is_zero() {
                return Ok(());
            }

            thread::sleep(remaining.min(POLL_INTERVAL));
        }
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        lock(&self.endpoint.running).remove(&self.call.attempt);
    }
}
