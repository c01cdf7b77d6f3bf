//! HTTP calls to endpoints, one for each attempt of a stage.

use {
    crate::{
        coordination::claim::{Claim, Permitted},
        protocol::call::{Call, Line, Reply, Status},
        state::{attempt::End, clock::Time, id},
        transport::client::{self, Client, Failure},
    },
    serde_json::Value,
    std::{
        io::{BufRead, BufReader, Read},
        net::SocketAddr,
        time::Duration,
    },
    ureq::{Body, http::Response},
};

/// Maximum length of a line in a streamed answer, in bytes.
const MAX_LINE_BYTES: u64 = 64 * 1024;

/// Target and parameters of one attempt.
#[derive(Clone, Debug)]
pub struct Spec {
    pub address: SocketAddr,
    pub attempt: id::Attempt,
    pub endpoint: id::Endpoint,
    pub hedge: bool,
    pub stage: usize,
    pub started: Time,
    pub timeout: Duration,
}

/// Result of an attempt's call, with the output if the answer is complete.
#[derive(Clone, Debug, PartialEq)]
pub struct CallOutcome {
    pub end: End,
    /// Why the call did not succeed, as far as known; otherwise empty.
    pub detail: String,
    pub output: Option<Value>,
    /// Name of the counter for a discarded answer or line, if any.
    pub discarded: Option<&'static str>,
    /// Number of generated tokens, including those of a broken stream.
    pub tokens: u32,
}

impl CallOutcome {
    fn new(end: End, detail: impl Into<String>) -> Self {
        Self {
            end,
            detail: detail.into(),
            output: None,
            discarded: None,
            tokens: 0,
        }
    }

    fn discarded(name: &'static str, detail: impl Into<String>) -> Self {
        Self {
            discarded: Some(name),
            ..Self::new(End::Failed, detail)
        }
    }
}

/// Kind of connection that a call uses.
#[derive(Clone, Copy, Debug)]
pub enum Channel<'a> {
    /// A pooled connection, for calls that may be repeated.
    Pooled(&'a Client),
    /// A new connection for a single call, which requires a permitted claim.
    Dedicated(&'a Claim<Permitted>),
}

impl Channel<'_> {
    fn post(self, spec: &Spec, call: &Call) -> Result<Response<Body>, Failure> {
        let client = match self {
            Self::Pooled(client) => client.clone(),
            Self::Dedicated(_) => Client::single_use(),
        };
        let headers = [("Content-Type", "application/json")];
        let body = client::json(call);
        client.post(spec.address, "/v1/calls", &headers, &body, spec.timeout)
    }
}

/// Makes a call and reads the complete answer before it returns.
pub fn buffered(channel: Channel, spec: &Spec, call: &Call) -> CallOutcome {
    match channel.post(spec, call) {
        Ok(response) => read_buffered(spec, call, response),
        Err(failure) => failure_outcome(failure),
    }
}

/// Makes a call with a streamed answer and passes its tokens to `sink`, each
/// index exactly once and in order.
pub fn stream(
    channel: Channel,
    spec: &Spec,
    call: &Call,
    sink: &mut impl FnMut(String),
) -> CallOutcome {
    match channel.post(spec, call) {
        Ok(response) if response.status() == 200 => read_lines(call, response, sink),
        Ok(response) => read_buffered(spec, call, response),
        Err(failure) => failure_outcome(failure),
    }
}

/// Cancels an attempt at its endpoint.
///
/// # Errors
///
/// Returns a [`Failure`] if the connection is refused or breaks, or if the
/// endpoint does not answer within `timeout`.
pub fn cancel(
    client: &Client,
    address: SocketAddr,
    attempt: &str,
    timeout: Duration,
) -> Result<(), Failure> {
    let path = format!("/v1/calls/{}", attempt.replace('/', "%2F"));
    client.delete(address, &path, timeout).map(drop)
}

fn failure_outcome(failure: Failure) -> CallOutcome {
    let end = match failure {
        Failure::Broken(_) => End::Failed,
        Failure::Refused(_) => End::NotRun { leaving: false },
        Failure::TimedOut(_) => End::TimedOut,
    };
    CallOutcome::new(end, failure.into_error().to_string())
}

