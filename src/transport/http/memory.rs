//! The memory for bodies that a host holds as a whole.
//!
//! All bodies share one limit, so that an endpoint that sends bytes without end
//! cannot make the process run out of memory. While the memory is used up, the
//! incomplete body that has taken most of it fails, and the others wait. Short
//! bodies never wait.

use {
    hyper::body::Bytes,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::{Notify, futures::Notified},
};

/// Size of the blocks in which a body is held, in bytes. A body's last block has
/// only the size that it needs.
const BLOCK_BYTES: usize = 64 * 1024;

/// Share of the limit that bodies may take before they are complete. Beyond it the
/// largest one fails; below it, complete ones will free memory.
const INCOMPLETE_SHARE: usize = 2;

/// Share of the limit, in percent, beyond which the callers that do not read are
/// disconnected. The rest is for the others until memory is free again.
const PRESSED_PERCENT: usize = 75;

/// The memory is used up, and no incomplete body has taken more of it than this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Exhausted;

/// Memory with a limit. Clones share it.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    /// Wakes the bodies that wait for memory.
    freed: Notify,
    /// Notified when more than [`PRESSED_PERCENT`] of the memory is taken.
    pressed: Notify,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Bytes of all bodies.
    held: usize,
    /// The incomplete bodies, by number.
    incomplete: BTreeMap<u64, Incomplete>,
    limit: usize,
    next: u64,
}

#[derive(Debug, Default)]
struct Incomplete {
    bytes: usize,
    /// Tells the body that it fails.
    failed: Arc<Notify>,
}

/// What a body that needs more memory does next.
enum Next {
    Fail,
    Take,
    Wait,
}

impl State {
    /// Decides what a body does that needs a block of this size. Makes another body
    /// fail if that one has taken most of the memory.
    fn next(&self, body: u64, size: usize) -> Next {
        let own = self.incomplete.get(&body).map_or(0, |body| body.bytes);

        if own == 0 || self.held + size <= self.limit {
            return Next::Take;
        }

        let others = self
            .incomplete
            .iter()
            .filter(|(number, _)| **number != body);
        let largest = others.max_by_key(|(_, other)| other.bytes);
        let total = self.incomplete.values().map(|body| body.bytes);

        match largest {
            _ if total.sum::<usize>() + size <= self.limit / INCOMPLETE_SHARE => Next::Wait,
            Some((_, other)) if other.bytes > own => {
                other.failed.notify_one();
                Next::Wait
            }
            _ => Next::Fail,
        }
    }

    /// Returns whether there is no memory for a block.
    const fn is_full(&self) -> bool {
        self.held.saturating_add(BLOCK_BYTES) > self.limit
    }

    const fn pressed_bytes(&self) -> usize {
        self.limit / 100 * PRESSED_PERCENT
    }

    /// Returns the number of bytes by which the memory should shrink. What incomplete
    /// bodies take beyond their share does not count: the largest of them fail.
    fn excess(&self) -> usize {
        let incomplete: usize = self.incomplete.values().map(|body| body.bytes).sum();
        let beyond = incomplete.saturating_sub(self.limit / INCOMPLETE_SHARE);
        self.held.saturating_sub(beyond + self.pressed_bytes())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // The counts are whole after each statement that changes them.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives memory back. Bodies wait only while there is no memory for a block, so
    /// that they are woken when there is again, and not for each of many small parts.
    fn give_back(&self, size: usize) {
        let mut state = self.lock();
        let was_full = state.is_full();
        state.held -= size;
        let wakes = was_full && !state.is_full();
        drop(state);

        if wakes {
            self.freed.notify_waiters();
        }
    }

    fn report_pressure(&self, state: &State) {
        if state.held > state.pressed_bytes() {
            self.pressed.notify_one();
        }
    }
}

impl Memory {
    /// Creates memory with a limit in bytes.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Shared {
            freed: Notify::new(),
            pressed: Notify::new(),
            state: Mutex::new(State {
                limit,
                ..State::default()
            }),
        }))
    }

    /// Changes the limit. Bodies above it stay.
    pub fn set_limit(&self, limit: usize) {
        self.0.lock().limit = limit;
        self.0.freed.notify_waiters();
    }

    /// Returns the number of bytes that all bodies take.
    pub fn held(&self) -> usize {
        self.0.lock().held
    }

    /// Takes memory for bytes that wait for a caller. Returns `None` if the memory is
    /// used up, except for the `first` bytes of an answer that wait.
    pub fn share(&self, size: usize, first: bool) -> Option<Share> {
        let mut state = self.0.lock();

        if !first && state.held + size > state.limit {
            return None;
        }

        state.held += size;
        self.0.report_pressure(&state);
        Some(Share {
            memory: Arc::clone(&self.0),
            size,
        })
    }

    /// Returns a future that completes when memory is given back.
    pub fn freed(&self) -> Notified<'_> {
        self.0.freed.notified()
    }

    /// Returns a future that completes when the memory is nearly used up.
    pub fn pressed(&self) -> Notified<'_> {
        self.0.pressed.notified()
    }

    /// Returns the number of bytes by which the memory for complete bodies and streams
    /// should shrink, because the memory is nearly used up.
    pub fn excess(&self) -> usize {
        self.0.lock().excess()
    }

    /// Begins a body.
    pub fn begin(&self) -> Collector {
        let mut state = self.0.lock();
        let number = state.next;
        state.next += 1;
        let body = Incomplete::default();
        let failed = Arc::clone(&body.failed);
        state.incomplete.insert(number, body);
        Collector {
            blocks: Vec::new(),
            failed,
            length: 0,
            memory: Arc::clone(&self.0),
            number,
        }
    }
}

