//! The calls to another host, and the connection that they share.

use {
    crate::transport::{
        connection::Connection,
        error::{BrokenSnafu, ConnectSnafu, Error, TimeoutSnafu},
        fleet_key::FleetKey,
        peer_capnp::peer,
    },
    futures::future::LocalBoxFuture,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        time::Duration,
    },
    tokio::{
        sync::Mutex,
        time::{Instant, timeout_at},
    },
};

/// Maximum number of calls in progress to a host.
const MAX_CALLS: usize = 512;

/// Number of consecutive calls that time out after which the connection is
/// replaced. TCP detects a lost path only after minutes.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 2;

/// Backoff after the first failed connection attempt; doubles with each
/// failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff between connection attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A function that sends a call through the other host's interface and returns
/// its reply.
pub type SendCall<T> =
    Box<dyn FnOnce(peer::Client) -> LocalBoxFuture<'static, capnp::Result<T>> + std::marker::Send>;

#[derive(Default)]
struct Backoff {
    failures: u32,
    retry_at: Option<Instant>,
}

/// A link to another host, which connects on demand.
pub struct Link {
    address: SocketAddr,
    backoff: RefCell<Backoff>,
    calls: Cell<usize>,
    connection: Mutex<Option<Connection>>,
    key: FleetKey,
    consecutive_timeouts: Cell<u32>,
}

impl Link {
    /// Builds a link without a connection; the first call connects.
    pub fn new(address: SocketAddr, key: FleetKey) -> Self {
        Self {
            address,
            backoff: RefCell::default(),
            calls: Cell::new(0),
            connection: Mutex::new(None),
            key,
            consecutive_timeouts: Cell::new(0),
        }
    }

    /// Makes a call and waits for its reply until `timeout` after `started`.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrived in time, the connection broke or
    /// could not be established, or too many calls are in progress.
    pub async fn call<T>(
        &self,
        started: Instant,
        timeout: Duration,
        send: SendCall<T>,
    ) -> Result<T, Error> {
        if self.calls.get() >= MAX_CALLS {
            return self.broken_error("too many calls are in progress");
        }

        self.calls.set(self.calls.get() + 1);
        let result = timeout_at(started + timeout, self.attempt(send)).await;
        self.calls.set(self.calls.get() - 1);

        match result {
            Ok(result) => result,
            Err(_) => {
                self.record_timeout();
                TimeoutSnafu {
                    address: self.address.to_string(),
                    millis: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
                }
                .fail()
            }
        }
    }

    /// Returns whether the link has neither an open connection nor a call in
    /// progress.
    pub fn is_unused(&self) -> bool {
        let connected = |connection: &Option<Connection>| {
            connection.as_ref().and_then(Connection::peer).is_some()
        };

        self.calls.get() == 0
            && self
                .connection
                .try_lock()
                .is_ok_and(|connection| !connected(&connection))
    }

    async fn attempt<T>(&self, send: SendCall<T>) -> Result<T, Error> {
        let peer = self.peer().await?;

        match send(peer).await {
            Ok(reply) => {
                self.consecutive_timeouts.set(0);
                Ok(reply)
            }
            Err(error) => self.broken_error(&error.to_string()),
        }
    }

    async fn peer(&self) -> Result<peer::Client, Error> {
        let mut connection = self.connection.lock().await;

        if let Some(peer) = connection.as_ref().and_then(Connection::peer) {
            return Ok(peer);
        }

        *connection = None;
        self.check_backoff()?;

        match Connection::open(self.address, &self.key).await {
            Ok(opened) => {
                self.backoff.take();
                self.consecutive_timeouts.set(0);
                let peer = opened.peer();
                *connection = Some(opened);
                peer.map_or_else(
                    || self.broken_error("the connection closed immediately"),
                    Ok,
                )
            }
            Err(error) => {
                self.extend_backoff();
                Err(error)
            }
        }
    }

    fn check_backoff(&self) -> Result<(), Error> {
        match self.backoff.borrow().retry_at {
            Some(retry_at) if Instant::now() < retry_at => ConnectSnafu {
                address: self.address.to_string(),
                message: "backing off after a failed connection attempt",
            }
            .fail(),
            _ => Ok(()),
        }
    }

    fn extend_backoff(&self) {
        let mut backoff = self.backoff.borrow_mut();
        let pause = MAX_BACKOFF.min(INITIAL_BACKOFF * 2u32.pow(backoff.failures.min(10)));
        let jitter = rand::random_range(0.5..1.0);
        backoff.failures += 1;
        backoff.retry_at = Some(Instant::now() + pause.mul_f64(jitter));
    }

    /// Counts a call that timed out, and closes the connection at the limit. A
    /// locked connection is still being established and is not replaced.
    fn record_timeout(&self) {
        self.consecutive_timeouts
            .set(self.consecutive_timeouts.get() + 1);

        if self.consecutive_timeouts.get() >= MAX_CONSECUTIVE_TIMEOUTS
            && let Ok(mut connection) = self.connection.try_lock()
            && let Some(connection) = connection.take()
        {
            self.consecutive_timeouts.set(0);
            connection.close();
        }
    }

    fn broken_error<T>(&self, message: &str) -> Result<T, Error> {
        BrokenSnafu {
            address: self.address.to_string(),
            message,
        }
        .fail()
    }
}
