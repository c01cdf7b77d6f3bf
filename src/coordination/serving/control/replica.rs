//! The local copy of one kind of the store's objects, and the peers that wait
//! for changes to it.

use {
    crate::state::{
        clock::Time,
        serving::mirror::{Mirror, RelayedChanges},
    },
    tokio::sync::oneshot,
};

/// The local copy of one kind and the state of its updates.
#[derive(Debug, Default)]
pub(super) struct Replica {
    /// When a peer was last asked for changes.
    pub(super) last_asked: Time,
    /// Whether a request to a peer is in flight.
    pub(super) request_pending: bool,
    /// Whether the last call to the store failed.
    pub(super) store_failed: bool,
    /// When the store last confirmed the copy, either to this host or to the
    /// peer that it follows.
    pub(super) confirmed_at: Time,
    pub(super) mirror: Mirror,
    /// Number of consecutive requests to peers that failed or returned a stale
    /// copy.
    pub(super) peer_failures: u32,
    /// Requests of peers that are held until a change arrives.
    pub(super) waiting: Vec<Waiter>,
}

/// A request of a peer that is held until a change arrives.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) deadline: Time,
    pub(super) reply: oneshot::Sender<RelayedChanges>,
    pub(super) revision: u64,
}

impl Replica {
    /// Answers the waiting peers for which a change has arrived or whose
    /// deadline has passed.
    pub(super) fn answer_waiters(&mut self, now: Time) {
        let changed = self.mirror.last_change();
        let (due, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition::<Vec<Waiter>, _>(|waiter| {
                waiter.deadline <= now || waiter.revision < changed
            });
        self.waiting = waiting;

        for waiter in due {
            // Fails only if the peer no longer waits.
            let _ = waiter.reply.send(RelayedChanges {
                age: now.since(self.confirmed_at),
                changes: self.mirror.since(waiter.revision),
            });
        }
    }
}