impl Default for Memory {
    /// Returns memory without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

/// A part of the memory, given back when it is dropped.
#[derive(Debug)]
pub struct Share {
    memory: Arc<Shared>,
    size: usize,
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.give_back(self.size);
    }
}

/// A block of a body and its share of the memory.
#[derive(Debug)]
struct Block {
    bytes: Vec<u8>,
    memory: Arc<Shared>,
    size: usize,
}

impl AsRef<[u8]> for Block {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Block {
    fn drop(&mut self) {
        self.memory.give_back(self.size);
    }
}

/// A body that is still incomplete. Its memory is free again once it is dropped, or
/// the blocks that it has become are.
#[derive(Debug)]
pub struct Collector {
    blocks: Vec<Block>,
    failed: Arc<Notify>,
    length: usize,
    memory: Arc<Shared>,
    number: u64,
}

impl Collector {
    /// Appends bytes, and waits while there is no memory for them.
    ///
    /// # Errors
    ///
    /// Returns an error if the memory is used up and this body has taken most of it.
    pub async fn push(&mut self, mut bytes: &[u8]) -> Result<(), Exhausted> {
        loop {
            bytes = self.fill(bytes);

            if bytes.is_empty() {
                return Ok(());
            }

            let memory = Arc::clone(&self.memory);
            let freed = memory.freed.notified();

            match self.take(bytes.len()) {
                Next::Take => {}
                Next::Fail => return Err(Exhausted),
                Next::Wait => tokio::select! {
                    () = freed => {}
                    () = self.failed.notified() => return Err(Exhausted),
                },
            }
        }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for them now.
    pub fn try_push(&mut self, mut bytes: &[u8]) -> Result<(), Exhausted> {
        loop {
            bytes = self.fill(bytes);

            if bytes.is_empty() {
                return Ok(());
            }

            if !matches!(self.take(bytes.len()), Next::Take) {
                return Err(Exhausted);
            }
        }
    }

    /// Waits until the body fails because it has taken most of the memory.
    pub async fn failed(&self) {
        self.failed.notified().await;
    }

    /// Returns the number of bytes that were appended.
    pub const fn length(&self) -> usize {
        self.length
    }

    /// Returns the complete body. Each block's memory is free once it is dropped.
    pub fn finish(mut self) -> Vec<Bytes> {
        let blocks = std::mem::take(&mut self.blocks);
        blocks.into_iter().map(Bytes::from_owner).collect()
    }

    /// Returns the complete body as one block.
    pub fn finish_whole(mut self) -> Bytes {
        let mut blocks = std::mem::take(&mut self.blocks);

        if blocks.len() <= 1 {
            return blocks.pop().map_or_else(Bytes::new, Bytes::from_owner);
        }

        let parts = blocks.iter().map(|block| &block.bytes[..]);
        let bytes = parts.collect::<Vec<&[u8]>>().concat();
        self.memory.lock().held += bytes.len();
        Bytes::from_owner(Block {
            size: bytes.len(),
            bytes,
            memory: Arc::clone(&self.memory),
        })
    }

    /// Appends as many bytes as the last block has space for, and returns the rest.
    fn fill<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let Some(block) = self.blocks.last_mut() else {
            return bytes;
        };
        let (taken, rest) = bytes.split_at(block.free().min(bytes.len()));
        block.bytes.extend_from_slice(taken);
        self.length += taken.len();
        rest
    }

    /// Adds a block for `length` more bytes, if there is memory for it.
    fn take(&mut self, length: usize) -> Next {
        let size = if self.blocks.is_empty() {
            length.min(BLOCK_BYTES)
        } else {
            BLOCK_BYTES
        };
        let mut state = self.memory.lock();
        let next = state.next(self.number, size);

        if matches!(next, Next::Take) {
            state.held += size;
            self.memory.report_pressure(&state);

            if let Some(body) = state.incomplete.get_mut(&self.number) {
                body.bytes += size;
            }

            self.blocks.push(Block {
                bytes: Vec::with_capacity(size),
                memory: Arc::clone(&self.memory),
                size,
            });
        }

        next
    }
}

impl Block {
    const fn free(&self) -> usize {
        self.size - self.bytes.len()
    }
}

impl Drop for Collector {
    fn drop(&mut self) {
        self.memory.lock().incomplete.remove(&self.number);
        self.memory.freed.notify_waiters();
    }
}
