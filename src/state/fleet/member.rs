//! One entry host as its peers see it.

use {
    crate::state::{clock::Time, id},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Whether a member is taken to be up.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize
)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    Alive,
    Suspect,
    Leaving,
    Gone,
}

/// One entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Member {
    pub caller_address: SocketAddr,
    /// What the member can carry, relative to others.
    #[serde(default = "one")]
    pub capacity: u32,
    /// The member's own clock when it made this record, read only by itself.
    pub clock: Time,
    /// Requests in progress by team, the largest teams only.
    pub demand: BTreeMap<id::Team, u32>,
    pub domain: id::Domain,
    pub host: id::Host,
    pub incarnation: id::Incarnation,
    /// Requests in progress.
    pub outstanding: u32,
    pub peer_address: SocketAddr,
    pub phase: Phase,
    /// Version of the settings tree in force on the member.
    pub settings: u64,
}

const fn one() -> u32 {
    1
}
