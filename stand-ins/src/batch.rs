//! The slots of an endpoint and the queue before them.

use {
    crate::server::lock,
    std::{
        sync::{Arc, Condvar, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Why a call was not admitted; it did not begin to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    Deadline,
    Full,
}

#[derive(Debug, Default)]
struct State {
    arrivals: u64,
    running: usize,
    /// Waiting calls by priority and arrival.
    waiting: Vec<(u8, u64)>,
}

impl State {
    /// Whether this call is the next to run: highest priority, then oldest.
    fn is_next(&self, ticket: (u8, u64)) -> bool {
        self.waiting
            .iter()
            .all(|other| (other.0, ticket.1) <= (ticket.0, other.1))
    }
}

/// Admits a bounded number of calls at a time.
#[derive(Debug)]
pub struct Batch {
    capacity: usize,
    changed: Condvar,
    queue_limit: usize,
    state: Mutex<State>,
}

/// A slot; it is free again when this is dropped.
pub struct Slot(Arc<Batch>);

impl Batch {
    /// Builds a batch with `capacity` slots and a queue of four times as many.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            changed: Condvar::new(),
            queue_limit: 4 * capacity,
            state: Mutex::default(),
        }
    }

    /// Returns the number of slots.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the numbers of queued and of running calls.
    pub fn load(&self) -> (usize, usize) {
        let state = lock(&self.state);
        (state.waiting.len(), state.running)
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the queue is full or the wait exceeds `limit`.
    pub fn acquire(self: &Arc<Self>, priority: u8, limit: Duration) -> Result<Slot, Refusal> {
        let deadline = Instant::now() + limit;
        let mut state = lock(&self.state);

        if state.waiting.len() >= self.queue_limit {
            return Err(Refusal::Full);
        }

        state.arrivals += 1;
        let ticket = (priority, state.arrivals);
        state.waiting.push(ticket);

        while state.running >= self.capacity || !state.is_next(ticket) {
            let remaining = deadline.saturating_duration_since(Instant::now());

            if remaining.is_zero() {
                state.waiting.retain(|other| *other != ticket);
                self.changed.notify_all();
                return Err(Refusal::Deadline);
            }

            state = self
                .changed
                .wait_timeout(state, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }

        state.waiting.retain(|other| *other != ticket);
        state.running += 1;
        self.changed.notify_all();
        Ok(Slot(Arc::clone(self)))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.0.state).running -= 1;
        self.0.changed.notify_all();
    }
}
