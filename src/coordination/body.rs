//! Response bodies: JSON documents and streams of JSON lines.

use {
    crate::{
        coordination::{
            gateway::Gateway,
            problem,
            record::{Outcome, Record, StreamItem},
        },
        transport::client,
    },
    rouille::{Response, ResponseBody},
    serde::Serialize,
    serde_json::{Value, json},
    std::{
        io::{self, Read},
        sync::Arc,
    },
};

/// Returns a response with a JSON body.
pub fn json(value: &impl Serialize) -> Response {
    Response::from_data("application/json", client::json(value))
}

/// Waits for the outcome of a request and returns it as one JSON document.
pub fn buffered(gateway: &Gateway, record: &Record) -> Response {
    match record.wait() {
        Outcome::Answered(answer) => json(&*answer),
        Outcome::Refused(refusal) => {
            problem::respond(gateway, Some(&record.info.request), &refusal)
        }
    }
}

/// Waits for the first token of a request and streams its answer. A request
/// that is refused before its first token gets an ordinary problem response.
pub fn stream(gateway: &Arc<Gateway>, record: &Arc<Record>) -> Response {
    if let StreamItem::End(Outcome::Refused(refusal)) = record.next(0) {
        return problem::respond(gateway, Some(&record.info.request), &refusal);
    }

    Response {
        status_code: 200,
        headers: vec![("Content-Type".into(), "application/x-ndjson".into())],
        data: ResponseBody::from_reader(Lines {
            buffer: io::Cursor::default(),
            ended: false,
            gateway: Arc::clone(gateway),
            index: 0,
            record: Arc::clone(record),
        }),
        upgrade: None,
    }
}

/// Reads a streamed answer as JSON lines.
struct Lines {
    buffer: io::Cursor<Vec<u8>>,
    ended: bool,
    gateway: Arc<Gateway>,
    index: usize,
    record: Arc<Record>,
}

impl Lines {
    fn fill(&mut self) {
        let lines = match self.record.next(self.index) {
            StreamItem::End(outcome) => {
                self.ended = true;
                self.closing_lines(&outcome)
            }
            StreamItem::Tokens(tokens) => {
                tokens.iter().map(|token| self.token_line(token)).collect()
            }
        };
        let mut bytes = Vec::new();

        for line in lines {
            bytes.extend(client::json(&line));
            bytes.push(b'\n');
        }

        self.buffer = io::Cursor::new(bytes);
    }

    fn token_line(&mut self, token: &str) -> Value {
        let line = json!({"index": self.index, "token": token});
        self.index += 1;
        line
    }

    /// Returns the lines that end the stream. An answer that was not streamed
    /// becomes a single token before the end line. A refused request gets a
    /// line with its problem instead of an end line.
    fn closing_lines(&mut self, outcome: &Outcome) -> Vec<Value> {
        let request = &self.record.info.request.clone();

        match outcome {
            Outcome::Answered(answer) => {
                let mut lines = Vec::new();

                if self.index == 0 && answer.output != "" {
                    let text = match &answer.output {
                        Value::String(text) => text.clone(),
                        output => output.to_string(),
                    };
                    lines.push(self.token_line(&text));
                }

                lines.push(json!({"end": true, "request": request, "tokens": self.index}));
                lines
            }
            Outcome::Refused(refusal) => {
                let status = problem::status(refusal);
                let problem = problem::document(&self.gateway, Some(request), refusal, status);
                vec![json!({"problem": problem})]
            }
        }
    }
}

impl Read for Lines {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.buffer.read(buffer)? {
                0 if self.ended => return Ok(0),
                0 => self.fill(),
                read => return Ok(read),
            }
        }
    }
}