fn read_buffered(spec: &Spec, call: &Call, response: Response<Body>) -> CallOutcome {
    let status = response.status().as_u16();
    let body = match client::read_body(spec.address, spec.timeout, response) {
        Ok(body) => body,
        Err(Failure::TimedOut(error)) => return CallOutcome::new(End::TimedOut, error.to_string()),
        Err(failure) => {
            let detail = failure.into_error().to_string();
            return CallOutcome::discarded("truncated_answers", detail);
        }
    };
    let reply: Reply = match serde_json::from_slice(&body) {
        Ok(reply) => reply,
        Err(error) => return CallOutcome::discarded("truncated_answers", error.to_string()),
    };

    if reply.attempt != call.attempt || reply.request != call.request {
        let detail = format!(
            "the answer belongs to another call: attempt {}",
            reply.attempt
        );
        return CallOutcome::discarded("crossed_answers", detail);
    }

    let tokens = reply.tokens;
    let reason = reply.reason.unwrap_or_default();

    match (status, reply.status, reply.output) {
        (200, Status::Done, Some(output)) => CallOutcome {
            output: Some(output),
            tokens,
            ..CallOutcome::new(End::Done { tokens }, "")
        },
        (200, Status::Done, None) => CallOutcome::discarded(
            "truncated_answers",
            "the status is done but the output is missing",
        ),
        (503, Status::NotRun, _) => {
            let leaving = reason == "leaving";
            CallOutcome::new(End::NotRun { leaving }, reason)
        }
        _ => CallOutcome {
            tokens,
            ..CallOutcome::new(End::Failed, reason)
        },
    }
}

fn read_lines(call: &Call, response: Response<Body>, sink: &mut impl FnMut(String)) -> CallOutcome {
    let mut reader = BufReader::new(response.into_body().into_reader());
    let mut next_index = call.resume_from;
    let mut discarded = None;

    let outcome = loop {
        match read_line(&mut reader) {
            Ok(Line::End {
                attempt,
                request,
                tokens,
                ..
            }) if attempt == call.attempt && request == call.request => {
                break if tokens == next_index {
                    CallOutcome::new(End::Done { tokens }, "")
                } else {
                    let detail = format!("received {next_index} of {tokens} tokens");
                    CallOutcome::discarded("truncated_answers", detail)
                };
            }
            Ok(Line::Token {
                attempt,
                index,
                token,
            }) if attempt == call.attempt => {
                if index > next_index {
                    let detail = format!("token {next_index} is missing");
                    break CallOutcome::discarded("truncated_answers", detail);
                }

                if index < next_index {
                    discarded = Some("repeated_lines");
                    continue;
                }

                next_index += 1;
                sink(token);
            }
            Ok(_) => discarded = Some("crossed_lines"),
            Err(outcome) => break outcome,
        }
    };

    CallOutcome {
        discarded: outcome.discarded.or(discarded),
        tokens: next_index - call.resume_from,
        ..outcome
    }
}

fn read_line(reader: &mut impl BufRead) -> Result<Line, CallOutcome> {
    let mut line = Vec::new();
    let read = reader.take(MAX_LINE_BYTES).read_until(b'\n', &mut line);

    match read {
        Err(error) if is_timeout(&error) => Err(CallOutcome::new(End::TimedOut, error.to_string())),
        Err(error) => Err(CallOutcome::discarded(
            "truncated_answers",
            error.to_string(),
        )),
        Ok(_) if !line.ends_with(b"\n") => Err(CallOutcome::discarded(
            "truncated_answers",
            "the stream ended before its end line or a line is too long",
        )),
        Ok(_) => serde_json::from_slice(&line)
            .map_err(|error| CallOutcome::discarded("truncated_answers", error.to_string())),
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    let inner = error.get_ref().and_then(|inner| inner.downcast_ref());
    matches!(inner, Some(ureq::Error::Timeout(_))) || error.kind() == std::io::ErrorKind::TimedOut
}
