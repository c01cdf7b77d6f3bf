//! Events that a settings replica handles.

use crate::state::{
    id,
    settings::change::{Change, Draft},
    settings::proposal::Creation,
    settings::snapshot::{Batch, Floor, Snapshot},
};

/// Event for a settings replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// The creation of a change was answered or abandoned.
    Created {
        creation: Creation,
        operation: String,
    },
    ListFailed,
    /// Changes read from the store, and its floor, which was read after them.
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
    /// All peers that have a newer version; replaces the previous list.
    Peers(Vec<id::Host>),
    /// Snapshot read from the store, or `None` if there is none.
    SnapshotRead(Option<Snapshot>),
    SnapshotFailed,
    /// An attempt to write a snapshot ended. Contains the current floor, or
    /// `None` if the attempt failed.
    SnapshotWritten(Option<Floor>),
    Submitted {
        draft: Draft,
        ticket: u64,
    },
    Tick,
    /// Rank of this host among the watchers, or `None` if it is not a watcher.
    WatcherRank(Option<usize>),
    WatchFailed,
    /// Changes received from the watch, in the order of their writes.
    Watched {
        changes: Vec<Change>,
        revision: u64,
    },
}

impl Event {
    /// Returns whether the event is a response from the store.
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
