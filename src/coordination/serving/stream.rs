//! Forwards a stream of events, and resumes an interrupted one at another
//! endpoint if its route allows that.

use {
    crate::{
        coordination::serving::{
            answer::{Reason, Refusal},
            attempt::{AttemptOptions, AttemptOutcome, OpenResponse, attempt, log_failure},
            balancing::{Chosen, PlacementGuard},
            host::Host,
            relay::{Next, RetryState, acquire_retry, refusal_for},
            request::Request,
            stages::StageOutputs,
        },
        protocol::{adapter::Answer, event_stream::Splitter},
        state::{
            id,
            serving::{balance::Report, config::RetryMode, roster::Entry},
        },
        transport::{
            boot_clock,
            http::{
                body::Body,
                client::{self, Failure},
            },
        },
    },
    hyper::{HeaderMap, Response, body::Bytes},
    std::{io, rc::Rc, time::Duration},
    tokio::{
        sync::mpsc::{self, Sender},
        task::spawn_local,
        time::timeout,
    },
};

/// Time after which an engine has read the outputs of the stages: the latency
/// to the engine and the transfer of a few outputs of some megabytes.
const INPUT_READ_TIME: Duration = Duration::from_millis(60);

/// Maximum number of chunks of events that are queued for a caller that reads
/// slowly.
const EVENT_QUEUE_LENGTH: usize = 64;

/// Multiple of the route's event gap after which a resumable stream without an
/// event continues at another endpoint. The event gap is the longest pause
/// between two events of an answer that is still on time.
const GAP_FACTOR: u32 = 4;

/// Pause after which a stream is resumed if its route has no event gap.
const DEFAULT_EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// A stream whose first events have arrived.
struct Stream {
    events: Vec<u8>,
    open: OpenResponse,
    splitter: Splitter,
}

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
                Ok(ResponseStart::Stream(stream)) => {
                    report(guard, Report::Started);
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

        report_failure(&entry, guard, &outcome);

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

/// Sends the report about a prompt without an answer. After a broken connection it
/// says whether the engine has ended, once that is known.
fn report_failure(entry: &Entry, guard: Option<PlacementGuard>, outcome: &AttemptOutcome) {
    if !matches!(outcome, AttemptOutcome::Disconnected(_)) {
        return report(guard, outcome.report());
    }

    let address = entry.address;

    spawn_local(async move {
        let ended = client::refuses_connections(address).await;
        report(guard, if ended { Report::Lost } else { Report::Failed });
    });
}

/// The start of an endpoint's response.
enum ResponseStart {
    Stream(Box<Stream>),
    /// An error response of the endpoint, which is forwarded unchanged.
    Whole(Response<Body>),
}

/// Waits for the first events, so that a request whose endpoint fails before
/// them can go to another endpoint.
async fn start_response(
    host: &Rc<Host>,
    request: &Request,
    mut open: OpenResponse,
) -> Result<ResponseStart, AttemptOutcome> {
    /// Maximum length of an error response that is forwarded, in bytes.
    const MAX_FAILURE_BYTES: usize = 1024 * 1024;

    let status = open.exchange.response.status();

    if !status.is_success() {
        let repeat = request.route.retry_mode != RetryMode::Never && status.is_server_error();
        let headers = host.codec.reply_headers(open.exchange.response.headers());
        let body = open.exchange.collect(MAX_FAILURE_BYTES).await;
        record_failure(host, &open);

        let Ok(body) = body else {
            return Err(AttemptOutcome::Broken(
                "the response body ended early".into(),
            ));
        };

        if repeat && request.attempts.get() < request.route.max_attempts {
            return Err(AttemptOutcome::Broken(format!(
                "the endpoint responded with {status}"
            )));
        }

        let mut response = Response::new(Body::buffered(body));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        return Ok(ResponseStart::Whole(response));
    }

    let stream = read_first_events(host, open, Splitter::default()).await?;

    if stream.events.is_empty() {
        record_failure(host, &stream.open);
        return Err(AttemptOutcome::Disconnected(
            "the stream ended before its first event".into(),
        ));
    }

    Ok(ResponseStart::Stream(Box::new(stream)))
}

/// Waits for the first events with which an endpoint continues a stream. Nothing
/// of an error response belongs to the stream.
async fn continue_response(
    host: &Host,
    request: &Request,
    open: OpenResponse,
    splitter: Splitter,
) -> Result<Stream, AttemptOutcome> {
    let status = open.exchange.response.status();

    if !status.is_success() {
        record_failure(host, &open);
        return Err(AttemptOutcome::Broken(format!(
            "the endpoint responded with {status}"
        )));
    }

    let Some(limit) = event_timeout(request) else {
        return read_first_events(host, open, splitter).await;
    };

    timeout(limit, read_first_events(host, open, splitter))
        .await
        .unwrap_or_else(|_| {
            Err(AttemptOutcome::Broken(
                "no event within the time limit".into(),
            ))
        })
}

/// Reads a stream up to its first whole events. Returns none only if the body has
/// ended and its length or last chunk shows that it is complete.
async fn read_first_events(
    host: &Host,
    mut open: OpenResponse,
    mut splitter: Splitter,
) -> Result<Stream, AttemptOutcome> {
    if !open.answer.has_proof {
        record_failure(host, &open);
        return Err(AttemptOutcome::Broken(
            "the response lacks the endpoint's proof".into(),
        ));
    }

    loop {
        let bytes = match open.exchange.next().await {
            Ok(Some(bytes)) => bytes,
            Ok(None) if open.exchange.announces_its_end() && !splitter.is_partial() => {
                return Ok(Stream {
                    events: Vec::new(),
                    open,
                    splitter,
                });
            }
            Ok(None) => {
                record_failure(host, &open);
                return Err(AttemptOutcome::Disconnected(
                    "the stream ended before its first event".into(),
                ));
            }
            Err(Failure::Broken(message) | Failure::Unreachable(message)) => {
                record_failure(host, &open);
                return Err(AttemptOutcome::Disconnected(message));
            }
        };

        match splitter.push(&bytes) {
            Some(events) if events.is_empty() => {}
            Some(events) => {
                return Ok(Stream {
                    events,
                    open,
                    splitter,
                });
            }
            None => {
                record_failure(host, &open);
                return Err(AttemptOutcome::Broken(
                    "an event of the stream exceeds the length limit".into(),
                ));
            }
        }
    }
}

/// Returns the time within which a stream's next event has to arrive, if the
/// stream can go on at another endpoint otherwise.
fn event_timeout(request: &Request) -> Option<Duration> {
    let resumable = request.route.retry_mode == RetryMode::Resume
        && request.attempts.get() < request.route.max_attempts;
    let gap = request.route.event_gap;
    resumable.then(|| gap.map_or(DEFAULT_EVENT_TIMEOUT, |gap| gap * GAP_FACTOR))
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
    let (sender, receiver) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let status = stream.open.exchange.response.status();
    let headers: HeaderMap = host
        .codec
        .reply_headers(stream.open.exchange.response.headers());
    let mut response = Response::new(Body::Stream(receiver));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    let host = Rc::clone(host);

    spawn_local(async move {
        let guard = ActiveRequest::new(&host);
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
            ms = request.age().as_millis();
            "stream ended"
        );
        host.tally.count("streams", &[("outcome", end.name())]);
        drop(guard);
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
    sender: &Sender<io::Result<Bytes>>,
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
                let OpenResponse {
                    exchange,
                    load_guard,
                    ..
                } = stream.open;
                host.placement
                    .borrow_mut()
                    .health_mut(&load_guard.entry)
                    .record_success(1.0);
                exchange.finish(answer.keep_alive, answer.closing);
                return StreamEnd::Complete;
            }
            CopyEnd::TimedOut => {
                abort(sender, "the deadline passed").await;
                return StreamEnd::TimedOut;
            }
            CopyEnd::Broken(message) => {
                log::info!(
                    request = request.id(),
                    endpoint = stream.open.load_guard.entry.endpoint.as_str(),
                    last_event = stream.splitter.last_id();
                    "stream broke: {message}"
                );
            }
        }

        record_failure(host, &stream.open);
        let entry = &stream.open.load_guard.entry;
        retry_state.excluded.push(entry.endpoint.clone());
        let last_event = stream.splitter.last_id().map(str::to_owned);
        let splitter = std::mem::take(&mut stream.splitter);
        drop(stream);

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
                abort(sender, "the endpoint's stream ended early").await;
                return StreamEnd::Broken;
            }
        }
    }
}

