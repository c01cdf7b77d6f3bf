//! Passes a stream of events on, and continues one that broke at another
//! endpoint where its route allows that.

use {
    crate::{
        coordination::serving::{
            answer::{Reason, Refusal},
            exchange::{Extra, Open, Tried, attempt},
            host::Host,
            relay::{Next, Tries, justified, may_try_again},
            request::Request,
            stages::Prepared,
        },
        protocol::{edge::Answer, event_stream::Splitter},
        state::{id, serving::config::Repeat},
        transport::{
            boot_clock,
            http::{body::Body, client::Failure},
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

/// Time in which an engine has read the outputs of the stages: the way there
/// and the transfer of a few outputs of some megabytes.
const INPUTS_READ: Duration = Duration::from_millis(60);

/// Events that wait for a caller that reads slowly.
const QUEUE: usize = 64;

/// Pause between two events, relative to the longest one in time, after which
/// a stream that may be resumed goes on at another endpoint.
const SILENCE: u32 = 4;

/// Pause after which a stream without a stated longest one is resumed.
const DEFAULT_SILENCE: Duration = Duration::from_secs(2);

/// A stream whose first events have arrived.
struct Stream {
    events: Vec<u8>,
    open: Open,
    splitter: Splitter,
}

/// Serves a request whose answer is a stream. `prepared` holds the outputs of
/// its stages. They are released once an endpoint has read them, or at the
/// end of a stream that may be resumed.
///
/// # Errors
///
/// Returns the refusal if no endpoint sent an event.
pub async fn serve(
    host: &Rc<Host>,
    request: Rc<Request>,
    mut prepared: Prepared,
) -> Result<Response<Body>, Refusal> {
    let mut tries = Tries::default();
    let handles = prepared.handles.clone();

    loop {
        let Some(entry) = tries.choose(host, &request, None) else {
            return Err(justified(&request, Reason::NoEndpoint));
        };
        let extra = Extra {
            inputs: &handles,
            last_event: request.call.last_event.as_deref(),
        };
        let tried = {
            let attempt = attempt(host, &request, &entry, extra);
            let mut attempt = std::pin::pin!(attempt);

            match timeout(INPUTS_READ, attempt.as_mut()).await {
                Ok(tried) => tried,
                Err(_) => {
                    if request.route.repeat == Repeat::Never {
                        prepared.release();
                    }

                    attempt.await
                }
            }
        };
        let tried = match tried {
            Tried::Answered(open) => match begin(host, &request, *open).await {
                Ok(Begun::Stream(stream)) => {
                    let kept = (request.route.repeat == Repeat::Resume).then_some(prepared);
                    return Ok(pass_on(host, request, *stream, tries, kept));
                }
                Ok(Begun::Whole(response)) => return Ok(response),
                Err(tried) => tried,
            },
            tried => tried,
        };

        match tries.after(host, &request, &entry, &tried) {
            Next::Again => {}
            Next::Refuse(refusal) => return Err(refusal),
        }
    }
}

enum Begun {
    Stream(Box<Stream>),
    /// The endpoint's failure, passed on as it is.
    Whole(Response<Body>),
}

/// Waits for the first events, so that an endpoint that fails before them
/// leaves the request to another one.
async fn begin(host: &Rc<Host>, request: &Request, mut open: Open) -> Result<Begun, Tried> {
    /// Longest failure that is passed on.
    const FAILURE_BYTES: usize = 1024 * 1024;

    let status = open.exchange.response.status();

    if !status.is_success() {
        let repeat = request.route.repeat != Repeat::Never && status.is_server_error();
        let headers = host.edge.reply(open.exchange.response.headers());
        let body = open.exchange.collect(FAILURE_BYTES).await;
        fail(host, &open);

        let Ok(body) = body else {
            return Err(Tried::Broken("the answer broke off".into()));
        };

        if repeat && request.attempts.get() < request.route.max_attempts {
            return Err(Tried::Broken(format!("the endpoint answered {status}")));
        }

        let mut response = Response::new(Body::whole(body));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        return Ok(Begun::Whole(response));
    }

    if !open.answer.proven {
        fail(host, &open);
        return Err(Tried::Broken("the answer has no proof".into()));
    }

    let mut splitter = Splitter::default();

    loop {
        let bytes = match open.exchange.next().await {
            Ok(Some(bytes)) => bytes,
            Ok(None) => {
                fail(host, &open);
                return Err(Tried::Broken(
                    "the stream ended before its first event".into(),
                ));
            }
            Err(Failure::Broken(message) | Failure::Unreachable(message)) => {
                fail(host, &open);
                return Err(Tried::Broken(message));
            }
        };

        match splitter.take(&bytes) {
            Some(events) if events.is_empty() => {}
            Some(events) => {
                return Ok(Begun::Stream(Box::new(Stream {
                    events,
                    open,
                    splitter,
                })));
            }
            None => {
                fail(host, &open);
                return Err(Tried::Broken("an event of the stream is too long".into()));
            }
        }
    }
}

fn fail(host: &Host, open: &Open) {
    let mut placement = host.placement.borrow_mut();
    placement
        .health_mut(&open.running.entry)
        .record_failure(boot_clock::now());
}

/// Starts to pass a stream on and returns its head.
fn pass_on(
    host: &Rc<Host>,
    request: Rc<Request>,
    stream: Stream,
    tries: Tries,
    prepared: Option<Prepared>,
) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(QUEUE);
    let status = stream.open.exchange.response.status();
    let headers: HeaderMap = host.edge.reply(stream.open.exchange.response.headers());
    let mut response = Response::new(Body::Stream(receiver));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    let host = Rc::clone(host);

    spawn_local(async move {
        let guard = Active::new(&host);
        let inputs = prepared
            .as_ref()
            .map_or(&[][..], |prepared| &prepared.handles);
        let end = run(&host, &request, stream, tries, inputs, &sender).await;
        log::info!(
            request = request.id(),
            route = request.route.name.as_str(),
            endpoint = request.endpoint.borrow().as_ref().map(id::Endpoint::as_str),
            attempts = request.attempts.get(),
            outcome = end.name(),
            ms = request.age().as_millis();
            "stream ended"
        );
        host.tally.count("streams", &[("outcome", end.name())]);
        drop(guard);
    });

    response
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Broken,
    CallerLeft,
    Complete,
    TimedOut,
}

impl End {
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
    mut tries: Tries,
    inputs: &[String],
    sender: &Sender<io::Result<Bytes>>,
) -> End {
    loop {
        let end = tokio::select! {
            end = copy(host, request, &mut stream, sender) => end,
            () = sender.closed() => Copied::CallerLeft,
            () = tokio::time::sleep(request.remaining()) => Copied::TimedOut,
        };

        match end {
            Copied::CallerLeft => return End::CallerLeft,
            Copied::Complete(answer) => {
                let Open {
                    exchange, running, ..
                } = stream.open;
                host.placement
                    .borrow_mut()
                    .health_mut(&running.entry)
                    .record_success(1.0);
                exchange.finish(answer.keep_alive, answer.closing);
                return End::Complete;
            }
            Copied::TimedOut => {
                cut(sender, "the deadline passed").await;
                return End::TimedOut;
            }
            Copied::Broken(message) => {
                log::info!(
                    request = request.id(),
                    endpoint = stream.open.running.entry.endpoint.as_str(),
                    last_event = stream.splitter.last_id();
                    "stream broke: {message}"
                );
            }
        }

        fail(host, &stream.open);
        let entry = &stream.open.running.entry;
        tries.excluded.push(entry.endpoint.clone());
        let last_event = stream.splitter.last_id().map(str::to_owned);
        let splitter = std::mem::take(&mut stream.splitter);
        drop(stream);

        match resume(host, request, &mut tries, inputs, last_event, splitter).await {
            Some(resumed) => stream = resumed,
            None => {
                cut(sender, "the endpoint's stream broke off").await;
                return End::Broken;
            }
        }
    }
}

/// Continues a stream at another endpoint.
async fn resume(
    host: &Rc<Host>,
    request: &Request,
    tries: &mut Tries,
    inputs: &[String],
    last_event: Option<String>,
    mut splitter: Splitter,
) -> Option<Stream> {
    if request.route.repeat != Repeat::Resume || last_event.is_none() {
        return None;
    }

    while may_try_again(host, request) {
        let entry = tries.choose(host, request, None)?;
        let extra = Extra {
            inputs,
            last_event: last_event.as_deref(),
        };
        let tried = attempt(host, request, &entry, extra).await;

        if let Tried::Answered(open) = tried
            && open.exchange.response.status().is_success()
        {
            splitter.discard_partial();
            return Some(Stream {
                events: Vec::new(),
                open: *open,
                splitter,
            });
        }

        tries.excluded.push(entry.endpoint.clone());
    }

    None
}

enum Copied {
    Broken(String),
    CallerLeft,
    Complete(Answer),
    TimedOut,
}

async fn copy(
    host: &Host,
    request: &Request,
    stream: &mut Stream,
    sender: &Sender<io::Result<Bytes>>,
) -> Copied {
    let resumable = request.route.repeat == Repeat::Resume
        && request.attempts.get() < request.route.max_attempts;
    let silence = request
        .route
        .event_gap
        .map_or(DEFAULT_SILENCE, |gap| gap * SILENCE);

    loop {
        let events = std::mem::take(&mut stream.events);

        if !events.is_empty() {
            host.tally.count("events", &[]);

            if sender.send(Ok(events.into())).await.is_err() {
                return Copied::CallerLeft;
            }
        }

        let next = stream.open.exchange.next();
        let next = if resumable {
            match timeout(silence, next).await {
                Ok(next) => next,
                Err(_) => return Copied::Broken("the endpoint is silent".into()),
            }
        } else {
            next.await
        };

        match next {
            Ok(Some(bytes)) => match stream.splitter.take(&bytes) {
                Some(events) => stream.events = events,
                None => return Copied::Broken("an event is too long".into()),
            },
            Ok(None) if stream.splitter.is_partial() => {
                return Copied::Broken("the stream ended within an event".into());
            }
            Ok(None) => return Copied::Complete(stream.open.answer.clone()),
            Err(Failure::Broken(message) | Failure::Unreachable(message)) => {
                return Copied::Broken(message);
            }
        }
    }
}

/// Breaks the caller's connection, so that the answer does not look complete.
async fn cut(sender: &Sender<io::Result<Bytes>>, message: &str) {
    // The caller has left if this fails.
    let _ = sender.send(Err(io::Error::other(message.to_owned()))).await;
}

/// Counts a request in progress.
pub struct Active(Rc<Host>);

impl Active {
    /// Counts the request until the guard is dropped.
    pub fn new(host: &Rc<Host>) -> Self {
        host.active.set(host.active.get() + 1);
        Self(Rc::clone(host))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get().saturating_sub(1));
    }
}
