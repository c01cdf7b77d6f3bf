//! Workers: a plain service, a stage pool and a model engine. They record the
//! requests that they ran.

mod replies;

use {
    self::replies::{
        answer_twice, endless, failure, mark, plain_reply, raw_reply, refuse, refuse_for,
        refuse_twice,
    },
    crate::{
        http::{Flow, Reply, Request},
        server::{ANY_PORT, Handler, Server, lock},
    },
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Length of an answer on the path `/export/`: more than the kernel holds for a caller
/// that reads slowly.
pub const EXPORT_BYTES: usize = 12_000_000;

/// Body of a stream's response without a proof.
pub const ERROR_TEXT: &str = "the engine failed\n\n";

/// A fault that affects one request of a worker.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Runs the request and closes the connection without a response.
    AnswerLost,
    /// Runs the pieces, and writes the response again as the answer to the next request
    /// on the connection.
    AnswerTwice,
    /// Closes the connection of a stream within this event.
    Break(usize),
    /// Closes the connection of a stream after a head that announces neither a
    /// length nor chunks.
    Empty,
    /// Ends the worker's process after the head of a stream, or without a response.
    Crash,
    /// Ends the worker's process after the first event of a stream.
    CrashAfterEvent,
    /// Sends bytes until the caller closes the connection.
    Endless(Endless),
    /// Sends the response twice.
    Extra,
    /// Refuses the request because the worker is full.
    Full,
    /// Closes the connection within the head of the response.
    HeadCut,
    /// Refuses the request because an input no longer exists.
    InputGone,
    /// Sends a response that belongs to another request.
    Other,
    /// Refuses the request and wants no others for a number of seconds.
    RetryAfter(&'static str),
    /// Refuses the request, and writes the refusal again as the answer to the next
    /// request on the connection.
    RefuseTwice,
    /// Runs the request and responds with this status, without saying that it has not
    /// run.
    Status(&'static str),
    /// Sends a response without a proof. A stream's has an error text in place of
    /// events.
    Unproven,
}

/// The part of a response that does not end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endless {
    /// A body whose length is not announced.
    Body,
    /// A chunked body without an answer's proof.
    Chunks,
    /// An event of a stream.
    Event,
    /// A header field.
    Head,
    /// Interim responses.
    Interim,
}

/// A request that a worker ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub headers: BTreeMap<String, String>,
    pub path: String,
}

/// A piece that a worker ran, with its item of the request body.
#[derive(Clone, Debug)]
pub struct Piece {
    pub at: Instant,
    pub item: Value,
}

#[derive(Default)]
struct State {
    faults: VecDeque<Fault>,
    /// Handles of the outputs that were freed.
    freed: Vec<String>,
    pieces: Vec<Piece>,
    runs: Vec<Run>,
    /// Added to the execution time of every request.
    delay: Duration,
    /// Bytes added to each event of a stream.
    event_padding: usize,
    /// Whether all answers say that the worker is leaving.
    leaving: bool,
    /// The requests a second that all answers say the worker takes.
    limit: Option<&'static str>,
    /// The load that all answers report.
    load: Option<&'static str>,
    /// Whether the next request to free outputs is refused, and the refusal written
    /// again.
    refuses_release: bool,
    harmful_part: Option<HarmfulPart>,
    /// A request that crashes the worker.
    harmful_request: Option<HarmfulRequest>,
}

/// A part of prompts that crashes a worker when it answers a request with it.
#[derive(Clone, Debug)]
struct HarmfulPart {
    crash: Fault,
    id: String,
}

/// A request that crashes a worker when it has run for a time.
#[derive(Clone, Debug)]
pub struct HarmfulRequest {
    pub body: &'static str,
    pub delay: Duration,
    pub fault: Fault,
    pub path: &'static str,
}