/// Continues a stream after its last event at another endpoint, if the route
/// and the retry budget allow that.
async fn resume(
    host: &Rc<Host>,
    request: &Request,
    retry_state: &mut RetryState,
    stage_outputs: &mut StageOutputs,
    last_event: Option<String>,
    mut splitter: Splitter,
) -> Option<Stream> {
    splitter.discard_partial();

    if request.route.retry_mode != RetryMode::Resume || last_event.is_none() {
        return None;
    }

    while acquire_retry(host, request) {
        if let Err(refusal) = stage_outputs.renew(host, request).await {
            log_not_resumed(request, refusal.reason());
            return None;
        }

        let domain = stage_outputs.domain();
        let Chosen { entry, guard } = match retry_state.choose_engine(host, request, domain).await {
            Ok(chosen) => chosen,
            Err(reason) => {
                log_not_resumed(request, reason);
                return None;
            }
        };
        let options = AttemptOptions {
            inputs: &stage_outputs.handles,
            last_event: last_event.as_deref(),
        };
        let outcome = match attempt(host, request, &entry, options).await {
            AttemptOutcome::Answered(open) => {
                match continue_response(host, request, *open, splitter.clone()).await {
                    Ok(stream) => {
                        report(guard, Report::Started);
                        return Some(stream);
                    }
                    Err(outcome) => {
                        log_failure(request, &entry, &outcome);
                        outcome
                    }
                }
            }
            outcome => outcome,
        };

        report_failure(&entry, guard, &outcome);
        retry_state.excluded.push(entry.endpoint.clone());
        stage_outputs.release();
    }

    None
}

fn log_not_resumed(request: &Request, reason: Reason) {
    log::info!(
        request = request.id(),
        reason = reason.name();
        "stream not resumed"
    );
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
    sender: &Sender<io::Result<Bytes>>,
) -> CopyEnd {
    let event_timeout = event_timeout(request);
    let mut last_chunk = boot_clock::now();

    loop {
        let events = std::mem::take(&mut stream.events);

        if !events.is_empty() {
            host.tally.count("events", &[]);

            if sender.send(Ok(events.into())).await.is_err() {
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

/// Aborts the caller's connection, so that the response does not look
/// complete.
async fn abort(sender: &Sender<io::Result<Bytes>>, message: &str) {
    // Fails only if the caller has disconnected.
    let _ = sender.send(Err(io::Error::other(message.to_owned()))).await;
}

/// Counts a request in progress until it is dropped.
pub struct ActiveRequest(Rc<Host>);

impl ActiveRequest {
    /// Adds a request to the requests in progress.
    pub fn new(host: &Rc<Host>) -> Self {
        host.active.set(host.active.get() + 1);
        Self(Rc::clone(host))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get().saturating_sub(1));
    }
}
