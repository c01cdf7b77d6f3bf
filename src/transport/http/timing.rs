//! Timeouts of a caller's connection: one for idle connections and one for
//! receiving a request head.
//!
//! hyper has one timeout for both. Callers keep connections idle for much
//! longer than a head may take, so this module distinguishes the two.

use {
    crate::{
        state::clock::Time,
        transport::{boot_clock, http::observed_stream::Observer},
    },
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::time::sleep,
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
    /// The caller has not read any part of an answer for too long.
    Stalled,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// A request head is being received since this time.
    Head(Time),
    /// The connection is idle since this time.
    Idle(Time),
    /// A request is being served.
    Serving,
    /// The rest of an answer is being written, with the last progress at this time.
    Writing(Time),
}

/// Counter of the connections that are not idle.
#[derive(Clone, Debug, Default)]
pub struct Work(Rc<Cell<usize>>);

impl Work {
    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.0.get()
    }
}

/// The phase of a connection, counted as work unless the connection is idle.
#[derive(Debug)]
struct State {
    phase: Cell<Phase>,
    work: Work,
}

impl State {
    fn set(&self, phase: Phase) {
        let was_idle = matches!(self.phase.replace(phase), Phase::Idle(_));
        let is_idle = matches!(phase, Phase::Idle(_));
        let count = self.work.count();

        match (was_idle, is_idle) {
            (true, false) => self.work.0.set(count + 1),
            (false, true) => self.work.0.set(count.saturating_sub(1)),
            _ => {}
        }
    }
}

impl Drop for State {
    fn drop(&mut self) {
        self.set(Phase::Idle(Time::ZERO));
    }
}

/// Tracks the phase of a connection.
#[derive(Clone, Debug)]
pub struct Timer(Rc<State>);

impl Timer {
    /// Returns a timer for a new connection, which counts as `work` while it is
    /// not idle.
    pub fn start(work: &Work) -> Self {
        Self(Rc::new(State {
            phase: Cell::new(Phase::Idle(boot_clock::now())),
            work: work.clone(),
        }))
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
            let (remaining, expiry) = match self.0.phase.get() {
                Phase::Head(since) => (
                    (since + bounds.header_timeout).since(now),
                    Some(CloseReason::Head),
                ),
                Phase::Idle(since) => (
                    (since + bounds.idle_timeout + IDLE_MARGIN).since(now),
                    Some(CloseReason::Idle),
                ),
                Phase::Serving => (bounds.header_timeout, None),
                Phase::Writing(since) => (
                    (since + bounds.idle_timeout).since(now),
                    Some(CloseReason::Stalled),
                ),
            };

            match expiry {
                Some(expiry) if remaining.is_zero() => return expiry,
                // The first byte of a head may arrive in the meantime.
                _ => sleep(remaining.min(bounds.header_timeout).max(MIN_POLL_INTERVAL)).await,
            }
        }
    }
}

/// Guard for the time in which a request is being served on a connection. When it is
/// dropped, the server may still have to write a part of the answer.
#[derive(Debug)]
pub struct Serving(Timer);

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.0.set(Phase::Writing(boot_clock::now()));
    }
}

impl Observer for Timer {
    fn after_read(&self, _: usize) {
        // The bytes belong to the next request's head unless one is being served.
        if matches!(self.0.phase.get(), Phase::Idle(_) | Phase::Writing(_)) {
            self.0.set(Phase::Head(boot_clock::now()));
        }
    }

    fn after_write(&self) {
        if let Phase::Writing(_) = self.0.phase.get() {
            self.0.set(Phase::Writing(boot_clock::now()));
        }
    }

    fn on_flush(&self) {
        if let Phase::Writing(_) = self.0.phase.get() {
            self.0.set(Phase::Idle(boot_clock::now()));
        }
    }
}
