//! Workers: plain services, stage workers and model workers. They record what they ran
//! and check the inputs that they are given.

use crate::{
    http::{self, Request},
    json::Json,
    record,
};
use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// A result that a stage worker keeps, and the piece for which it was made.
#[derive(Clone, Debug)]
pub struct Output {
    pub request: String,
    pub phase: u64,
    pub piece: u64,
    expires: Instant,
    freed: bool,
}

/// What all workers of a case share.
#[derive(Default)]
pub struct Floor {
    pub outputs: Mutex<HashMap<String, Output>>,
    /// Inputs that belong to other requests: who was given what.
    pub foreign: Mutex<Vec<String>>,
    /// Pieces and requests that were given an input twice.
    pub twice: Mutex<Vec<String>>,
    /// Pieces that a worker began: request, phase, piece, key.
    pub pieces: Mutex<Vec<(String, u64, u64, String)>>,
    /// When workers were at work on requests, on their pieces too.
    pub work: Mutex<Vec<(String, Instant, Instant)>>,
    next: Mutex<u64>,
}

impl Floor {
    fn number(&self) -> u64 {
        let mut next = self.next.lock().unwrap();
        *next += 1;
        *next
    }

    /// Returns the result with a handle while its worker keeps it.
    fn fetch(&self, handle: &str) -> Option<Output> {
        let outputs = self.outputs.lock().unwrap();
        let output = outputs.get(handle).filter(|output| !output.freed);
        output.filter(|output| output.expires > Instant::now()).cloned()
    }
}

/// How a stage worker works: the figures of its service in the config.
#[derive(Clone, Copy, Debug)]
pub struct Stage {
    pub call: Duration,
    pub item: Duration,
    pub queue: usize,
    pub kept: Duration,
}

#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Works for a time and answers with a body of this many bytes.
    Plain { work: Duration, bytes: usize },
    Stage(Stage),
    /// Sends this many events, with a pause before each.
    Model { events: usize, pause: Duration },
}

struct Worker {
    floor: Arc<Floor>,
    id: String,
    address: SocketAddr,
    kind: Kind,
    /// Tickets of the calls that wait or run, first in front.
    line: Mutex<Vec<u64>>,
    moved: Condvar,
}

/// Starts a worker on a free port and returns its address.
pub fn start(floor: &Arc<Floor>, id: &str, kind: Kind) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a worker listens");
    let address = listener.local_addr().expect("it has an address");
    let worker = Arc::new(Worker {
        floor: Arc::clone(floor),
        id: id.into(),
        address,
        kind,
        line: Mutex::default(),
        moved: Condvar::new(),
    });
    http::serve(listener, move |request, stream| worker.handle(request, stream));
    address
}

/// Returns a worker's entry for the store.
pub fn entry(service: &str, address: SocketAddr, slots: usize, born: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\
        \"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,\"born\":{born}}}"
    )
}

const NOT_RUN: &str = "X-Not-Executed: 1\r\n";

