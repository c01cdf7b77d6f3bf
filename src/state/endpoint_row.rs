//! Endpoints in the form operators see.

use {
    crate::state::{endpoint::Phase, id},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Row {
    pub address: SocketAddr,
    pub domain: id::Domain,
    pub ejected: bool,
    pub endpoint: id::Endpoint,
    /// This host's calls in progress.
    pub outstanding: u32,
    pub phase: Phase,
    pub pool: id::Pool,
    /// Calls of all hosts in the endpoint's queue, as last reported.
    pub queued: u32,
    /// Running calls of all hosts, as last reported.
    pub running: u32,
}
