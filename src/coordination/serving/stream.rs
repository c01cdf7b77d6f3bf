//! Serves requests whose response is a stream of events: starts, forwards and
//! resumes it.

mod resume;
mod start;

use {
    self::{
        resume::resume,
        start::{ResponseStart, Stream, event_timeout, start_response},
    },
    crate::{
        coordination::serving::{
            answer::Refusal,
            attempt::{AttemptOptions, AttemptOutcome, OpenResponse, attempt, log_failure},
            balancing::{Chosen, PlacementGuard},
            crashes::End,
            host::Host,
            relay::{Next, RetryState, refusal_for},
            request::Request,
            stages::StageOutputs,
        },
        protocol::adapter::Answer,
        state::{
            id,
            serving::{balance::Report, roster::Entry},
        },
        transport::{
            boot_clock,
            http::{
                body::Body,
                client::Failure,
                outbox::{self, Sender},
            },
        },
    },
    hyper::{HeaderMap, Response},
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::{task::spawn_local, time::timeout},
};

/// Time after which an engine has read the outputs of the stages: the latency
/// to the engine and the transfer of a few outputs of some megabytes.
const INPUT_READ_TIME: Duration = Duration::from_millis(60);

/// Serves a request whose response is a stream. `stage_outputs` are released
/// once an endpoint has read them: a stream lasts many times as long, and large
/// outputs that are kept for its resumption would fill the storage of the
/// pools. A later attempt runs the stages again.
///
/// # Errors
///
/// Returns the refusal if no endpoint sent an event.
pub async fn serve(
    host: &Rc<Host>,
    request: Rc<Request>,
    mut stage_outputs: StageOutputs,
) -> Result<Response<Body>, Refusal> {
    let mut retry_state = RetryState::default();

    loop {
        stage_outputs.renew(host, &request).await?;
        let handles = stage_outputs.handles.clone();
        let domain = stage_outputs.domain();
        let chosen = retry_state.choose_engine(host, &request, domain).await;
        let Chosen { entry, guard } = chosen.map_err(|reason| refusal_for(&request, reason))?;
        let options = AttemptOptions {
            inputs: &handles,
            last_event: request.call.last_event.as_deref(),
        };
        let outcome = {
            let attempt = attempt(host, &request, &entry, options);
            let mut attempt = std::pin::pin!(attempt);

            match timeout(INPUT_READ_TIME, attempt.as_mut()).await {
                Ok(outcome) => outcome,
                Err(_) => {
                    stage_outputs.release();
                    attempt.await
                }
            }
        };
        let outcome = match outcome {
            AttemptOutcome::Answered(open) => match start_response(host, &request, *open).await {
                Ok(ResponseStart::Stream(mut stream)) => {
                    stream.start(guard);
                    stage_outputs.release();
                    return Ok(forward(host, request, *stream, retry_state, stage_outputs));
                }
                Ok(ResponseStart::Whole(response)) => {
                    report(guard, Report::Failed);
                    return Ok(response);
                }
                Err(outcome) => {
                    log_failure(&request, &entry, &outcome);
                    outcome
                }
            },
            outcome => outcome,
        };

        report_failure(guard, &entry, &outcome);

        if matches!(outcome, AttemptOutcome::InputGone) {
            stage_outputs.release();
        }

        match retry_state.next_step(host, &request, &entry, &outcome) {
            Next::Retry => {}
            Next::Refuse(refusal) => return Err(refusal),
        }
    }
}

/// Sends the report about a prompt, if the balancing host chose its engine.
fn report(guard: Option<PlacementGuard>, report: Report) {
    if let Some(guard) = guard {
        guard.report(report);
    }
}

/// Sends the report about a prompt without an answer.
fn report_failure(guard: Option<PlacementGuard>, entry: &Entry, outcome: &AttemptOutcome) {
    let Some(guard) = guard else {
        return;
    };

    if matches!(outcome, AttemptOutcome::Disconnected(_)) {
        guard.report_disconnection(entry);
    } else {
        guard.report(outcome.report());
    }
}

fn record_failure(host: &Host, open: &OpenResponse) {
    let mut placement = host.placement.borrow_mut();
    placement
        .health_mut(&open.load_guard.entry)
        .record_failure(boot_clock::now());
}

/// Starts a task that forwards a stream, and returns the response to the
/// caller.
fn forward(
    host: &Rc<Host>,
    request: Rc<Request>,
    stream: Stream,
    retry_state: RetryState,
    mut stage_outputs: StageOutputs,
) -> Response<Body> {
    let limit = host.settings().callers.stream_bytes;
    let (sender, receiver) = outbox::channel(limit.map(|bytes| (bytes, host.memory.clone())));
    let status = stream.open.exchange.response.status();
    let headers: HeaderMap = host
        .codec
        .reply_headers(stream.open.exchange.response.headers());
    let mut response = Response::new(Body::Stream(receiver));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    let host = Rc::clone(host);

    spawn_local(async move {
        let end = run(
            &host,
            &request,
            stream,
            retry_state,
            &mut stage_outputs,
            &sender,
        )
        .await;
        log::info!(
            request = request.id(),
            route = request.route.name.as_str(),
            endpoint = request.endpoint.borrow().as_ref().map(id::Endpoint::as_str),
            attempts = request.attempts.get(),
            outcome = end.name(),
            longest_gap_ms = request.longest_gap.get().as_millis(),
            paused_ms = sender.paused().as_millis(),
            ms = request.age().as_millis();
            "stream ended"
        );
        host.tally.count("streams", &[("outcome", end.name())]);

        if !sender.paused().is_zero() {
            host.tally.time("stream_paused_ms", sender.paused(), &[]);
        }
    });

    response
}

