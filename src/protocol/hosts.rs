//! The platform's host list; `docs/platform.md` lists its calls.

use {
    crate::state::{endpoint::Phase, id},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The pool name under which entry hosts are listed, with their peer address.
pub const ENTRY_POOL: &str = "entry";

/// One record of the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Host {
    pub address: SocketAddr,
    pub domain: id::Domain,
    pub id: String,
    pub phase: Phase,
    pub pool: id::Pool,
}

/// The host list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Hosts {
    pub hosts: Vec<Host>,
    pub revision: u64,
}
