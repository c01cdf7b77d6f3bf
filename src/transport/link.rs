//! The calls to another host, and the connection that they share.
//!
//! A connection may fall silent for good, without a reset, while new ones work, for
//! example after a firewall has dropped it from its state table. So a connection on
//! which nothing arrives while a call is in progress is checked, and replaced if a
//! new one answers instead.

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
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Mutex,
        task::spawn_local,
        time::{Instant, timeout, timeout_at},
    },
};

/// Maximum number of calls in progress to a host.
const MAX_CALLS: usize = 512;

/// Time without an answer to any call after which a connection is checked. A host
/// that waits for changes usually gets an answer within a second.
const SILENCE: Duration = Duration::from_millis(500);

/// Time for an answer to a check on the open connection. A host with a tenth of a
/// core may take some hundred milliseconds under load.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for a new connection to replace a silent one.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(600);

/// Backoff after the first failed connection attempt; doubles with each
/// failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff between connection attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The reply to a call.
pub type Reply<T> = LocalBoxFuture<'static, capnp::Result<T>>;

/// A function that sends a call through the other host's interface.
pub enum SendCall<T> {
    /// The call may be in progress once only.
    Once(Box<dyn FnOnce(peer::Client) -> Reply<T> + std::marker::Send>),
    /// The call only reads, so it is sent again if its connection was silent.
    Repeatable(Box<dyn Fn(peer::Client) -> Reply<T> + std::marker::Send>),
}

/// The result of checking a connection.
enum Verdict {
    /// The connection has delivered an answer.
    Answers,
    /// The connection was closed or replaced meanwhile.
    Closed,
    /// A new connection works while the open one is silent.
    Silent(Connection),
    /// Neither the open connection nor a new one answers.
    Unreachable,
}

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
    /// Whether a check of the connection is in progress.
    checking: Cell<bool>,
    connection: Mutex<Option<Connection>>,
    key: FleetKey,
    /// When an answer to any call last arrived, or the connection opened.
    last_answer: Cell<Instant>,
    /// Number of silent connections that were replaced.
    replaced: Cell<u64>,
}

impl Link {
    /// Builds a link without a connection; the first call connects.
    pub fn new(address: SocketAddr, key: FleetKey) -> Self {
        Self {
            address,
            backoff: RefCell::default(),
            calls: Cell::new(0),
            checking: Cell::new(false),
            connection: Mutex::new(None),
            key,
            last_answer: Cell::new(Instant::now()),
            replaced: Cell::new(0),
        }
    }

    /// Makes a call and waits for its reply until `timeout` after `started`.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrived in time, the connection broke or
    /// could not be established, or too many calls are in progress.
    pub async fn call<T>(
        self: &Rc<Self>,
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
                if self.last_answer.get() < started {
                    self.check();
                }

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

    async fn attempt<T>(self: &Rc<Self>, send: SendCall<T>) -> Result<T, Error> {
        let send = match send {
            SendCall::Once(send) => return self.send(send).await,
            SendCall::Repeatable(send) => send,
        };

        loop {
            let replaced = self.replaced.get();

            match self.send(&send).await {
                Err(_) if self.replaced.get() != replaced => {}
                result => return result,
            }
        }
    }

    async fn send<T>(
        self: &Rc<Self>,
        send: impl FnOnce(peer::Client) -> Reply<T>,
    ) -> Result<T, Error> {
        let peer = self.peer().await?;

        let reply = self.watch(send(peer)).await;

        if !reply.as_ref().is_err_and(is_disconnection) {
            self.last_answer.set(Instant::now());
        }

        reply.or_else(|error| self.broken_error(&error.to_string()))
    }

    /// Waits for the reply to a call, and checks the connection while nothing
    /// arrives on it.
    async fn watch<T>(self: &Rc<Self>, mut reply: Reply<T>) -> capnp::Result<T> {
        let mut check_at = Instant::now() + SILENCE;

        loop {
            if let Ok(result) = timeout_at(check_at, &mut reply).await {
                return result;
            }

            let now = Instant::now();
            check_at = self.last_answer.get() + SILENCE;

            if check_at <= now {
                self.check();
                check_at = now + SILENCE;
            }
        }
    }

    /// Checks the connection in the background, unless a check is in progress.
    fn check(self: &Rc<Self>) {
        if self.checking.replace(true) {
            return;
        }

        let link = Rc::clone(self);
        spawn_local(async move {
            let verdict = link.verdict().await;
            link.apply(verdict);
            link.checking.set(false);
        });
    }

    async fn verdict(&self) -> Verdict {
        let started = Instant::now();
        let Some(peer) = self.open_peer() else {
            return Verdict::Closed;
        };
        let answer = timeout(CHECK_TIMEOUT, peer.ping_request().send().promise).await;

        match answer {
            Ok(Err(error)) if is_disconnection(&error) => return Verdict::Closed,
            Ok(_) => {
                self.last_answer.set(Instant::now());
                return Verdict::Answers;
            }
            Err(_) => {}
        }

        let opening = Connection::open(self.address, &self.key);
        let opened = timeout(REPLACE_TIMEOUT, opening).await;

        if self.last_answer.get() > started {
            Verdict::Answers
        } else if let Ok(Ok(connection)) = opened {
            Verdict::Silent(connection)
        } else {
            Verdict::Unreachable
        }
    }

    /// Replaces or closes the connection that was checked. The calls in progress on
    /// it fail.
    fn apply(&self, verdict: Verdict) {
        let (replacement, message) = match verdict {
            Verdict::Answers | Verdict::Closed => return,
            Verdict::Silent(connection) => (Some(connection), "connection to a peer replaced"),
            Verdict::Unreachable => (None, "connection to a peer closed"),
        };
        // A locked connection is being established, so it is not the one that was
        // checked.
        let Ok(mut connection) = self.connection.try_lock() else {
            return;
        };

        log::info!(
            peer = self.address.to_string().as_str(),
            calls = self.calls.get(),
            silent_ms = self.last_answer.get().elapsed().as_millis();
            "{message}: it is silent"
        );

        if replacement.is_some() {
            self.last_answer.set(Instant::now());
            self.replaced.set(self.replaced.get() + 1);
        } else {
            self.extend_backoff();
        }

        let silent = std::mem::replace(&mut *connection, replacement);
        silent.into_iter().for_each(Connection::close);
    }

    /// Returns the other host's interface if a connection is open.
    fn open_peer(&self) -> Option<peer::Client> {
        let connection = self.connection.try_lock().ok()?;
        connection.as_ref().and_then(Connection::peer)
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
                self.last_answer.set(Instant::now());
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

    fn broken_error<T>(&self, message: &str) -> Result<T, Error> {
        BrokenSnafu {
            address: self.address.to_string(),
            message,
        }
        .fail()
    }
}

/// Returns whether a call failed because its connection ended.
fn is_disconnection(error: &capnp::Error) -> bool {
    error.kind == capnp::ErrorKind::Disconnected
}
