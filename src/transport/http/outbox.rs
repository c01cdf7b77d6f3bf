//! The bytes of answers that wait for their callers.
//!
//! Bytes wait from the time at which they are queued until the caller's socket has
//! accepted them: in the queue of a stream and in the write buffer of the connection.

use {
    crate::transport::http::memory::{Memory, Share},
    hyper::body::Bytes,
    std::{
        cell::Cell,
        io,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::sync::{
        Notify,
        mpsc::{self, error::SendError},
    },
};

/// Bytes that a queued chunk takes in addition to its content: its allocations and its
/// place in the queue. Events are often shorter than that.
pub const CHUNK_BYTES: usize = 256;

/// Maximum number of chunks of a stream whose bytes are not limited.
const MAX_CHUNKS: usize = 64;

/// The bytes of one answer that wait for the caller. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Backlog(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    freed: Notify,
    waiting: AtomicUsize,
}

impl Backlog {
    /// Returns the number of bytes that wait.
    pub fn waiting(&self) -> usize {
        self.0.waiting.load(Ordering::Relaxed)
    }

    /// Counts bytes as waiting until they are dropped. `size` is the memory that they
    /// take.
    pub fn hold(&self, bytes: Bytes, size: usize, share: Option<Share>) -> Bytes {
        self.0.waiting.fetch_add(size, Ordering::Relaxed);
        Bytes::from_owner(Chunk {
            backlog: self.clone(),
            bytes,
            size,
            _share: share,
        })
    }
}

/// A chunk of an answer that waits for the caller.
struct Chunk {
    backlog: Backlog,
    bytes: Bytes,
    size: usize,
    _share: Option<Share>,
}

impl AsRef<[u8]> for Chunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Chunk {
    fn drop(&mut self) {
        let shared = &self.backlog.0;
        shared.waiting.fetch_sub(self.size, Ordering::Relaxed);
        shared.freed.notify_waiters();
    }
}

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closed;

impl<T> From<SendError<T>> for Closed {
    fn from(_: SendError<T>) -> Self {
        Self
    }
}

/// What a stream that has events to queue does next.
enum Next {
    /// Waits until there is memory or the caller has read.
    Memory,
    /// Waits until the caller has read.
    Read,
    /// Queues a chunk of this length.
    Take(usize, Share),
}

/// Adds the time of a pause, also if the stream ends within it.
struct Pause<'a> {
    paused: &'a Cell<Duration>,
    since: Instant,
}

impl Drop for Pause<'_> {
    fn drop(&mut self) {
        self.paused.set(self.paused.get() + self.since.elapsed());
    }
}

/// Queues the events of a stream for a caller.
#[derive(Debug)]
pub struct Sender {
    backlog: Backlog,
    chunks: mpsc::Sender<io::Result<Bytes>>,
    /// The bytes that may wait, and the memory that they are taken from.
    limit: Option<(usize, Memory)>,
    paused: Cell<Duration>,
}

/// The queued events of a stream.
#[derive(Debug)]
pub struct Receiver {
    backlog: Backlog,
    chunks: mpsc::Receiver<io::Result<Bytes>>,
}

/// Creates the queue of a stream. With a limit, that many bytes may wait for the
/// caller, and they are taken from the memory.
pub fn channel(limit: Option<(usize, Memory)>) -> (Sender, Receiver) {
    let length = limit.as_ref().map_or(MAX_CHUNKS, |(bytes, _)| {
        // The limit on bytes is reached first.
        bytes / CHUNK_BYTES + 2
    });
    let (sender, receiver) = mpsc::channel(length);
    let backlog = Backlog::default();

    (
        Sender {
            backlog: backlog.clone(),
            chunks: sender,
            limit,
            paused: Cell::default(),
        },
        Receiver {
            backlog,
            chunks: receiver,
        },
    )
}

impl Sender {
    /// Queues events, and waits while too many bytes wait for the caller.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub async fn send(&self, mut events: Bytes) -> Result<(), Closed> {
        let Some((limit, memory)) = &self.limit else {
            let size = events.len();
            let chunk = self.backlog.hold(events, size, None);
            return Ok(self.chunks.send(Ok(chunk)).await?);
        };

        while !events.is_empty() {
            let (length, share) = match self.take(events.len(), *limit, memory) {
                Next::Take(length, share) => (length, share),
                Next::Read | Next::Memory => self.wait(events.len(), *limit, memory).await,
            };
            let bytes = events.split_to(length);
            let chunk = self.backlog.hold(bytes, length + CHUNK_BYTES, Some(share));
            self.chunks.send(Ok(chunk)).await?;
        }

        Ok(())
    }

    /// Aborts the caller's connection, so that the answer does not look complete.
    pub async fn abort(&self, message: &str) {
        // Fails only if the caller has disconnected.
        let _ = self
            .chunks
            .send(Err(io::Error::other(message.to_owned())))
            .await;
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Returns for how long events had to wait before they could be queued.
    pub fn paused(&self) -> Duration {
        self.paused.get()
    }

    /// Takes memory for the next chunk of `length` bytes or fewer.
    fn take(&self, length: usize, limit: usize, memory: &Memory) -> Next {
        /// Share of the limit that has to be free for a chunk that is shorter than the
        /// events, so that events are not cut into tiny chunks.
        const MIN_CHUNK_SHARE: usize = 4;

        let waiting = self.backlog.waiting();
        let room = limit.saturating_sub(waiting + CHUNK_BYTES);

        if room < length.min(limit / MIN_CHUNK_SHARE) || room == 0 {
            return Next::Read;
        }

        let length = length.min(room);
        let share = memory.share(length + CHUNK_BYTES, waiting == 0);
        share.map_or(Next::Memory, |share| Next::Take(length, share))
    }

    /// Waits until the next chunk can be taken.
    async fn wait(&self, length: usize, limit: usize, memory: &Memory) -> (usize, Share) {
        let _pause = Pause {
            paused: &self.paused,
            since: Instant::now(),
        };

        loop {
            let read = self.backlog.0.freed.notified();
            let freed = memory.freed();

            match self.take(length, limit, memory) {
                Next::Take(length, share) => return (length, share),
                Next::Read => read.await,
                Next::Memory => tokio::select! {
                    () = read => {}
                    () = freed => {}
                },
            }
        }
    }
}

impl Receiver {
    /// Returns the bytes that wait for the caller.
    pub const fn backlog(&self) -> &Backlog {
        &self.backlog
    }

    /// Returns the next chunk.
    pub fn poll(&mut self, context: &mut Context) -> Poll<Option<io::Result<Bytes>>> {
        self.chunks.poll_recv(context)
    }
}
