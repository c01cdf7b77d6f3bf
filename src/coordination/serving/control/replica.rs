//! What is known of one kind of the store's objects, and who waits for more.

use {
    crate::state::{
        clock::Time,
        serving::mirror::{Mirror, Relayed},
    },
    tokio::sync::oneshot,
};

/// What is known of one kind.
#[derive(Debug, Default)]
pub(super) struct Replica {
    pub(super) last_asked: Time,
    /// Whether a question to a peer waits for its answer.
    pub(super) request_pending: bool,
    /// Whether the last call to the store failed.
    pub(super) store_failed: bool,
    /// When the store confirmed the copy, here or at the host that is
    /// followed.
    pub(super) confirmed_at: Time,
    pub(super) mirror: Mirror,
    /// Questions to peers one after the other that did not help.
    pub(super) peer_failures: u32,
    /// Peers that wait for a change.
    pub(super) waiting: Vec<Waiter>,
}

/// A peer that waits for a change.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) deadline: Time,
    pub(super) reply: oneshot::Sender<Relayed>,
    pub(super) revision: u64,
}

impl Replica {
    /// Answers the peers whose change has come or whose time is over.
    pub(super) fn answer_waiters(&mut self, now: Time) {
        let changed = self.mirror.changed();
        let (due, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition::<Vec<Waiter>, _>(|waiting| {
                waiting.deadline <= now || waiting.revision < changed
            });
        self.waiting = waiting;

        for waiting in due {
            // The peer is gone if this fails.
            let _ = waiting.reply.send(Relayed {
                age: now.since(self.confirmed_at),
                changes: self.mirror.since(waiting.revision),
            });
        }
    }
}