/// A worker's state, shared with its server.
pub struct Service {
    /// Number of events of a stream.
    events: usize,
    id: Mutex<String>,
    /// Execution time of a request, and time between two events of a stream.
    pause: Duration,
    /// `None` once the worker has crashed.
    server: Arc<Mutex<Option<Server>>>,
    state: Mutex<State>,
}

/// A running worker.
pub struct Worker {
    address: SocketAddr,
    service: Arc<Service>,
}

impl Worker {
    /// Starts a worker that takes `pause` for a request, and whose streams have
    /// `events` events with `pause` between them.
    ///
    /// # Panics
    ///
    /// Panics when the worker cannot listen on a port.
    pub fn start(id: &str, events: usize, pause: Duration) -> Self {
        let service = Arc::new(Service {
            events,
            id: Mutex::new(id.into()),
            pause,
            server: Arc::default(),
            state: Mutex::default(),
        });
        let server = Server::start(ANY_PORT, Arc::clone(&service)).expect("the worker listens");
        let address = server.address();
        *lock(&service.server) = Some(server);
        Self { address, service }
    }

    /// Returns the worker's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the worker's id. The address stays, as if a different worker had
    /// taken it over.
    pub fn rename(&self, id: &str) {
        *lock(&self.service.id) = id.into();
    }

    /// Queues a fault for one of the next requests.
    pub fn fail_next(&self, fault: Fault) {
        lock(&self.service.state).faults.push_back(fault);
    }

    /// Removes the queued faults.
    pub fn clear_faults(&self) {
        lock(&self.service.state).faults.clear();
    }

    /// Sets the delay added to the execution time of every request.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.service.state).delay = delay;
    }

    /// Sets the number of bytes added to each event of a stream.
    pub fn pad_events(&self, bytes: usize) {
        lock(&self.service.state).event_padding = bytes;
    }

    /// Names a number of requests a second in all answers from now on, or none.
    pub fn limit(&self, per_second: Option<&'static str>) {
        lock(&self.service.state).limit = per_second;
    }

    /// Reports a load in all answers from now on, or none.
    pub fn report_load(&self, load: Option<&'static str>) {
        lock(&self.service.state).load = load;
    }

    /// Says in all answers from now on that the worker is leaving.
    pub fn leave(&self) {
        lock(&self.service.state).leaving = true;
    }

    /// Refuses the next request to free outputs, and writes the refusal again as the
    /// answer to the next request on the connection.
    pub fn refuse_release_twice(&self) {
        lock(&self.service.state).refuses_release = true;
    }

    /// Sets the part of prompts that crashes the worker. `crash` is the fault of a
    /// request with it.
    pub fn set_harmful_part(&self, part: &str, crash: Fault) {
        lock(&self.service.state).harmful_part = Some(HarmfulPart {
            crash,
            id: part.into(),
        });
    }

    /// Sets a request that crashes the worker.
    pub fn set_harmful_request(&self, request: HarmfulRequest) {
        lock(&self.service.state).harmful_request = Some(request);
    }

    /// Returns whether a request has crashed the worker.
    pub fn has_crashed(&self) -> bool {
        lock(&self.service.server).is_none()
    }

    /// Returns the requests that the worker ran, in order.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.service.state).runs.clone()
    }

    /// Returns the pieces that the worker ran, in order.
    pub fn pieces(&self) -> Vec<Piece> {
        lock(&self.service.state).pieces.clone()
    }

    /// Returns the handles of the outputs that were freed, in order.
    pub fn freed(&self) -> Vec<String> {
        lock(&self.service.state).freed.clone()
    }

    /// Returns the worker's entry for the store.
    pub fn entry(&self, service: &str, state: &str) -> Value {
        entry(self.address(), service, state)
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        drop(lock(&self.service.server).take());
    }
}

/// Returns a worker's entry for the store.
pub fn entry(address: SocketAddr, service: &str, state: &str) -> Value {
    json!({
        "service": service, "address": address.to_string(), "zone": "z1",
        "version": "v1", "slots": 6, "state": state, "coldLeftMs": 0, "sequence": 1,
    })
}