impl Worker {
    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return http::answer(stream, "421 Misdirected Request", NOT_RUN, b"");
        }
        match (request.path.as_str(), self.kind) {
            ("/healthz", _) => {
                let header = format!("X-Instance-Id: {}\r\n", self.id);
                http::answer(stream, "200 OK", &header, b"")
            }
            ("/stage-run", Kind::Stage(stage)) => self.stage(request, stream, stage),
            ("/stage-free", Kind::Stage(_)) => self.free(request, stream),
            (_, Kind::Plain { work, bytes }) => self.plain(request, stream, work, bytes),
            (_, Kind::Model { events, pause }) => self.model(request, stream, events, pause),
            _ => http::answer(stream, "404 Not Found", NOT_RUN, b""),
        }
    }

    /// Waits for the turn of a call. Returns whether it was full, and drops a call that
    /// waits when its connection closes.
    fn turn(&self, ticket: u64, queue: usize, stream: &TcpStream) -> io::Result<bool> {
        let mut line = self.line.lock().unwrap();
        if line.len() > queue {
            return Ok(false);
        }
        line.push(ticket);
        while line[0] != ticket {
            line = self.moved.wait_timeout(line, Duration::from_millis(20)).unwrap().0;
            if line[0] != ticket && is_closed(stream) {
                line.retain(|other| *other != ticket);
                self.moved.notify_all();
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        Ok(true)
    }

    fn stage(&self, request: &Request, stream: &mut TcpStream, stage: Stage) -> io::Result<bool> {
        let arrived = Instant::now();
        let json = "Content-Type: application/json\r\nX-Instance-Load: 1,0,1\r\n";
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = Json::parse(&body) else {
            return http::answer(stream, "400 Bad Request", NOT_RUN, b"");
        };
        let items = body.get("items").map_or(&[][..], Json::list).to_vec();
        let ticket = self.floor.number();
        if !self.turn(ticket, stage.queue, stream)? {
            return http::answer(stream, "503 Service Unavailable", NOT_RUN, b"");
        }
        let mut results = Vec::new();
        let mut made = 0;
        for item in &items {
            results.push(match self.begin(item, arrived) {
                Ok(output) => {
                    made += 1;
                    Ok((format!("{}/{:x}", self.address, self.floor.number() * 0x9e37_79b1), output))
                }
                Err(reason) => Err(reason),
            });
        }
        let began = Instant::now();
        thread::sleep(stage.call + stage.item * made);
        let worked = |request: &str| (request.to_owned(), began, Instant::now());
        let requests = results.iter().flatten().map(|(_, output)| worked(&output.request));
        self.floor.work.lock().unwrap().extend(requests.collect::<Vec<_>>());
        let expires = Instant::now() + stage.kept;
        let mut answers = Vec::new();
        for result in results {
            match result {
                Ok((handle, output)) => {
                    answers.push(format!("{{\"handle\":\"{handle}\"}}"));
                    record(&format!(
                        "made {handle} by {} for request {} stage {} piece {}",
                        self.id, output.request, output.phase, output.piece
                    ));
                    let output = Output { expires, ..output };
                    self.floor.outputs.lock().unwrap().insert(handle, output);
                }
                Err(reason) => answers.push(format!("{{\"reason\":\"{reason}\"}}")),
            }
        }
        self.line.lock().unwrap().retain(|other| *other != ticket);
        self.moved.notify_all();
        let body = format!("{{\"items\":[{}]}}", answers.join(","));
        http::answer(stream, "200 OK", json, body.as_bytes())
    }

    /// Begins a piece at the turn of its call: fetches its inputs.
    fn begin(&self, item: &Json, arrived: Instant) -> Result<Output, &'static str> {
        let field = |name: &str| item.get(name).map_or("", Json::text).to_owned();
        let output = Output {
            request: field("id"),
            phase: item.get("phase").map_or(0.0, Json::number) as u64,
            piece: item.get("piece").map_or(0.0, Json::number) as u64,
            expires: arrived,
            freed: false,
        };
        let left = item.get("remainingMs").map(Json::number);
        if left.is_some_and(|left| arrived.elapsed().as_millis() as f64 > left) {
            return Err("late");
        }
        let inputs = item.get("inputs").map_or(&[][..], Json::list);
        for (index, input) in inputs.iter().enumerate() {
            if inputs[..index].contains(input) {
                let what = format!(
                    "stage {} piece {} of request {} was given {} twice, in {} inputs",
                    output.phase,
                    output.piece,
                    output.request,
                    input.text(),
                    inputs.len()
                );
                record(&format!("INPUT TWICE: {what}"));
                self.floor.twice.lock().unwrap().push(what);
            }
            let Some(input_output) = self.floor.fetch(input.text()) else {
                return Err("gone");
            };
            if input_output.request != output.request {
                let what = format!(
                    "stage {} piece {} of request {} was given {} of request {} (stage {} piece {})",
                    output.phase,
                    output.piece,
                    output.request,
                    input.text(),
                    input_output.request,
                    input_output.phase,
                    input_output.piece
                );
                record(&format!("FOREIGN INPUT: {what}"));
                self.floor.foreign.lock().unwrap().push(what);
            }
        }
        let piece = (output.request.clone(), output.phase, output.piece, field("key"));
        self.floor.pieces.lock().unwrap().push(piece);
        Ok(output)
    }

    fn free(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let body = Json::parse(&body).unwrap_or(Json::Null);
        let mut outputs = self.floor.outputs.lock().unwrap();
        for handle in body.get("handles").map_or(&[][..], Json::list) {
            if let Some(output) = outputs.get_mut(handle.text()) {
                output.freed = true;
            }
        }
        drop(outputs);
        http::answer(stream, "200 OK", "Content-Type: application/json\r\n", b"{}")
    }

    fn note(&self, request: &Request) -> String {
        let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
        record(&format!("ran request {attempt} at {}", self.id));
        attempt
    }

    fn model(&self, request: &Request, stream: &mut TcpStream, events: usize, pause: Duration) -> io::Result<bool> {
        let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
        let handles = request.header("x-inputs").unwrap_or("").to_owned();
        let handles: Vec<&str> = handles.split(',').filter(|handle| !handle.is_empty()).collect();
        let wants_inputs = request.header("x-pieces").is_some();
        if wants_inputs && handles.is_empty() {
            return http::answer(stream, "400 Bad Request", NOT_RUN, b"");
        }
        let inputs: Option<Vec<Output>> = handles.iter().map(|handle| self.floor.fetch(handle)).collect();
        let Some(inputs) = inputs else {
            return http::answer(stream, "409 Conflict", NOT_RUN, b"");
        };
        for (handle, input) in handles.iter().zip(&inputs) {
            if input.request != attempt {
                let what = format!(
                    "request {attempt} was given {handle} of request {} (stage {} piece {})",
                    input.request, input.phase, input.piece
                );
                record(&format!("FOREIGN INPUT: {what}"));
                self.floor.foreign.lock().unwrap().push(what);
            }
        }
        self.note(request);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\n\
            X-Server-Stamp: {}.{attempt}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        let began = Instant::now();
        for event in 0..events {
            thread::sleep(pause);
            let text = format!("id: {event}\ndata: {attempt} {event}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        let work = (attempt, began, Instant::now());
        self.floor.work.lock().unwrap().push(work);
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

impl Worker {
    fn plain(&self, request: &Request, stream: &mut TcpStream, work: Duration, bytes: usize) -> io::Result<bool> {
        let attempt = self.note(request);
        thread::sleep(work);
        let headers = format!(
            "X-Attempt-Id: {attempt}\r\nX-Server-Stamp: {}.{attempt}\r\nKeep-Alive: timeout=5\r\n",
            self.id
        );
        let mut body = attempt.into_bytes();
        body.resize(bytes, b'.');
        http::answer(stream, "200 OK", &headers, &body)
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = matches!(stream.peek(&mut [0]), Ok(0));
    let _ = stream.set_nonblocking(false);
    closed
}
