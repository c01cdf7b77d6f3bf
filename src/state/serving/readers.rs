//! Which hosts read the store.
//!
//! The store's rates grow more slowly than the fleet, so a few hosts read it
//! and the others follow these. Hosts that disagree on who is alive have more
//! readers for a moment, which costs calls and nothing else.

use {
    crate::state::{fleet::member::Member, id, rendezvous},
    std::{cmp::Reverse, net::SocketAddr},
};

/// Hosts that read the store. Smaller fleets read it on every host.
pub const READERS: usize = 8;

/// What a host has to do to stay up to date.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// Follow these hosts, the first one unless it fails.
    Follow(Vec<SocketAddr>),
    /// Read the store.
    Read,
}

/// Returns the role of a host among those that are alive.
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
