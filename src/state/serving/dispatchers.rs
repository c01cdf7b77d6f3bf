//! Chooses the hosts that dispatch the pieces of a service.
//!
//! Every host computes the same order. Two hosts that know different members
//! choose different dispatchers, whose calls meet at the same endpoints. A host
//! that has just started knows nobody, so it also counts the hosts that are
//! registered in the store: after a loss of power all hosts start at once, and
//! each would otherwise dispatch on its own until it has heard from the others.

use {
    crate::state::{
        fleet::{
            member::{Member, Phase},
            record::Record,
        },
        id, rendezvous,
    },
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
    },
};

/// Number of dispatchers that are tried for one job.
pub const MAX_DISPATCHERS: usize = 3;

/// What a host knows of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// This host, unless it is leaving.
    pub local: Option<&'a Member>,
    pub members: &'a [Member],
    /// Hosts registered in the store that count although nothing was heard from
    /// them. Empty once this host has had time to hear from all live hosts.
    pub registered: &'a [Record],
    /// Addresses of registered hosts that could not be reached.
    pub unreachable: &'a HashSet<SocketAddr>,
}

/// Returns the peer addresses of the dispatchers for a service, in order of
/// preference; `None` stands for this host. Empty if no host is known.
pub fn rank(service: &id::Pool, fleet: Fleet) -> Vec<Option<SocketAddr>> {
    let mut known = fleet
        .members
        .iter()
        .map(|member| {
            let alive = member.phase == Phase::Alive;
            (
                &member.host,
                alive.then_some((Some(member.peer_address), member.capacity)),
            )
        })
        .collect::<HashMap<_, _>>();

    for record in fleet.registered {
        if !fleet.unreachable.contains(&record.peer_address) {
            known
                .entry(&record.host)
                .or_insert(Some((Some(record.peer_address), record.capacity)));
        }
    }

    if let Some(local) = fleet.local {
        known.insert(&local.host, Some((None, local.capacity)));
    }

    let mut order = known
        .into_iter()
        .filter_map(|(host, candidate)| {
            let (address, capacity) = candidate?;
            let weight = dispatch_weight(capacity);
            let score = rendezvous::score(&service.as_str(), &host.as_str(), weight);
            Some((score, host, address))
        })
        .collect::<Vec<_>>();
    order.sort_by(|(a, first, _), (b, second, _)| b.total_cmp(a).then(first.cmp(second)));
    let addresses = order.into_iter().map(|(_, _, address)| address);
    addresses.take(MAX_DISPATCHERS).collect()
}

/// Returns the weight of a host in the choice of a dispatcher. Dispatching one
/// pool takes most of a small host's capacity, so large hosts are preferred by
/// more than the ratio of their capacities.
fn dispatch_weight(capacity: u32) -> u32 {
    capacity.saturating_pow(3)
}
