//! Actions that a settings replica requests.

use crate::state::{
    id,
    settings::change::{Change, Outcome},
    settings::snapshot::{Floor, Snapshot},
};

/// Call, write or reply that the replica requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    AskPeer { after: u64, peer: id::Host },
    Create(Change),
    List { after: u64 },
    ReadSnapshot,
    Reply { outcome: Outcome, ticket: u64 },
    Watch { after: u64 },
    WriteSnapshot { floor: Floor, snapshot: Snapshot },
}
