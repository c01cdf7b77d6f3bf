//! One call that runs.

use {
    crate::{
        batch::Slot,
        call::Call,
        endpoint::{Answer, Endpoint, Kind},
        faults::{Ending, Plan},
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

/// Time of an engine for a prompt whose prefix is not cached.
const PREFILL: Duration = Duration::from_millis(10);

/// Time of an engine for a prompt whose prefix is cached.
const PREFILL_CACHED: Duration = Duration::from_millis(2);

/// Time of an engine for each token, alone in its batch.
const TOKEN: Duration = Duration::from_millis(2);

/// What each further running call adds to the time of a token.
const TOKEN_SHARE: Duration = Duration::from_micros(50);

/// Time of a stage pool or plain service for a call.
const WHOLE_CALL: Duration = Duration::from_millis(5);

/// How long a stalled call holds its connection.
const STALL: Duration = Duration::from_secs(60);

/// Longest time between two looks at the cancellation mark.
const STEP: Duration = Duration::from_millis(5);

/// The call was cancelled, or the endpoint stops.
struct Cancelled;

/// A call that holds a slot.
pub(crate) struct Run {
    call: Call,
    cancelled: Arc<AtomicBool>,
    endpoint: Arc<Endpoint>,
    plan: Plan,
    row: usize,
    _slot: Slot,
    started: Instant,
    tokens: Vec<String>,
}

impl Run {
    /// Records that the call begins.
    pub(crate) fn begin(endpoint: Arc<Endpoint>, call: Call, slot: Slot) -> Self {
        let source = synthetic::source(&call.prompt, call.input.as_ref());
        let row = lock(&endpoint.oracle).begin(CallRecord {
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
            row,
            _slot: slot,
            started: Instant::now(),
        }
    }

    /// Runs the call, or returns the stream that will.
    pub(crate) fn answer(self) -> Reply {
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
        let own = self.own();
        let other = self.complete(&own);

        if self.pause(self.plan.late).is_err() {
            return Reply::Close;
        }

        let value = |answer: &Answer| {
            json!({
                "attempt": answer.attempt,
                "millis": u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX),
                "output": answer.tokens.concat(),
                "request": answer.request,
                "status": "done",
                "tokens": answer.tokens.len(),
            })
        };

        match self.plan.ending {
            Ending::Crossed => Reply::ok(value(&other)),
            Ending::Dead | Ending::Stalled => Reply::Close,
            Ending::Regular => Reply::ok(value(&own)),
            Ending::Repeated => Reply::Repeated(value(&own)),
            Ending::Truncated(at) => Reply::Truncated {
                at: at.unwrap_or(40),
                value: value(&own),
            },
        }
    }

    fn stream(self, body: &mut Body) -> io::Result<Flow> {
        if self.prepare().is_err() {
            return Ok(Flow::Close);
        }

        let own = self.own();
        let other = self.other();
        let half = own.tokens.len() / 2;

        for (index, token) in own.tokens.iter().enumerate().skip(self.first()) {
            let number = u32::try_from(index).unwrap_or(u32::MAX);

            if self.generate_one().is_err() || lock(&self.endpoint.faults).breaks_at(number) {
                return Ok(Flow::Close);
            }

            let line = json!({ "attempt": own.attempt, "index": index, "token": token });

            match self.plan.ending {
                Ending::Crossed => {
                    let foreign = &other.tokens[index % other.tokens.len()];
                    body.line(
                        &json!({ "attempt": other.attempt, "index": index, "token": foreign }),
                    )?;
                }
                Ending::Repeated => body.line(&line)?,
                Ending::Stalled if index >= half => {
                    let _ = self.pause(STALL);
                    return Ok(Flow::Close);
                }
                Ending::Truncated(at) if index >= at.unwrap_or(half) => return body.end(),
                _ => {}
            }

            body.line(&line)?;
        }

        self.complete(&own);

        if self.pause(self.plan.late).is_err() || self.plan.ending == Ending::Dead {
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

    /// Waits for what precedes the first token.
    fn prepare(&self) -> Result<(), Cancelled> {
        self.pause(self.plan.slow)?;

        if self.plan.ending == Ending::Stalled && !self.call.stream {
            self.pause(STALL)?;
            return Err(Cancelled);
        }

        if self.endpoint.kind != Kind::Engine {
            return self.pause(WHOLE_CALL);
        }

        let cached = match &self.call.prefix {
            Some(prefix) => lock(&self.endpoint.cache).touch(prefix),
            None => false,
        };

        self.pause(if cached { PREFILL_CACHED } else { PREFILL })
    }

    fn generate_all(&self) -> Result<(), Cancelled> {
        (self.first()..self.tokens.len()).try_for_each(|_| self.generate_one())
    }

    fn generate_one(&self) -> Result<(), Cancelled> {
        if self.endpoint.kind != Kind::Engine {
            return self.pause(Duration::ZERO);
        }

        let (_, running) = self.endpoint.batch.load();
        let others = u32::try_from(running.saturating_sub(1)).unwrap_or(0);
        self.pause(TOKEN + TOKEN_SHARE * others)
    }

    fn first(&self) -> usize {
        usize::try_from(self.call.resume_from).unwrap_or(usize::MAX)
    }

    fn own(&self) -> Answer {
        Answer {
            attempt: self.call.attempt.clone(),
            request: self.call.request.clone(),
            tokens: self.tokens.clone(),
        }
    }

    /// Returns an answer that belongs to another call.
    fn other(&self) -> Answer {
        let last = lock(&self.endpoint.last).clone();

        last.unwrap_or_else(|| Answer {
            attempt: "0".into(),
            request: "none.0.none".into(),
            tokens: synthetic::tokens(&self.call.stage, "unrelated", self.call.max_tokens),
        })
    }

    /// Records that the run is complete and returns the answer of the call
    /// that completed before.
    fn complete(&self, own: &Answer) -> Answer {
        let other = self.other();
        lock(&self.endpoint.oracle).complete(self.row);
        lock(&self.endpoint.running).remove(&self.call.attempt);
        *lock(&self.endpoint.last) = Some(own.clone());
        other
    }

    fn pause(&self, duration: Duration) -> Result<(), Cancelled> {
        let end = Instant::now() + duration;

        loop {
            if self.cancelled.load(Ordering::SeqCst)
                || self.endpoint.stopping.load(Ordering::SeqCst)
            {
                return Err(Cancelled);
            }

            let left = end.saturating_duration_since(Instant::now());

            if left.is_zero() {
                return Ok(());
            }

            thread::sleep(left.min(STEP));
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        lock(&self.endpoint.running).remove(&self.call.attempt);
    }
}
