//! A pool of HTTP connections to endpoints.
//!
//! An endpoint serves one request at a time on a connection. A connection is
//! reused only after a complete response and a quiet period, since bytes after
//! a response belong to no request. Dropping an exchange closes its connection,
//! which signals the endpoint to cancel the request.

use {
    crate::{
        state::{clock::Time, id, serving::roster::Entry},
        transport::{
            boot_clock,
            http::{
                head_limit::{HeadLimit, MAX_HEAD_BYTES},
                memory::{Collector, Memory},
                observed_stream::ObservedStream,
            },
        },
    },
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, Response,
        body::{Bytes, Incoming},
        client::conn::http1::{self, SendRequest},
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    },
    hyper_util::rt::TokioIo,
    std::{
        cell::RefCell,
        collections::{HashMap, VecDeque},
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::{JoinHandle, spawn_local},
        time::{sleep, timeout},
    },
};

/// Time limit for opening a connection. The slowest path between two failure
/// domains of a region takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// TCP user timeout: the time that sent data may stay unacknowledged before the
/// connection is closed.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Idle time before the first TCP keep-alive probe, and interval between
/// probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Idle timeout of a connection if the endpoint does not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Margin before the endpoint's idle timeout within which a connection is not
/// reused, so that a request does not race with the endpoint closing it.
const IDLE_MARGIN: Duration = Duration::from_millis(750);

/// Quiet period after a response before the connection is reused. A late second
/// response arrives within it and closes the connection.
const QUIET_PERIOD: Duration = Duration::from_millis(10);

/// Maximum number of idle connections to an endpoint.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Time limit for a body to end, after which the connection is closed.
const COMPLETION_TIMEOUT: Duration = Duration::from_millis(50);

/// Failure to get a response from an endpoint.
#[derive(Debug)]
pub enum Failure {
    /// The request was sent, at least in part, and may have run.
    Broken(String),
    /// Nothing was sent.
    Unreachable(String),
}

struct IdleConnection {
    address: SocketAddr,
    connection: Connection,
    idle_timeout: Duration,
    since: Time,
}

struct Connection {
    head_limit: HeadLimit,
    sender: SendRequest<Full<Bytes>>,
    /// The task that drives the connection. Dropping it closes the connection.
    _task: AbortOnDrop,
}

struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The connections of this host to all endpoints.
#[derive(Clone)]
pub struct Client {
    idle: Rc<RefCell<HashMap<id::Endpoint, VecDeque<IdleConnection>>>>,
    /// Memory for the bodies of responses.
    memory: Memory,
}

/// A response whose body is still to be read.
pub struct Exchange {
    client: Client,
    connection: Option<Connection>,
    entry: Entry,
    pub response: Response<Incoming>,
}

impl Client {
    /// Creates a client without connections, which takes memory for the bodies of
    /// responses from `memory`.
    pub fn new(memory: Memory) -> Self {
        Self {
            idle: Rc::default(),
            memory,
        }
    }

