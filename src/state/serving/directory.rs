//! The host addresses that are returned to callers.

use {
    crate::state::{
        fleet::member::{Member, Phase},
        id,
    },
    std::net::SocketAddr,
};

/// Maximum number of addresses in one answer. Callers use no more than that.
const MAX_ADDRESSES: usize = 64;

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
