//! The calls to one other host and the connection that carries them.

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

/// Most calls in progress to one host.
const MAX_CALLS: usize = 512;

/// Calls without an answer, one after the other, after which the connection is
/// replaced. TCP notices a lost path only after minutes.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 2;

/// Pause after the first failed attempt to connect; doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Longest pause between two attempts to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// One call: how to send it, given the other host's interface.
pub type Send<T> =
    Box<dyn FnOnce(peer::Client) -> LocalBoxFuture<'static, capnp::Result<T>> + std::marker::Send>;

#[derive(Default)]
struct Backoff {
    failures: u32,
    retry_at: Option<Instant>,
}

/// The link to one other host.
pub struct Link {
    address: SocketAddr,
    backoff: RefCell<Backoff>,
    calls: Cell<usize>,
    connection: Mutex<Option<Connection>>,
    key: FleetKey,
    consecutive_timeouts: Cell<u32>,
}

impl Link {
    /// Builds a link that connects when it is first used.
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

    /// Makes a call and waits for its answer until the deadline.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived in time, the connection broke,
    /// could not be made, or too many calls are in progress.
    pub async fn call<T>(
        &self,
        started: Instant,
        timeout: Duration,
        send: Send<T>,
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

    /// Returns whether there is neither a connection nor a call.
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

    async fn attempt<T>(&self, send: Send<T>) -> Result<T, Error> {
        let peer = self.peer().await?;

        match send(peer).await {
            Ok(answer) => {
                self.consecutive_timeouts.set(0);
                Ok(answer)
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
                peer.map_or_else(|| self.broken_error("the connection ended at once"), Ok)
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
                message: "the last attempt failed a moment ago",
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

    /// Counts a call without an answer. A locked connection is being made, so
    /// there is none to replace.
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
