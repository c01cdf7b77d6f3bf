//! A caller of the daemon.

use {
    crate::client::{self, Response},
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    std::{io, net::SocketAddr, time::Duration},
};

/// How long a caller waits unless told otherwise.
const LIMIT: Duration = Duration::from_secs(60);

/// A caller of one host; the `with_` methods add headers.
#[derive(Clone, Debug)]
pub struct Caller {
    address: SocketAddr,
    headers: Vec<(String, String)>,
    limit: Duration,
}

impl Caller {
    /// Builds a caller without headers.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            headers: Vec::new(),
            limit: LIMIT,
        }
    }

    /// Turns to another host.
    #[must_use]
    pub fn at(mut self, address: SocketAddr) -> Self {
        self.address = address;
        self
    }

    /// Adds a header, or replaces it.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.into(), value.to_string()));
        self
    }

    /// Sends a bearer key.
    #[must_use]
    pub fn with_key(self, key: &str) -> Self {
        self.with("Authorization", format!("Bearer {key}"))
    }

    /// Sets how long the caller waits for the whole answer.
    #[must_use]
    pub fn with_limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }

    /// Returns the value of a header, empty when it is not sent.
    fn header(&self, name: &str) -> &str {
        let header = self.headers.iter().find(|(known, _)| known == name);
        header.map_or("", |(_, value)| value)
    }

    /// Asks for a ticket for a body and returns a caller that sends it to
    /// its home, and the request's id.
    ///
    /// # Errors
    ///
    /// Returns the refusal or the broken connection as an error.
    pub fn ticket(
        &self,
        pipeline: &str,
        body: &str,
        deadline_ms: u64,
    ) -> io::Result<(Self, String)> {
        let ask = json!({
            "body_sha256": digest(body),
            "class": "urgent",
            "deadline_ms": deadline_ms,
            "pipeline": pipeline,
            "team": self.header("Persimmon-Team"),
        });
        let answer = self.send("POST", "/v1/tickets", &ask.to_string())?;

        if answer.status != 200 {
            return Err(io::Error::other(answer.text));
        }

        let ticket = answer.json();
        let text = |key: &str| ticket[key].as_str().unwrap_or_default().to_string();
        let home = text("address").parse().map_err(io::Error::other)?;
        let caller = self
            .clone()
            .at(home)
            .with("Persimmon-Repeatable", false)
            .with("Persimmon-Ticket", text("ticket"));
        Ok((caller, text("request")))
    }

    /// Posts a request to a pipeline.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no whole answer.
    pub fn post(&self, pipeline: &str, body: &str) -> io::Result<Response> {
        self.send("POST", &format!("/v1/pipelines/{pipeline}/requests"), body)
    }

    /// Reads an answer as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no whole answer.
    pub fn get(&self, path: &str) -> io::Result<Value> {
        Ok(self.send("GET", path, "")?.json())
    }

    /// Sends any request.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no whole answer.
    pub fn send(&self, method: &str, path: &str, body: &str) -> io::Result<Response> {
        let headers: Vec<(&str, &str)> = self
            .headers
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
            .collect();
        let url = format!("http://{}{path}", self.address);
        client::send(method, &url, &headers, body, self.limit)
    }
}

/// Returns the SHA-256 of a text, hexadecimal.
pub fn digest(text: &str) -> String {
    Sha256::digest(text)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
