//! The local copy of one kind of the store's objects, and the peers that wait
//! for changes to it.

use {
    crate::{
        coordination::serving::follower,
        protocol::adapter::Kind,
        state::{
            clock::Time,
            serving::{
                catch_up::CatchUp,
                mirror::{Mirror, RelayedChanges},
                revision::Revision,
            },
        },
        transport::packing,
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
    /// The requests to peers.
    pub(super) catch_up: CatchUp,
    /// Whether this host reads the store.
    pub(super) mode: follower::Mode,
    /// Whether the last call to the store failed.
    pub(super) store_failed: bool,
    /// When the store last confirmed the copy, either to this host or to the
    /// peer that it follows.
    pub(super) confirmed_at: Time,
    pub(super) mirror: Mirror,
    /// Requests of peers that are held until a change arrives.
    pub(super) waiting: Vec<Waiter>,
}

/// A request of a peer that is held until a change arrives.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) deadline: Time,
    pub(super) reply: oneshot::Sender<RelayedChanges>,
    pub(super) revision: Revision,
}

impl Replica {
    /// Returns the highest revision that a member can report without having changes of
    /// a kind that this copy lacks.
    pub(super) fn covered_revision(&self, kind: Kind) -> Revision {
        match kind {
            Kind::Config | Kind::Endpoints => {
                Revision::new(self.mirror.era(), self.newest_revision())
            }
            // Members report removals, too, which a listing does not show.
            Kind::Evacuations => self.mirror.revision().unwrap_or_default(),
        }
    }

    /// Returns the highest revision of the objects in the era of the copy.
    pub(super) fn newest_revision(&self) -> u64 {
        let objects = self.mirror.objects();
        objects.map(|object| object.revision).max().unwrap_or(0)
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
            let changes = self.mirror.since(waiter.revision);
            // The thread that sends the answer also serves requests.
            packing::prepare(&changes);
            // Fails only if the peer no longer waits.
            let _ = waiter.reply.send(RelayedChanges { age, changes });
        }
    }
}
