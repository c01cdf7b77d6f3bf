//! Reads the start of an endpoint's stream: up to its first whole events.

use {
    super::record_failure,
    crate::{
        coordination::serving::{
            attempt::{AttemptOutcome, OpenResponse},
            balancing::PlacementGuard,
            crashes::End,
            host::Host,
            request::Request,
        },
        protocol::event_stream::Splitter,
        state::serving::config::RetryMode,
        transport::http::{body::Body, client::Failure},
    },
    hyper::Response,
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Multiple of the route's event gap after which a resumable stream without an
/// event continues at another endpoint. The event gap is the longest pause
/// between two events of an answer that is still on time.
const GAP_FACTOR: u32 = 4;

/// Pause after which a stream is resumed if its route has no event gap.
const DEFAULT_EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// A stream whose first events have arrived.
pub(super) struct Stream {
    pub(super) events: Vec<u8>,
    /// Reports how the request ended, at the latest when the stream is dropped.
    pub(super) guard: Option<PlacementGuard>,
    pub(super) open: OpenResponse,
    pub(super) splitter: Splitter,
}

impl Stream {
    /// Reports the first event to the balancing host, if that chose the engine.
    pub(super) fn start(&mut self, guard: Option<PlacementGuard>) {
        if let Some(guard) = &guard {
            guard.start();
        }

        self.guard = guard;
    }

    /// Closes the stream. `end` says what that shows about the endpoint.
    pub(super) fn end(self, end: End) {
        self.open.watch.end(end);
    }
}

/// The start of an endpoint's response.
pub(super) enum ResponseStart {
    Stream(Box<Stream>),
    /// An error response of the endpoint, which is forwarded unchanged.
    Whole(Response<Body>),
}

/// Waits for the first events, so that a request whose endpoint fails before
/// them can go to another endpoint.
pub(super) async fn start_response(
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
        open.watch.end(if body.is_ok() {
            End::Answered
        } else {
            End::Broken
        });

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

        let mut response = Response::new(Body::blocks(body.finish()));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        return Ok(ResponseStart::Whole(response));
    }

    let stream = read_first_events(host, open, Splitter::default()).await?;

    if stream.events.is_empty() {
        record_failure(host, &stream.open);
        stream.end(End::Broken);
        return Err(AttemptOutcome::Disconnected(
            "the stream ended before its first event".into(),
        ));
    }

    Ok(ResponseStart::Stream(Box::new(stream)))
}

/// Waits for the first events with which an endpoint continues a stream. Nothing
/// of an error response belongs to the stream.
pub(super) async fn continue_response(
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
                    guard: None,
                    open,
                    splitter,
                });
            }
            Ok(None) => {
                record_failure(host, &open);
                open.watch.end(End::Broken);
                return Err(AttemptOutcome::Disconnected(
                    "the stream ended before its first event".into(),
                ));
            }
            Err(Failure::Broken(message) | Failure::Unreachable(message)) => {
                record_failure(host, &open);
                open.watch.end(End::Broken);
                return Err(AttemptOutcome::Disconnected(message));
            }
        };

        match splitter.push(&bytes) {
            Some(events) if events.is_empty() => {}
            Some(events) => {
                return Ok(Stream {
                    events,
                    guard: None,
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
pub(super) fn event_timeout(request: &Request) -> Option<Duration> {
    let resumable = request.route.retry_mode == RetryMode::Resume
        && request.attempts.get() < request.route.max_attempts;
    let gap = request.route.event_gap;
    resumable.then(|| gap.map_or(DEFAULT_EVENT_TIMEOUT, |gap| gap * GAP_FACTOR))
}
