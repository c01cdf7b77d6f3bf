//! A client for the daemon's caller interface.

use {
    crate::client::{self, Response},
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    std::{io, net::SocketAddr, time::Duration},
};

/// Default time that a caller waits for a complete response.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// A caller of one host. The `with` methods set headers and the time limit.
#[derive(Clone, Debug)]
pub struct Caller {
    address: SocketAddr,
    headers: Vec<(String, String)>,
    limit: Duration,
}

impl Caller {
    /// Creates a caller without headers.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            headers: Vec::new(),
            limit: DEFAULT_TIMEOUT,
        }
    }

    /// Sets the host's address.
    #[must_use]
    pub fn at(mut self, address: SocketAddr) -> Self {
        self.address = address;
        self
    }

    /// Adds or replaces a header.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.retain(|(existing, _)| existing != name);
        self.headers.push((name.into(), value.to_string()));
        self
    }

    /// Sets the bearer key.
    #[must_use]
    pub fn with_key(self, key: &str) -> Self {
        self.with("Authorization", format!("Bearer {key}"))
    }

    /// Sets the time that the caller waits for a complete response.
    #[must_use]
    pub fn with_limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }

    /// Returns the value of a header, or an empty text if the caller does not
    /// send it.
    fn header(&self, name: &str) -> &str {
        let header = self.headers.iter().find(|(existing, _)| existing == name);
        header.map_or("", |(_, value)| value)
    }

    /// Requests a ticket for a body. Returns a caller that sends the ticket to
    /// its home, and the id of the request.
    ///
    /// # Errors
    ///
    /// Returns an error when the ticket is refused or the connection breaks.
    pub fn ticket(
        &self,
        pipeline: &str,
        body: &str,
        deadline_ms: u64,
    ) -> io::Result<(Self, String)> {
        let query = json!({
            "body_sha256": digest(body),
            "class": "urgent",
            "deadline_ms": deadline_ms,
            "pipeline": pipeline,
            "team": self.header("Persimmon-Team"),
        });
        let response = self.send("POST", "/v1/tickets", &query.to_string())?;

        if response.status != 200 {
            return Err(io::Error::other(response.text));
        }

        let ticket = response.json();
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
    /// Returns an error when no complete response arrives in time.
    pub fn post(&self, pipeline: &str, body: &str) -> io::Result<Response> {
        self.send("POST", &format!("/v1/pipelines/{pipeline}/requests"), body)
    }

    /// Sends a GET request and returns the response as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete response arrives in time.
    pub fn get(&self, path: &str) -> io::Result<Value> {
        Ok(self.send("GET", path, "")?.json())
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete response arrives in time.
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

/// Returns the SHA-256 digest of a text in hexadecimal.
pub fn digest(text: &str) -> String {
    Sha256::digest(text)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
