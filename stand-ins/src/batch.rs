//! The execution slots of an endpoint and the priority queue for them.

use {
    crate::server::lock,
    std::{
        sync::{Arc, Condvar, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Reason why a call did not get a slot; the call did not begin to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    Deadline,
    Full,
}

#[derive(Debug, Default)]
struct State {
    arrivals: u64,
    running: usize,
    /// Priority and arrival number of each waiting call.
    waiting: Vec<(u8, u64)>,
}

impl State {
    /// Returns whether this call is the next to run. Higher priorities come
    /// first, then earlier arrivals.
    fn is_next(&self, ticket: (u8, u64)) -> bool {
        self.waiting
            .iter()
            .all(|other| (other.0, ticket.1) <= (ticket.0, other.1))
    }
}

/// Limits the number of calls that run at the same time.
#[derive(Debug)]
pub struct Batch {
    capacity: usize,
    changed: Condvar,
    queue_limit: usize,
    state: Mutex<State>,
}

/// A slot for one running call, released on drop.
pub struct Slot(Arc<Batch>);

impl Batch {
    /// Creates a batch with `capacity` slots and room for four times as many
    /// queued calls.
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

    /// Returns the number of queued calls and the number of running calls.
    pub fn load(&self) -> (usize, usize) {
        let state = lock(&self.state);
        (state.waiting.len(), state.running)
    }

    /// Waits for a free slot.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the queue is full or no slot is free within
    /// `limit`.
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
