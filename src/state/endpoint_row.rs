//! Endpoints as they are reported to operators.

use {
    crate::state::{endpoint::Phase, id},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The state of one endpoint as seen by this host.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Row {
    pub address: SocketAddr,
    pub domain: id::Domain,
    pub ejected: bool,
    pub endpoint: id::Endpoint,
    /// Calls of this host in progress.
    pub outstanding: u32,
    pub phase: Phase,
    pub pool: id::Pool,
    /// Calls of all hosts in the endpoint's queue, as last reported by it.
    pub queued: u32,
    /// Running calls of all hosts, as last reported by the endpoint.
    pub running: u32,
}
