//! Bounds on how long a caller's connection may be idle, and on how long a
//! request's head may take.
//!
//! hyper has one timeout for both. Callers keep connections idle for much
//! longer than a head may take, so the two are told apart here.

use {
    crate::{state::clock::Time, transport::boot_clock},
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::sleep,
    },
};

/// How long a connection may be idle beyond the limit that callers know, so
/// that the caller closes it first.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Shortest pause between two looks at a connection.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    pub header_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expiry {
    /// A head did not arrive in time.
    Head,
    /// No request arrived in time.
    Idle,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Bytes of a head have arrived since.
    Head(Time),
    /// Nothing has arrived since.
    Idle(Time),
    /// A request is served.
    Serving,
}

/// The phase of one connection.
#[derive(Clone, Debug)]
pub struct Timer(Rc<Cell<Phase>>);

impl Timer {
    /// Returns the timer of a connection that was just accepted.
    pub fn start() -> Self {
        Self(Rc::new(Cell::new(Phase::Idle(boot_clock::now()))))
    }

    /// Notes that a request is served until the guard is dropped.
    pub fn start_request(&self) -> Serving {
        self.0.set(Phase::Serving);
        Serving(self.clone())
    }

    /// Waits until a bound is exceeded. The connection is looked at when a
    /// bound may be due, so that a head may take up to twice its time right
    /// after an answer.
    pub async fn wait_for_expiry(&self, bounds: &Cell<Bounds>) -> Expiry {
        loop {
            let bounds = bounds.get();
            let now = boot_clock::now();
            let (remaining, expiry) = match self.0.get() {
                Phase::Head(since) => (
                    (since + bounds.header_timeout).since(now),
                    Some(Expiry::Head),
                ),
                Phase::Idle(since) => (
                    (since + bounds.idle_timeout + IDLE_MARGIN).since(now),
                    Some(Expiry::Idle),
                ),
                Phase::Serving => (bounds.header_timeout, None),
            };

            match expiry {
                Some(expiry) if remaining.is_zero() => return expiry,
                // A head may begin in the meantime.
                _ => sleep(remaining.min(bounds.header_timeout).max(MIN_POLL_INTERVAL)).await,
            }
        }
    }

    fn record_bytes(&self) {
        if let Phase::Idle(_) = self.0.get() {
            self.0.set(Phase::Head(boot_clock::now()));
        }
    }
}

/// A request that is served on a connection.
#[derive(Debug)]
pub struct Serving(Timer);

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.0.set(Phase::Idle(boot_clock::now()));
    }
}

/// A stream that tells its timer when bytes arrive.
#[derive(Debug)]
pub struct TimedStream {
    stream: TcpStream,
    timer: Timer,
}

impl TimedStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, timer: Timer) -> Self {
        Self { stream, timer }
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);

        if buffer.filled().len() > before {
            self.timer.record_bytes();
        }

        result
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        slices: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
