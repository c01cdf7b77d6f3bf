//! A blocking HTTP client.

use {
    crate::transport::{error::Error, resolver::LiteralResolver},
    serde::Serialize,
    std::{io, net::SocketAddr, time::Duration},
    ureq::{
        Agent, AsSendBody, Body,
        http::{Method, Request, Response, request},
        unversioned::transport::DefaultConnector,
    },
};

/// Maximum size in bytes of a response body that is read into memory.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Size in bytes of a connection's input buffer, which must hold the head of a
/// response.
const INPUT_BUFFER_BYTES: usize = 16 * 1024;

/// Size in bytes of a connection's output buffer, which must hold the head of a
/// request; that of a forwarded request has up to 16 KB. ureq's default of
/// 128 KB for each buffer takes 256 KB of resident memory per call in progress.
const OUTPUT_BUFFER_BYTES: usize = 32 * 1024;

/// Reason why a call failed.
#[derive(Debug)]
pub enum Failure {
    /// The connection broke, or the response is not valid HTTP.
    Broken(Error),
    /// The connection was refused, so no byte of the request was sent.
    Refused(Error),
    /// No response arrived in time.
    TimedOut(Error),
}

impl Failure {
    /// Returns the underlying error.
    pub fn into_error(self) -> Error {
        match self {
            Self::Broken(error) | Self::Refused(error) | Self::TimedOut(error) => error,
        }
    }
}

/// An HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct Client(Agent);

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Builds a client that reuses connections.
    pub fn new() -> Self {
        Self(agent(16))
    }

    /// Builds a client without a connection pool, for a single call on a new
    /// connection.
    pub fn single_use() -> Self {
        Self(agent(0))
    }

    /// Sends a `GET` request.
    ///
    /// # Errors
    ///
    /// Returns a failure if there is no response. A response of any HTTP status
    /// is a success.
    pub fn get(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        timeout: Duration,
    ) -> Result<Response<Body>, Failure> {
        self.send(request(Method::GET, address, path, headers), (), timeout)
            .map_err(|error| failure(address, timeout, &error))
    }

    /// Sends a `POST` request with a body.
    ///
    /// # Errors
    ///
    /// Returns a failure if there is no response. A response of any HTTP status
    /// is a success.
    pub fn post(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: Duration,
    ) -> Result<Response<Body>, Failure> {
        self.send(request(Method::POST, address, path, headers), body, timeout)
            .map_err(|error| failure(address, timeout, &error))
    }

    /// Sends a `DELETE` request.
    ///
    /// # Errors
    ///
    /// Returns a failure if there is no response. A response of any HTTP status
    /// is a success.
    pub fn delete(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<Response<Body>, Failure> {
        self.send(request(Method::DELETE, address, path, &[]), (), timeout)
            .map_err(|error| failure(address, timeout, &error))
    }

    fn send(
        &self,
        request: request::Builder,
        body: impl AsSendBody,
        timeout: Duration,
    ) -> Result<Response<Body>, ureq::Error> {
        let request = self
            .0
            .configure_request(request.body(body)?)
            .timeout_global(Some(timeout))
            .build();
        self.0.run(request)
    }
}

fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
) -> request::Builder {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));

    headers.iter().fold(request, |request, (name, value)| {
        request.header(*name, *value)
    })
}

/// Reads the complete body of a response.
///
/// # Errors
///
/// Returns a failure if the body is incomplete or too long.
pub fn read_body(
    address: SocketAddr,
    timeout: Duration,
    response: Response<Body>,
) -> Result<Vec<u8>, Failure> {
    response
        .into_body()
        .with_config()
        .limit(MAX_BODY_BYTES)
        .read_to_vec()
        .map_err(|error| failure(address, timeout, &error))
}

/// Serializes a value as JSON.
///
/// # Panics
///
/// Panics if the value has map keys that are not text.
pub fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("the messages have text keys only")
}

/// Builds an agent that keeps up to `max_idle` idle connections per host.
///
/// Redirects are disabled because following one would send a request twice, and
/// proxies because all addresses belong to the platform.
fn agent(max_idle: usize) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .input_buffer_size(INPUT_BUFFER_BYTES)
        .output_buffer_size(OUTPUT_BUFFER_BYTES)
        .max_idle_connections(max_idle * 64)
        .max_idle_connections_per_host(max_idle)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .build();
    Agent::with_parts(config, DefaultConnector::default(), LiteralResolver)
}

fn failure(address: SocketAddr, timeout: Duration, error: &ureq::Error) -> Failure {
    let message = error.to_string();
    let address = address.to_string();

    match error {
        ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            Failure::Refused(Error::Connect { address, message })
        }
        ureq::Error::Timeout(_) => Failure::TimedOut(Error::Timeout {
            address,
            millis: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
        }),
        _ => Failure::Broken(Error::Broken { address, message }),
    }
}
