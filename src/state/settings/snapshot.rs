//! The settings at one version, and what a host tells another.

use {
    crate::state::{settings::change::Change, settings::tree::Tree},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The whole settings at one version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Snapshot {
    pub version: u64,
    pub tree: Tree,
    /// The operations of the latest changes by version, so that a repeated
    /// submission is recognised.
    pub operations: BTreeMap<u64, String>,
}

/// How much of the log of changes the store still holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Floor {
    /// Version of the latest snapshot.
    pub snapshot: u64,
    /// Changes up to this version may be deleted. An object of such a version
    /// was created too late and is not part of the log.
    pub through: u64,
}

/// What a host tells a peer that has an older version.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Batch {
    Changes(Vec<Change>),
    Snapshot(Snapshot),
}

impl Batch {
    /// Returns the version that the batch leads to, if it holds one.
    pub fn version(&self) -> Option<u64> {
        match self {
            Self::Changes(changes) => changes.last().map(|change| change.version),
            Self::Snapshot(snapshot) => Some(snapshot.version),
        }
    }
}