impl State {
    /// Returns the fault that affects a request.
    fn take_fault(&mut self, request: &Request) -> Option<Fault> {
        let prompt = request.headers.get("x-prompt-prefix");

        if let Some(harmful) = self.harmful_request(request) {
            return Some(harmful.fault.clone());
        }

        let harmful = self.harmful_part.as_ref().filter(|harmful| {
            let parts = prompt.iter().flat_map(|prompt| prompt.split(','));
            let mut parts = parts.filter_map(|part| part.split_once(':'));
            parts.any(|(id, _)| id.trim() == harmful.id)
        });
        let crash = harmful.map(|harmful| harmful.crash.clone());
        crash.or_else(|| self.faults.pop_front())
    }

    /// Returns what makes a request crash the worker by its path and body.
    fn harmful_request(&self, request: &Request) -> Option<&HarmfulRequest> {
        let harmful = self.harmful_request.as_ref();
        harmful.filter(|harmful| {
            harmful.path == request.path && harmful.body.as_bytes() == request.body
        })
    }

    /// Returns the time for which a request runs, in addition to the usual time.
    fn delay(&self, request: &Request) -> Duration {
        let harmful = self.harmful_request(request);
        harmful.map_or(self.delay, |harmful| harmful.delay)
    }
}

impl Service {
    fn stage(&self, request: &Request) -> Reply {
        let Ok(body) = request.json::<Value>() else {
            return Reply::problem(400, "the body cannot be read as JSON");
        };
        let items = body["items"].as_array().cloned().unwrap_or_default();
        let (fault, delay) = {
            let mut state = lock(&self.state);
            let fault = state.faults.pop_front();

            if let Some(Fault::RetryAfter(seconds)) = fault {
                return refuse_for(seconds);
            }

            if let Some(Fault::Endless(part)) = fault {
                return endless(part, "");
            }

            let at = Instant::now();
            let pieces = items.iter().cloned();
            state.pieces.extend(pieces.map(|item| Piece { at, item }));
            (fault, state.delay)
        };
        thread::sleep(self.pause + delay);
        let id = lock(&self.id).clone();
        let results = items.iter().map(|item| {
            let request = item["id"].as_str().unwrap_or_default();
            json!({ "handle": format!("{id}/{request}.{}.{}", item["phase"], item["piece"]) })
        });
        let body = json!({ "items": results.collect::<Vec<Value>>() });

        if matches!(fault, Some(Fault::AnswerTwice)) {
            answer_twice(&body)
        } else {
            Reply::ok(body)
        }
    }

    fn free(&self, request: &Request) -> Reply {
        let Ok(body) = request.json::<Value>() else {
            return Reply::problem(400, "the body cannot be read as JSON");
        };
        let handles = body["handles"].as_array().cloned().unwrap_or_default();
        let handles = handles.iter().filter_map(Value::as_str).map(str::to_owned);
        let mut state = lock(&self.state);

        if std::mem::take(&mut state.refuses_release) {
            return refuse_twice();
        }

        state.freed.extend(handles);
        Reply::ok(json!({}))
    }

    fn run(&self, request: &Request) -> Reply {
        let attempt = request.headers.get("x-attempt-id").cloned();
        let attempt = attempt.unwrap_or_default();
        let (fault, delay) = {
            let mut state = lock(&self.state);
            let fault = state.take_fault(request);

            if matches!(fault, Some(Fault::Full)) {
                return refuse("503 Service Unavailable");
            }

            if matches!(fault, Some(Fault::InputGone)) {
                return refuse("409 Conflict");
            }

            if matches!(fault, Some(Fault::RefuseTwice)) {
                return refuse_twice();
            }

            if let Some(Fault::RetryAfter(seconds)) = fault {
                return refuse_for(seconds);
            }

            state.runs.push(Run {
                at: Instant::now(),
                headers: request.headers.clone(),
                path: request.path.clone(),
            });
            (fault, state.delay(request))
        };
        thread::sleep(self.pause + delay);

        if let Some(Fault::Endless(part)) = fault {
            return endless(part, &attempt);
        }

        let has_prompt = request.headers.contains_key("x-token-counts");

        if has_prompt && !request.path.starts_with("/brief/") {
            self.stream(request, &attempt, fault)
        } else {
            if matches!(fault, Some(Fault::Crash)) {
                drop(lock(&self.server).take());
                return Reply::Close;
            }

            let is_export = request.path.starts_with("/export/");
            let length = if is_export { EXPORT_BYTES } else { 0 };
            plain_reply(&attempt, length, fault)
        }
    }

