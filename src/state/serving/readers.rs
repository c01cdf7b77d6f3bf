//! Selects the hosts that read the store.
//!
//! The store's rate limits grow more slowly than the fleet, so only a few hosts
//! read it and the others follow them. While hosts disagree about which hosts
//! are alive, there are temporarily more readers. This only costs extra calls.

use {
    crate::state::{fleet::member::Member, id, rendezvous},
    std::{cmp::Reverse, net::SocketAddr},
};

/// Number of hosts that read the store. In smaller fleets every host reads it.
pub const READERS: usize = 8;

/// How a host stays up to date with the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// Follow the first of these hosts that does not fail.
    Follow(Vec<SocketAddr>),
    /// Read the store directly.
    Read,
}

/// Returns the role of a host, given the members that are alive.
pub fn role<'a>(local: &id::Host, alive: impl Iterator<Item = &'a Member>) -> Role {
    let mut members = alive.collect::<Vec<&Member>>();
    let score = |member: &Member| {
        rendezvous::score(&"store reader", &member.host.as_str(), member.capacity)
    };
    members.sort_by(|a, b| score(b).total_cmp(&score(a)));
    members.truncate(READERS);

    if members.len() < READERS || members.iter().any(|member| member.host == *local) {
        return Role::Read;
    }

    members.sort_by_cached_key(|member| {
        Reverse(rendezvous::weight(&local.as_str(), &member.host.as_str()))
    });
    Role::Follow(members.iter().map(|member| member.peer_address).collect())
}