/// How a stream ended for the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    Broken,
    CallerLeft,
    Complete,
    TimedOut,
}

impl StreamEnd {
    const fn name(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::CallerLeft => "caller_left",
            Self::Complete => "complete",
            Self::TimedOut => "timed_out",
        }
    }
}

async fn run(
    host: &Rc<Host>,
    request: &Request,
    mut stream: Stream,
    mut retry_state: RetryState,
    stage_outputs: &mut StageOutputs,
    sender: &Sender,
) -> StreamEnd {
    loop {
        let end = tokio::select! {
            end = copy_events(host, request, &mut stream, sender) => end,
            () = sender.closed() => CopyEnd::CallerLeft,
            () = tokio::time::sleep(request.remaining()) => CopyEnd::TimedOut,
        };

        match end {
            CopyEnd::CallerLeft => return StreamEnd::CallerLeft,
            CopyEnd::Complete(answer) => {
                let Stream { guard, open, .. } = stream;
                let OpenResponse {
                    exchange,
                    load_guard,
                    watch,
                    ..
                } = open;
                watch.end(End::Answered);
                report(guard, Report::Ended);
                host.placement
                    .borrow_mut()
                    .health_mut(&load_guard.entry)
                    .record_success(1.0);
                exchange.finish(answer.keep_alive, answer.closing);
                return StreamEnd::Complete;
            }
            CopyEnd::TimedOut => {
                sender.abort("the deadline passed").await;
                return StreamEnd::TimedOut;
            }
            CopyEnd::Broken(message) => {
                log::info!(
                    request = request.id(),
                    endpoint = stream.open.load_guard.entry.endpoint.as_str(),
                    last_event = stream.splitter.last_id(),
                    fingerprint = format!("{:x}", request.fingerprint()).as_str(),
                    parts = request.shared_parts().join(",").as_str();
                    "stream broke: {message}"
                );
            }
        }

        record_failure(host, &stream.open);
        let entry = Arc::clone(&stream.open.load_guard.entry);
        retry_state.excluded.push(entry.endpoint.clone());
        let last_event = stream.splitter.last_id().map(str::to_owned);
        let splitter = std::mem::take(&mut stream.splitter);
        let guard = stream.guard.take();
        stream.end(End::Broken);

        if let Some(guard) = guard {
            guard.report_disconnection(&entry);
        }

        let resumed = tokio::select! {
            resumed = resume(
                host,
                request,
                &mut retry_state,
                stage_outputs,
                last_event,
                splitter,
            ) => resumed,
            () = sender.closed() => return StreamEnd::CallerLeft,
            () = tokio::time::sleep(request.remaining()) => None,
        };

        match resumed {
            Some(resumed) => stream = resumed,
            None => {
                sender.abort("the endpoint's stream ended early").await;
                return StreamEnd::Broken;
            }
        }
    }
}

/// How copying an endpoint's events ended.
enum CopyEnd {
    Broken(String),
    CallerLeft,
    Complete(Answer),
    TimedOut,
}

async fn copy_events(
    host: &Host,
    request: &Request,
    stream: &mut Stream,
    sender: &Sender,
) -> CopyEnd {
    let event_timeout = event_timeout(request);
    let mut last_chunk = boot_clock::now();

    loop {
        let events = std::mem::take(&mut stream.events);

        if !events.is_empty() {
            host.tally.count("events", &[]);

            if sender.send(events.into()).await.is_err() {
                return CopyEnd::CallerLeft;
            }
        }

        let next = stream.open.exchange.next();
        let next = match event_timeout {
            Some(limit) => match timeout(limit, next).await {
                Ok(next) => next,
                Err(_) => return CopyEnd::Broken("no event within the time limit".into()),
            },
            None => next.await,
        };

        match next {
            Ok(Some(bytes)) => match stream.splitter.push(&bytes) {
                Some(events) => {
                    let now = boot_clock::now();
                    let gap = now.since(last_chunk);
                    last_chunk = now;
                    request.longest_gap.set(request.longest_gap.get().max(gap));
                    stream.events = events;
                }
                None => return CopyEnd::Broken("an event exceeds the length limit".into()),
            },
            Ok(None) if stream.splitter.is_partial() => {
                return CopyEnd::Broken("the stream ended in the middle of an event".into());
            }
            Ok(None) => return CopyEnd::Complete(stream.open.answer.clone()),
            Err(Failure::Broken(message) | Failure::Unreachable(message)) => {
                return CopyEnd::Broken(message);
            }
        }
    }
}
