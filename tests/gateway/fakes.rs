//! Fake endpoints, whose answers are defined by the tests.

use {
    crate::support,
    persimmoncleat::{
        protocol::{call::Call, daemon_file::Limits},
        transport::{
            head::Head,
            server::{Fault, Handler, Server},
        },
    },
    rouille::{Request, Response, ResponseBody},
    serde_json::{Value, json},
    std::{
        io::{self, Read},
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
    },
};

type Answer = dyn Fn(usize, &Call) -> Response + Send + Sync;

/// An endpoint that answers each call with a closure, which gets the number of
/// earlier calls and the call.
pub struct Fake {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<Call>>>,
    pub cancelled: Arc<Mutex<Vec<String>>>,
}

struct FakeRoutes {
    answer: Box<Answer>,
    calls: Arc<Mutex<Vec<Call>>>,
    cancelled: Arc<Mutex<Vec<String>>>,
}

impl Handler for FakeRoutes {
    fn handle(&self, request: &Request) -> Response {
        if request.method() == "DELETE" {
            let attempt = request.url().replace("/v1/calls/", "");
            self.cancelled.lock().unwrap().push(attempt);
            return Response::json(&json!({"cancelled": true}));
        }

        if request.url() != "/v1/calls" {
            return Response::empty_404();
        }

        let call: Call = serde_json::from_reader(request.data().unwrap()).unwrap();
        let before = {
            let mut calls = self.calls.lock().unwrap();
            calls.push(call.clone());
            calls.len() - 1
        };
        (self.answer)(before, &call)
    }

    fn refuse(&self, _fault: &Fault, _head: Option<&Head>) -> Response {
        Response::empty_400()
    }
}

impl Fake {
    pub fn start(answer: impl Fn(usize, &Call) -> Response + Send + Sync + 'static) -> Self {
        let (calls, cancelled) = <(Arc<Mutex<_>>, Arc<Mutex<_>>)>::default();
        let routes = FakeRoutes {
            answer: Box::new(answer),
            calls: Arc::clone(&calls),
            cancelled: Arc::clone(&cancelled),
        };
        let server = Server::bind(
            ([127, 0, 0, 1], 0).into(),
            support::server_limits(&Limits::default()),
        );
        let server = server.unwrap();
        let address = server.address().unwrap();
        thread::spawn(move || server.run(Arc::new(routes)));

        Self {
            address,
            calls,
            cancelled,
        }
    }

    pub fn count(&self) -> usize {
        self.calls.lock().unwrap().len()
    }
}

/// Returns the buffered answer of a completed call.
pub fn done(call: &Call, output: &str) -> Response {
    Response::json(&json!({
        "attempt": call.attempt, "request": call.request, "status": "done",
        "output": output, "tokens": 1, "millis": 1,
    }))
}

/// Returns the refusal of a call that did not run.
pub fn not_run(call: &Call, reason: &str) -> Response {
    Response::json(&json!({
        "attempt": call.attempt, "request": call.request,
        "status": "not_run", "reason": reason,
    }))
    .with_status_code(503)
}

/// Returns the line of one token.
pub fn token(call: &Call, index: u32) -> Value {
    json!({"attempt": call.attempt, "index": index, "token": format!("t{index} ")})
}

/// Returns the last line of a stream.
pub fn end(call: &Call, tokens: u32) -> Value {
    json!({"attempt": call.attempt, "request": call.request, "end": true, "tokens": tokens})
}

/// Returns a stream of lines. Unless it is `complete`, the connection breaks
/// off after the lines.
pub fn lines(lines: &[Value], complete: bool) -> Response {
    let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    let body = io::Cursor::new(text.into_bytes());
    let data = if complete {
        ResponseBody::from_reader(body)
    } else {
        ResponseBody::from_reader(body.chain(FailingReader))
    };

    Response {
        status_code: 200,
        headers: vec![],
        data,
        upgrade: None,
    }
}

struct FailingReader;

impl Read for FailingReader {
    fn read(&mut self, _buffer: &mut [u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }
}
