//! The record of an entry host that peers exchange.

use {
    crate::state::{clock::Time, id},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Whether a member is considered to be up.
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
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe and may still refute the suspicion.
    Suspect,
    /// The member accepts no new work.
    Leaving,
    /// The member is considered to be down.
    Gone,
}

/// The record of one entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Member {
    pub caller_address: SocketAddr,
    /// Capacity of the member, relative to other members.
    #[serde(default = "one")]
    pub capacity: u32,
    /// The member's own clock when it created this record. Comparable only with
    /// other records of the same member.
    pub clock: Time,
    /// Requests in progress by team, for the largest teams only.
    pub demand: BTreeMap<id::Team, u32>,
    pub domain: id::Domain,
    /// Revision of the newest entry in the member's list of endpoints.
    #[serde(default)]
    pub endpoints: u64,
    /// Era of the store to which the revisions in this record belong. A revision of 0
    /// says that the member's copy is of an earlier era.
    #[serde(default)]
    pub era: u32,
    /// Revision of the newest change of the evacuated failure domains.
    #[serde(default)]
    pub evacuations: u64,
    pub host: id::Host,
    pub incarnation: id::Incarnation,
    /// Requests in progress.
    pub outstanding: u32,
    pub peer_address: SocketAddr,
    pub phase: Phase,
    /// Version of the settings tree, or revision of the configuration, that is in
    /// effect on the member.
    pub settings: u64,
}

const fn one() -> u32 {
    1
}
