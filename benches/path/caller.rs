//! A caller that reuses its connection. It uses the daemon's HTTP client for
//! endpoints, so direct calls and calls through a host differ only in the path.

use {
    persimmoncleat::{
        protocol::{
            call::Call,
            caller::{Entrypoints, TICKET_HEADER, TicketAnswer, TicketBody},
            digest,
        },
        transport::client::{self, Client},
    },
    serde::de::DeserializeOwned,
    serde_json::{Value, json},
    stand_ins::fleet::{TEAM, TEAM_KEY},
    std::{net::SocketAddr, time::Duration},
};

/// Timeout of every call and deadline of every request.
pub const TIMEOUT: Duration = Duration::from_secs(60);

/// How a request ended. A request is broken if the response is incomplete or
/// missing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Answered,
    Broken,
    Refused,
}

/// A caller of one address.
#[derive(Clone, Debug)]
pub struct Caller {
    address: SocketAddr,
    client: Client,
}

impl Caller {
    /// Returns a caller that connects at its first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::new(),
        }
    }

    /// Posts a repeatable request.
    pub fn post(&self, pipeline: &str, body: &str) -> Outcome {
        self.request(pipeline, body, &[("Persimmon-Repeatable", "true")])
    }

    /// Posts a request that is not repeatable, with its ticket.
    pub fn post_once(&self, pipeline: &str, body: &str, ticket: &TicketAnswer) -> Outcome {
        let ticket = ticket.ticket.as_str();
        let headers = [("Persimmon-Repeatable", "false"), (TICKET_HEADER, ticket)];
        self.request(pipeline, body, &headers)
    }

    /// Requests a ticket.
    ///
    /// # Panics
    ///
    /// Panics if the host issues no ticket.
    pub fn ticket(&self, pipeline: &str, body: &str) -> TicketAnswer {
        let query = client::json(&TicketBody {
            body_sha256: digest::sha256_hex(body.as_bytes()),
            class: "urgent".into(),
            deadline: Some(TIMEOUT),
            pipeline: pipeline.into(),
            team: TEAM.into(),
        });
        let key = bearer();
        let headers = [
            ("Authorization", key.as_str()),
            ("Content-Type", "application/json"),
        ];
        let answer = self
            .client
            .post(self.address, "/v1/tickets", &headers, &query, TIMEOUT)
            .and_then(|answer| client::read_body(self.address, TIMEOUT, answer));
        read(&answer.expect("a ticket"))
    }

    /// Returns the first entry point that the host lists for a caller.
    ///
    /// # Panics
    ///
    /// Panics if the host lists none.
    pub fn entrypoint(&self, caller: usize) -> SocketAddr {
        let path = format!("/v1/entrypoints?caller=c{caller}");
        let answer = self
            .client
            .get(self.address, &path, &[], TIMEOUT)
            .and_then(|answer| client::read_body(self.address, TIMEOUT, answer));
        let answer: Entrypoints = read(&answer.expect("entry points"));
        answer.entrypoints[0].address
    }

    /// Calls one stage at an endpoint and returns its output.
    ///
    /// # Panics
    ///
    /// Panics if the call fails.
    pub fn call(&self, stage: &str, attempt: &str, input: Option<Value>) -> Value {
        let body = client::json(&Call {
            attempt: attempt.into(),
            class: "urgent".into(),
            deadline: TIMEOUT,
            input,
            max_tokens: 1,
            prefix: None,
            priority: 5,
            prompt: "m1 text".into(),
            repeatable: true,
            request: attempt.into(),
            resume_from: 0,
            stage: stage.into(),
            stream: false,
            team: TEAM.into(),
        });
        let headers = [("Content-Type", "application/json")];
        let answer = self
            .client
            .post(self.address, "/v1/calls", &headers, &body, TIMEOUT)
            .and_then(|answer| client::read_body(self.address, TIMEOUT, answer));
        let mut answer: Value = read(&answer.expect("an answer"));
        assert_eq!(answer["status"], "done", "{answer}");
        answer["output"].take()
    }

    fn request(&self, pipeline: &str, body: &str, headers: &[(&str, &str)]) -> Outcome {
        let key = bearer();
        let limit = TIMEOUT.as_millis().to_string();
        let mut all = vec![
            ("Authorization", key.as_str()),
            ("Content-Type", "application/json"),
            ("Persimmon-Class", "urgent"),
            ("Persimmon-Deadline-Ms", limit.as_str()),
            ("Persimmon-Team", TEAM),
        ];
        all.extend(headers);
        let path = format!("/v1/pipelines/{pipeline}/requests");
        let answer = self
            .client
            .post(self.address, &path, &all, body.as_bytes(), TIMEOUT);

        let Ok(answer) = answer else {
            return Outcome::Broken;
        };
        let status = answer.status();

        match client::read_body(self.address, TIMEOUT, answer) {
            Ok(_) if status == 200 => Outcome::Answered,
            Ok(_) => Outcome::Refused,
            Err(_) => Outcome::Broken,
        }
    }
}

/// Returns the body of a small request.
pub fn body() -> String {
    json!({ "prompt": "m1 text", "max_tokens": 1 }).to_string()
}

fn bearer() -> String {
    format!("Bearer {TEAM_KEY}")
}

fn read<T: DeserializeOwned>(bytes: &[u8]) -> T {
    serde_json::from_slice(bytes).expect("JSON of the expected shape")
}
