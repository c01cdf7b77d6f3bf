//! Timeouts of a caller's connection: one for idle connections and one for
//! receiving a request head.
//!
//! hyper has one timeout for both. Callers keep connections idle for much
//! longer than a head may take, so this module distinguishes the two.

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

/// Time that a connection may be idle beyond the timeout announced to callers,
/// so that the caller closes it first.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Minimum interval between two checks of a connection.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Limits on request heads and idle connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    pub header_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}

/// Reason for closing a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseReason {
    /// A request head did not arrive in time.
    Head,
    /// No request arrived in time.
    Idle,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// A request head is being received since this time.
    Head(Time),
    /// The connection is idle since this time.
    Idle(Time),
    /// A request is being served.
    Serving,
}

/// Tracks the phase of a connection.
#[derive(Clone, Debug)]
pub struct Timer(Rc<Cell<Phase>>);

impl Timer {
    /// Returns a timer for a new connection.
    pub fn start() -> Self {
        Self(Rc::new(Cell::new(Phase::Idle(boot_clock::now()))))
    }

    /// Records that a request is being served until the guard is dropped.
    pub fn start_request(&self) -> Serving {
        self.0.set(Phase::Serving);
        Serving(self.clone())
    }

    /// Waits until a timeout expires. The phase is checked only when a timeout
    /// may have expired, so a head right after a response may take up to twice
    /// its time limit.
    pub async fn wait_for_expiry(&self, bounds: &Cell<Bounds>) -> CloseReason {
        loop {
            let bounds = bounds.get();
            let now = boot_clock::now();
            let (remaining, expiry) = match self.0.get() {
                Phase::Head(since) => (
                    (since + bounds.header_timeout).since(now),
                    Some(CloseReason::Head),
                ),
                Phase::Idle(since) => (
                    (since + bounds.idle_timeout + IDLE_MARGIN).since(now),
                    Some(CloseReason::Idle),
                ),
                Phase::Serving => (bounds.header_timeout, None),
            };

            match expiry {
                Some(expiry) if remaining.is_zero() => return expiry,
                // The first byte of a head may arrive in the meantime.
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

/// Guard for the time in which a request is being served on a connection.
#[derive(Debug)]
pub struct Serving(Timer);

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.0.set(Phase::Idle(boot_clock::now()));
    }
}

/// A stream that notifies its timer when bytes arrive.
#[derive(Debug)]
pub struct TimedStream {
    stream: TcpStream,
    timer: Timer,
}

impl TimedStream {
    /// Wraps a stream and its timer.
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
