//! What a replica of the settings is told.

use crate::state::{
    id,
    settings::change::{Change, Draft},
    settings::proposal::Creation,
    settings::snapshot::{Batch, Floor, Snapshot},
};

/// An event for the replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// The creation of a change was answered or given up.
    Created {
        creation: Creation,
        operation: String,
    },
    ListFailed,
    /// Changes read from the store, and after them its floor.
    Listed {
        changes: Vec<Change>,
        floor: Floor,
        revision: u64,
    },
    PeerAnswered {
        batch: Batch,
        peer: id::Host,
    },
    PeerFailed {
        peer: id::Host,
    },
    /// The peers that have a newer version; replaces what was known.
    Peers(Vec<id::Host>),
    /// The snapshot read from the store, if there is one.
    SnapshotRead(Option<Snapshot>),
    SnapshotFailed,
    /// An attempt to write a snapshot ended; the floor as it is now, if known.
    SnapshotWritten(Option<Floor>),
    Submitted {
        draft: Draft,
        ticket: u64,
    },
    Tick,
    /// This host's place among the watchers, if it is one.
    WatcherRank(Option<usize>),
    WatchFailed,
    /// Changes seen by the watch, in the order in which they were written.
    Watched {
        changes: Vec<Change>,
        revision: u64,
    },
}

impl Event {
    /// Whether the event shows that the store has answered.
    pub fn is_store_response(&self) -> bool {
        matches!(
            self,
            Self::Created {
                creation: Creation::Answered,
                ..
            } | Self::Listed { .. }
                | Self::SnapshotRead(_)
                | Self::SnapshotWritten(Some(_))
                | Self::Watched { .. }
        )
    }
}
