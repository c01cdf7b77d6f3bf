//! An HTTP client for tests: every status is an answer.

use {
    serde_json::Value,
    std::{io, time::Duration},
    ureq::{Agent, http::Request},
};

/// An answer with its body as text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    pub status: u16,
    pub text: String,
}

impl Response {
    /// Reads the body as JSON, or null when it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }
}

/// Sends a request on a connection of its own and reads the whole answer.
///
/// # Errors
///
/// Returns an error when there is no whole answer within `limit`.
pub fn send(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> io::Result<Response> {
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .timeout_global(Some(limit))
        .build()
        .into();
    let mut request = Request::builder().method(method).uri(url);

    for (name, value) in headers {
        request = request.header(*name, *value);
    }

    let request = request.body(body.to_string()).map_err(io::Error::other)?;
    let mut answer = agent.run(request).map_err(io::Error::other)?;

    Ok(Response {
        status: answer.status().as_u16(),
        text: answer
            .body_mut()
            .read_to_string()
            .map_err(io::Error::other)?,
    })
}