    /// Sends a request to an endpoint and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns a failure if there is no response. Its variant shows whether the
    /// request may have run.
    pub async fn send(
        &self,
        entry: &Entry,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Exchange, Failure> {
        loop {
            let (mut connection, reused) = match self.take(entry) {
                Some(connection) => (connection, true),
                None => (connect(entry.address).await?, false),
            };

            connection.head_limit.begin();
            let response = connection.sender.try_send_request(request).await;
            connection.head_limit.end();

            match response {
                Ok(response) => {
                    return Ok(Exchange {
                        client: self.clone(),
                        connection: Some(connection),
                        entry: entry.clone(),
                        response,
                    });
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(Failure::Unreachable(error.into_error().to_string())),
                    None => return Err(Failure::Broken(describe(&error.into_error()))),
                },
            }
        }
    }

    /// Closes idle connections to endpoints that are no longer listed, and
    /// those that exceed their idle timeout.
    pub fn sweep(&self, listed: impl Fn(&id::Endpoint) -> bool) {
        let now = boot_clock::now();

        self.idle.borrow_mut().retain(|endpoint, idle| {
            idle.retain(|idle| idle.is_usable(now));
            listed(endpoint) && !idle.is_empty()
        });
    }

    fn take(&self, entry: &Entry) -> Option<Connection> {
        let now = boot_clock::now();
        let mut pools = self.idle.borrow_mut();
        let pool = pools.get_mut(&entry.endpoint)?;
        pool.retain(|idle| idle.address == entry.address && idle.is_usable(now));
        let oldest = pool.front()?;

        if now.since(oldest.since) < QUIET_PERIOD {
            return None;
        }

        pool.pop_front().map(|idle| idle.connection)
    }

    fn put(&self, entry: &Entry, connection: Connection, idle_timeout: Duration) {
        let mut pools = self.idle.borrow_mut();
        let pool = pools.entry(entry.endpoint.clone()).or_default();

        if pool.len() < MAX_IDLE_CONNECTIONS {
            pool.push_back(IdleConnection {
                address: entry.address,
                connection,
                idle_timeout,
                since: boot_clock::now(),
            });
        }
    }
}

impl IdleConnection {
    fn is_usable(&self, now: Time) -> bool {
        let limit = self.idle_timeout.saturating_sub(IDLE_MARGIN);
        !self.connection.sender.is_closed() && now.since(self.since) < limit
    }
}

impl Exchange {
    /// Returns whether the end of the body can be told from the end of the
    /// connection, by its length or its last chunk.
    pub fn announces_its_end(&self) -> bool {
        let headers = self.response.headers();
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
    }

    /// Reads the complete body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns a failure if the body is incomplete or too long, or takes most of the
    /// memory for bodies while that is used up.
    pub async fn collect(&mut self, limit: usize) -> Result<Collector, Failure> {
        let mut body = self.client.memory.begin();
        let exhausted = |length| {
            Failure::Broken(format!(
                "no memory for more than {length} bytes of the body"
            ))
        };

        loop {
            let next = tokio::select! {
                next = self.next() => next?,
                () = body.failed() => return Err(exhausted(body.length())),
            };
            let Some(bytes) = next else {
                return Ok(body);
            };

            if body.length() + bytes.len() > limit {
                return Err(Failure::Broken(format!("the body exceeds {limit} bytes")));
            }

            if body.push(&bytes).await.is_err() {
                return Err(exhausted(body.length()));
            }
        }
    }

    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns a failure if the connection broke before the end of the body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            match self.response.body_mut().frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(Failure::Broken(describe(&error))),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Returns the connection to the pool once the message is complete, or
    /// closes it if `closing` is set. `keep_alive` is the endpoint's idle
    /// timeout.
    pub fn finish(mut self, keep_alive: Option<Duration>, closing: bool) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };

        if closing {
            return;
        }

        let idle_timeout = keep_alive.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let client = self.client.clone();
        let entry = self.entry.clone();
        drop(self);

        spawn_local(async move {
            let ready = timeout(COMPLETION_TIMEOUT, connection.sender.ready()).await;

            if matches!(ready, Ok(Ok(()))) {
                client.put(&entry, connection, idle_timeout);
            } else {
                // The endpoint may still be reading a long request body after
                // it has sent its response.
                sleep(COMPLETION_TIMEOUT).await;
            }
        });
    }
}

/// Returns whether nothing listens on an address, as after the end of an
/// endpoint's process.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, Failure> {
    let unreachable = |message: String| Failure::Unreachable(message);
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| {
            unreachable(format!(
                "no connection within {} ms",
                CONNECT_TIMEOUT.as_millis()
            ))
        })?
        .map_err(|error| unreachable(error.to_string()))?;
    set_socket_options(&stream).map_err(|error| unreachable(error.to_string()))?;
    let head_limit = HeadLimit::default();
    let stream = ObservedStream::new(stream, head_limit.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    let task = AbortOnDrop(spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(endpoint = address.to_string().as_str(); "connection ended: {error}");
        }
    }));

    Ok(Connection {
        head_limit,
        sender,
        _task: task,
    })
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    use rustix::net::sockopt;

    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    let millis = u32::try_from(USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, millis)?;
    Ok(())
}

/// Formats an error with its cause, which hyper's own message omits.
fn describe(error: &hyper::Error) -> String {
    use std::error::Error;

    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
