//! Which of the hosts' addresses callers are told to use.

use {
    crate::state::{
        fleet::member::{Member, Phase},
        id,
    },
    std::net::SocketAddr,
};

/// Most addresses in one answer; callers use no more.
const MAX_ADDRESSES: usize = 64;

/// Returns the caller addresses of the hosts that take requests, those of the
/// caller's failure domain first.
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
