//! Ranking of the hosts that a caller should use.

use {
    crate::{
        protocol::caller::{Entrypoint, Entrypoints},
        state::{
            fleet::member::{Member, Phase},
            id, rendezvous,
            view::View,
        },
    },
    std::time::Duration,
};

/// Time for which callers may cache the answer.
const CACHE_TIME: Duration = Duration::from_secs(2);

/// Maximum number of entry points in one answer.
const MAX_ENTRYPOINTS: usize = 16;

/// Ranks the hosts that accept new work: those in the caller's domain first,
/// each group by a hash of caller and host weighted by load, so that callers
/// spread over the hosts and each caller's ranking is stable.
pub fn rank(view: &View, domain: Option<&id::Domain>, caller: &str) -> Entrypoints {
    let mut members: Vec<&Member> = view
        .members
        .iter()
        .chain([&view.local])
        .filter(|member| member.phase == Phase::Alive)
        .collect();
    members.sort_by(|a, b| {
        let in_domain = |member: &Member| domain.is_some_and(|domain| member.domain == *domain);
        in_domain(b)
            .cmp(&in_domain(a))
            .then(cost(caller, a).total_cmp(&cost(caller, b)))
    });

    Entrypoints {
        entrypoints: members
            .into_iter()
            .take(MAX_ENTRYPOINTS)
            .map(|member| Entrypoint {
                address: member.caller_address,
                domain: member.domain.clone(),
                host: member.host.clone(),
            })
            .collect(),
        keep: CACHE_TIME,
    }
}

/// Returns the weighted rendezvous cost. A host with twice as many outstanding
/// requests ranks first for about half as many callers.
fn cost(caller: &str, member: &Member) -> f64 {
    let hash = rendezvous::weight(&caller, &member.host);
    let uniform = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    -(uniform.max(f64::MIN_POSITIVE)).ln() * (1.0 + f64::from(member.outstanding))
}
