//! What the decision code knows of an endpoint.

use {
    crate::state::id,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    Leaving,
    Live,
}

/// One endpoint as the host list shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub domain: id::Domain,
    pub endpoint: id::Endpoint,
    pub phase: Phase,
    pub pool: id::Pool,
}

/// An endpoint's own report of its load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// How old the report was when it was read.
    pub age: Duration,
    pub capacity: u32,
    pub queued: u32,
    pub running: u32,
}

/// What changed in an endpoint's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    Evicted,
    Stored,
}

/// One cache event of an endpoint. Events come late and with gaps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    pub change: CacheEventKind,
    pub prefix: u64,
    pub sequence: u64,
}
