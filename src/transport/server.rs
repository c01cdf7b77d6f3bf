//! A threaded HTTP server that enforces limits on connections and requests.
//!
//! Requests and responses are rouille's types, but the connections are handled
//! here: rouille's own server (tiny_http 0.12) limits neither the size of the
//! header nor the time a caller takes to send it, buffers streamed tokens until
//! 8 KB are available, and stops accepting after one failed `accept`.

use {
    crate::transport::{error::Error, head::Head, http_connection},
    rouille::{Request, Response},
    std::{
        io,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Pause after a failed `accept`, for example when the process has no free file
/// descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Maximum number of simultaneous connections above the connection limit that
/// get a response with the reason. Further ones are closed without a response.
const MAX_REFUSALS: usize = 64;

/// Maximum total size in bytes of the request bodies in memory, over all
/// connections. The limits on one body and on connections alone would allow
/// 2 GB.
const MAX_TOTAL_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Length of the kernel's accept queue. A burst of 500 connections overflows
/// the standard library's default of 128, and the callers beyond it retry only
/// after 1 s.
const LISTEN_BACKLOG: i32 = 1024;

/// Stack size in bytes of a request thread. The default of 2 MB would reserve
/// 4 GB of address space at the connection limit.
const STACK_BYTES: usize = 512 * 1024;

/// Limits on the connections and requests of a server.
#[derive(Clone, Debug)]
pub struct Limits {
    pub body_bytes: usize,
    pub connections: usize,
    pub header_bytes: usize,
    /// Maximum time from the first to the last byte of a request.
    pub read_timeout: Duration,
}

/// Reason for refusing a request before it reaches the handler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    TotalBodies { limit: usize },
    Body { bytes: u64, limit: usize },
    Connections { limit: usize },
    Header { limit: usize },
    Invalid { detail: String },
    ReadTimeout { limit: Duration },
}

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to a request.
    fn handle(&self, request: &Request) -> Response;

    /// Returns the response to a request that is invalid or exceeds a limit.
    /// `head` is the request's head if it was read.
    fn refuse(&self, fault: &Fault, head: Option<&Head>) -> Response;
}

/// A server that is bound to its address and does not accept connections until
/// [`Server::run`].
#[derive(Debug)]
pub struct Server {
    in_flight: InFlight,
    limits: Limits,
    listener: TcpListener,
}

impl Server {
    /// Binds a server to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(address: SocketAddr, limits: Limits) -> Result<Self, Error> {
        let listener = TcpListener::bind(address).map_err(|error| listen_error(address, &error))?;
        // Calling `listen` again only changes the length of the accept queue.
        rustix::net::listen(&listener, LISTEN_BACKLOG)
            .map_err(|error| listen_error(address, &error.into()))?;
        Ok(Self {
            in_flight: InFlight::default(),
            limits,
            listener,
        })
    }

    /// Returns the counter of requests in flight.
    pub fn in_flight(&self) -> InFlight {
        self.in_flight.clone()
    }

    /// Returns the address that the server is bound to.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has no address.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        self.listener
            .local_addr()
            .map_err(|error| listen_error(([0; 4], 0).into(), &error))
    }

    /// Accepts connections until the process ends, and serves each on a thread
    /// of its own.
    pub fn run(self, handler: Arc<impl Handler>) -> ! {
        let (served, refused) = <(Arc<AtomicUsize>, Arc<AtomicUsize>)>::default();

        loop {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    let started = match Slot::try_acquire(&served, self.limits.connections) {
                        Some(slot) => self.serve(stream, &handler, slot),
                        None => self.refuse_connection(stream, &handler, &refused),
                    };

                    if let Err(error) = started {
                        log::warn!("cannot start a thread for a connection: {error}");
                    }
                }
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}");
                    thread::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream, handler: &Arc<impl Handler>, slot: Slot) -> io::Result<()> {
        let handler = Arc::clone(handler);
        let limits = self.limits.clone();
        let in_flight = self.in_flight.clone();

        spawn(move || {
            http_connection::serve(stream, &limits, &*handler, &in_flight);
            drop(slot);
        })
    }

    /// Refuses a connection above the limit. Refused connections are counted
    /// separately, so that they never occupy a slot of a connection that can be
    /// served.
    fn refuse_connection(
        &self,
        stream: TcpStream,
        handler: &Arc<impl Handler>,
        refused: &Arc<AtomicUsize>,
    ) -> io::Result<()> {
        let Some(slot) = Slot::try_acquire(refused, MAX_REFUSALS) else {
            return Ok(());
        };
        let handler = Arc::clone(handler);
        let limits = self.limits.clone();

        spawn(move || {
            http_connection::refuse_connection(stream, &limits, &*handler);
            drop(slot);
        })
    }
}

fn spawn(serve: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .name("caller".into())
        .stack_size(STACK_BYTES)
        .spawn(serve)
        .map(drop)
}

/// Counts the requests whose response is not yet written completely, and the
/// bytes of their bodies.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    bytes: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl InFlight {
    /// Returns the number of requests.
    pub fn count(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight while `respond` runs.
    pub fn track<T>(&self, respond: impl FnOnce() -> T) -> T {
        let _slot = Slot::acquire(&self.requests, 1);
        respond()
    }

    /// Reserves memory for a body until the slot is dropped.
    ///
    /// # Errors
    ///
    /// Returns a fault if the bodies of all requests would exceed the limit.
    pub fn reserve_body(&self, bytes: usize) -> Result<Slot, Fault> {
        let slot = Slot::acquire(&self.bytes, bytes);

        if slot.previous + bytes > MAX_TOTAL_BODY_BYTES {
            return Err(Fault::TotalBodies {
                limit: MAX_TOTAL_BODY_BYTES,
            });
        }

        Ok(slot)
    }
}

/// A share of a bounded count, released when it is dropped.
#[derive(Debug)]
pub struct Slot {
    count: Arc<AtomicUsize>,
    /// The count before this share was acquired.
    previous: usize,
    size: usize,
}

impl Slot {
    /// Acquires one unit, or returns `None` if `limit` units are in use.
    fn try_acquire(count: &Arc<AtomicUsize>, limit: usize) -> Option<Self> {
        let slot = Self::acquire(count, 1);
        (slot.previous < limit).then_some(slot)
    }

    fn acquire(count: &Arc<AtomicUsize>, size: usize) -> Self {
        Self {
            count: Arc::clone(count),
            previous: count.fetch_add(size, Ordering::Relaxed),
            size,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.count.fetch_sub(self.size, Ordering::Relaxed);
    }
}

fn listen_error(address: SocketAddr, error: &io::Error) -> Error {
    Error::Listen {
        address: address.to_string(),
        message: error.to_string(),
    }
}
