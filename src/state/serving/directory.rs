//! The host addresses that are returned to callers.

use {
    crate::state::{
        fleet::member::{Member, Phase},
        id, rendezvous,
    },
    std::{
        collections::HashSet,
        net::{IpAddr, SocketAddr},
    },
};

/// Maximum number of addresses in one answer. Callers use no more than that.
const MAX_ADDRESSES: usize = 64;

/// Number of addresses in an answer that is weighted by capacity. Callers use the
/// addresses of an answer equally, so the more of them it has, the less the share of
/// a host depends on its capacity; the fewer, the more callers lose their connections
/// with one host.
const WEIGHTED_ADDRESSES: usize = 24;

/// Returns the caller addresses of the hosts that are alive, without duplicates,
/// those in the caller's failure domain first.
pub fn addresses<'a>(
    members: impl Iterator<Item = &'a Member>,
    domain: Option<&id::Domain>,
) -> Vec<SocketAddr> {
    let mut open = members
        .filter(|member| member.phase == Phase::Alive)
        .collect::<Vec<&Member>>();
    open.sort_by_key(|member| (Some(&member.domain) != domain, member.caller_address));
    open.dedup_by_key(|member| member.caller_address);
    open.iter()
        .take(MAX_ADDRESSES)
        .map(|member| member.caller_address)
        .collect()
}

/// Returns the caller addresses of the hosts that one caller should use, without
/// duplicates, best first.
///
/// The larger the capacity of a host, the more callers get its address. Each
/// failure domain with hosts that are alive has at least one address, so that the
/// loss of another domain does not cut the caller off. A host that comes or goes
/// changes few of the addresses.
pub fn weighted_addresses<'a>(
    members: impl Iterator<Item = &'a Member>,
    caller: IpAddr,
) -> Vec<SocketAddr> {
    let order = by_score(members, caller);
    let mut domains = HashSet::new();
    let (first_of_domain, others) = order
        .iter()
        .copied()
        .partition::<Vec<&Member>, _>(|member| domains.insert(&member.domain));
    let chosen = first_of_domain.into_iter().chain(others);
    let chosen = chosen.take(WEIGHTED_ADDRESSES).map(|member| &member.host);
    let chosen = chosen.collect::<HashSet<&id::Host>>();

    order
        .into_iter()
        .filter(|member| chosen.contains(&member.host))
        .map(|member| member.caller_address)
        .collect()
}

/// Returns the hosts that are alive, in a caller's order of preference. Of the
/// hosts with the same address, only one counts.
fn by_score<'a>(members: impl Iterator<Item = &'a Member>, caller: IpAddr) -> Vec<&'a Member> {
    // A caller may reach a listener for both families under either form.
    let caller = caller.to_canonical().to_string();
    let mut order = members
        .filter(|member| member.phase == Phase::Alive)
        .map(|member| {
            let host = member.host.as_str();
            let score = rendezvous::score(&caller.as_str(), &host, member.capacity);
            (score, member)
        })
        .collect::<Vec<(f64, &Member)>>();
    order.sort_by(|(a, first), (b, second)| b.total_cmp(a).then(first.host.cmp(&second.host)));
    let mut addresses = HashSet::new();
    let order = order.into_iter().map(|(_, member)| member);
    order
        .filter(|member| addresses.insert(member.caller_address))
        .collect()
}