    /// Streams server-sent events, starting after the `Last-Event-ID` header's
    /// event.
    fn stream(&self, request: &Request, attempt: &str, fault: Option<Fault>) -> Reply {
        let first = request.headers.get("last-event-id");
        let first = first.and_then(|id| id.parse::<usize>().ok());
        let first = first.map_or(0, |id| id + 1);
        let last = match fault {
            Some(Fault::Break(event)) => event,
            _ => self.events,
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\n"
        );

        match fault {
            Some(Fault::Status(status)) => return failure(status, attempt),
            Some(Fault::Empty) => {
                let text = format!("{head}X-Server-Stamp: proof\r\n\r\n");
                return raw_reply(text.into_bytes(), Flow::Close);
            }
            Some(Fault::HeadCut) => return raw_reply(head.into_bytes(), Flow::Close),
            Some(Fault::Unproven) => {
                let text = format!(
                    "{head}Content-Length: {}\r\n\r\n{ERROR_TEXT}",
                    ERROR_TEXT.len()
                );
                return raw_reply(text.into_bytes(), Flow::Keep);
            }
            _ => {}
        }

        let head = format!("{head}X-Server-Stamp: proof\r\nTransfer-Encoding: chunked\r\n\r\n");
        let pause = self.pause;
        let padding = "x".repeat(lock(&self.state).event_padding);
        let attempt = attempt.to_owned();
        let server = Arc::clone(&self.server);

        Reply::Written(Box::new(move |writer| {
            writer.write_all(head.as_bytes())?;

            if matches!(fault, Some(Fault::Crash)) {
                writer.flush()?;
                drop(lock(&server).take());
                return Ok(Flow::Close);
            }

            for event in first..last {
                let text = format!("id: {event}\ndata: {attempt} {event}{padding}\n\n");
                write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
                writer.flush()?;
                thread::sleep(pause);

                if matches!(fault, Some(Fault::CrashAfterEvent)) {
                    drop(lock(&server).take());
                    return Ok(Flow::Close);
                }
            }

            if matches!(fault, Some(Fault::Break(_))) {
                writer.write_all(b"7\r\nid: 99\n\r\n")?;
                return Ok(Flow::Close);
            }

            writer.write_all(b"0\r\n\r\n")?;
            Ok(Flow::Keep)
        }))
    }
}

impl Handler for Service {
    fn handle(&self, request: Request) -> Reply {
        let id = lock(&self.id).clone();
        let expected = request.headers.get("x-expect-instance");

        if expected.is_some_and(|expected| *expected != id) {
            return refuse("421 Misdirected Request");
        }

        let (leaving, limit, load) = {
            let state = lock(&self.state);
            (state.leaving, state.limit, state.load)
        };
        let mut reply = match request.path.as_str() {
            "/stage-run" => self.stage(&request),
            "/stage-free" => self.free(&request),
            _ => self.run(&request),
        };

        if leaving {
            reply = mark(reply, "Server-Leaving: 1");
        }

        if let Some(load) = load {
            reply = mark(reply, &format!("X-Instance-Load: {load}"));
        }

        match limit {
            Some(limit) => mark(reply, &format!("Server-Limit: {limit}")),
            None => reply,
        }
    }
}
