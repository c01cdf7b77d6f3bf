//! The HTTP server: accepts connections and bounds them.
//!
//! Requests and responses are rouille's types. The connections are read here
//! because rouille's own server (tiny_http 0.12) bounds neither the header nor
//! the time a caller takes to send it, holds streamed tokens back until 8 KB
//! have come together, and stops accepting after one failed `accept`.

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

/// Pause after a failed accept, for example when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Connections above the limit that are still told why they are refused;
/// further ones are closed without an answer.
const MAX_REFUSALS: usize = 64;

/// Bytes of bodies held at a time, for all connections together. The limits on
/// one body and on connections alone would allow 2 GB.
const MAX_TOTAL_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Connections that the kernel holds until they are accepted. With the 128 of
/// the standard library a burst of 500 overflowed, and the callers beyond it
/// tried again only after 1 s.
const LISTEN_BACKLOG: i32 = 1024;

/// Enough for a request thread; the default of 2 MB would reserve 4 GB of
/// address space at the connection limit.
const STACK_BYTES: usize = 512 * 1024;

/// Upper bounds of one server.
#[derive(Clone, Debug)]
pub struct Limits {
    pub body_bytes: usize,
    pub connections: usize,
    pub header_bytes: usize,
    /// Longest time from the first to the last byte of a request.
    pub read_timeout: Duration,
}

/// Why a request was refused before the handler saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    TotalBodies { limit: usize },
    Body { bytes: u64, limit: usize },
    Connections { limit: usize },
    Header { limit: usize },
    Invalid { detail: String },
    ReadTimeout { limit: Duration },
}

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: &Request) -> Response;

    /// Answers a request that broke a limit, with its head if it was read.
    fn refuse(&self, fault: &Fault, head: Option<&Head>) -> Response;
}

/// A server that listens but does not accept yet.
#[derive(Debug)]
pub struct Server {
    in_flight: InFlight,
    limits: Limits,
    listener: TcpListener,
}

impl Server {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(address: SocketAddr, limits: Limits) -> Result<Self, Error> {
        let listener = TcpListener::bind(address).map_err(|error| listen_error(address, &error))?;
        // Listening again only replaces the length of the queue.
        rustix::net::listen(&listener, LISTEN_BACKLOG)
            .map_err(|error| listen_error(address, &error.into()))?;
        Ok(Self {
            in_flight: InFlight::default(),
            limits,
            listener,
        })
    }

    /// Returns the count of answers in progress.
    pub fn in_flight(&self) -> InFlight {
        self.in_flight.clone()
    }

    /// Returns the address it listens on.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has no address.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        self.listener
            .local_addr()
            .map_err(|error| listen_error(([0; 4], 0).into(), &error))
    }

    /// Accepts connections until the process ends, a thread for each.
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

    /// Refuses a connection above the limit. These have a count of their own,
    /// so that they never take the place of one that can be served.
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

/// Counts the requests whose answer is not yet written in full, and the bytes
/// of their bodies.
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

    /// Counts one request while `answer` runs.
    pub fn track<T>(&self, answer: impl FnOnce() -> T) -> T {
        let _slot = Slot::acquire(&self.requests, 1);
        answer()
    }

    /// Holds room for a body until the slot is dropped.
    ///
    /// # Errors
    ///
    /// Returns a fault if the bodies of all requests take too much room.
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

/// A part of a bounded count, given back when it is dropped.
#[derive(Debug)]
pub struct Slot {
    count: Arc<AtomicUsize>,
    /// The count before this part.
    previous: usize,
    size: usize,
}

impl Slot {
    /// Takes one place, or none if `limit` places are taken.
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
