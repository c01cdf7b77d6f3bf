//! Endpoints, their load reports and their cache events.

use {
    crate::state::id,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Whether an endpoint accepts new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    Leaving,
    Live,
}

/// An endpoint as listed in the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub domain: id::Domain,
    pub endpoint: id::Endpoint,
    pub phase: Phase,
    pub pool: id::Pool,
}

/// The load that an endpoint reports about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Age of the report when it was read.
    pub age: Duration,
    pub capacity: u32,
    pub queued: u32,
    pub running: u32,
}

/// How an endpoint's prefix cache changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    Evicted,
    Stored,
}

/// A change of one prefix in an endpoint's cache. Events may arrive late or be
/// missing; gaps show in `sequence`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    pub change: CacheEventKind,
    pub prefix: u64,
    pub sequence: u64,
}
