//! Snapshots of the settings, and batches of changes between hosts.

use {
    crate::state::{settings::change::Change, settings::tree::Tree},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Complete settings at one version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Snapshot {
    pub version: u64,
    pub tree: Tree,
    /// Operation ids of the latest changes by version, to recognize a repeated
    /// submission.
    pub operations: BTreeMap<u64, String>,
}

/// Lower bounds of the log of changes in the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Floor {
    /// Version of the latest snapshot.
    pub snapshot: u64,
    /// Changes up to this version may be deleted from the store. An object with
    /// such a version may have been created too late, so it does not count as
    /// part of the log.
    pub through: u64,
}

/// Answer to a peer that has an older version.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Batch {
    Changes(Vec<Change>),
    Snapshot(Snapshot),
}

impl Batch {
    /// Returns the version after the batch, or `None` if it has no changes.
    pub fn version(&self) -> Option<u64> {
        match self {
            Self::Changes(changes) => changes.last().map(|change| change.version),
            Self::Snapshot(snapshot) => Some(snapshot.version),
        }
    }
}
