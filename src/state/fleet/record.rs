//! The record by which a host registers in the store.

use {crate::state::id, std::net::SocketAddr};

/// What other hosts need to know of a host before they have heard from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    pub capacity: u32,
    pub host: id::Host,
    pub peer_address: SocketAddr,
}
