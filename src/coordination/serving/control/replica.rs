//! The local copy of one kind of the store's objects, and the peers that wait
//! for changes to it.

use {
    crate::{
        coordination::serving::{control::peers::Request, follower},
        state::{
            clock::Time,
            serving::mirror::{Mirror, RelayedChanges},
        },
    },
    std::time::Duration,
    tokio::sync::oneshot,
};

/// Age reported for a copy of which the last call to the store failed. A host
/// that follows it has to turn to another one at once.
const UNCONFIRMED_AGE: Duration = Duration::from_secs(3600);

/// The local copy of one kind and the state of its updates.
#[derive(Debug, Default)]
pub(super) struct Replica {
    /// When a peer was last asked for changes.
    pub(super) last_asked: Time,
    /// Whether a request to a peer is in flight.
    pub(super) request_pending: bool,
    /// Whether this host reads the store.
    pub(super) mode: follower::Mode,
    /// Whether the last call to the store failed.
    pub(super) store_failed: bool,
    /// When the store last confirmed the copy, either to this host or to the
    /// peer that it follows.
    pub(super) confirmed_at: Time,
    pub(super) mirror: Mirror,
    /// Number of consecutive failures to follow a peer: requests that failed or
    /// returned a stale copy.
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
    /// Records the end of a request to a peer.
    pub(super) fn record_request(&mut self, request: Request, fresh: bool) {
        self.request_pending = false;

        match (request, fresh) {
            (Request::Once, _) => {}
            (Request::Follow, true) => self.peer_failures = 0,
            (Request::Follow, false) => self.peer_failures = self.peer_failures.saturating_add(1),
        }
    }

    /// Answers the waiting peers for which a change has arrived or whose
    /// deadline has passed, and all of them if the last call to the store failed.
    pub(super) fn answer_waiters(&mut self, now: Time) {
        let changed = self.mirror.last_change();
        let (due, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition::<Vec<Waiter>, _>(|waiter| {
                self.store_failed || waiter.deadline <= now || waiter.revision < changed
            });
        self.waiting = waiting;
        let age = if self.store_failed {
            UNCONFIRMED_AGE
        } else {
            now.since(self.confirmed_at)
        };

        for waiter in due {
            // Fails only if the peer no longer waits.
            let _ = waiter.reply.send(RelayedChanges {
                age,
                changes: self.mirror.since(waiter.revision),
            });
        }
    }
}
