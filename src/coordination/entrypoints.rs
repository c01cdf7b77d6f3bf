//! Which hosts a caller should use.

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

/// How long callers may keep the answer.
const KEEP: Duration = Duration::from_secs(2);

/// Most addresses in one answer.
const COUNT: usize = 16;

/// Ranks the hosts that take new work: those in the caller's domain first,
/// and within a domain by a hash of caller and host weighted by load, so that
/// callers spread over hosts and each caller's ranking is stable.
pub fn rank(view: &View, domain: Option<&id::Domain>, caller: &str) -> Entrypoints {
    let mut members: Vec<&Member> = view
        .members
        .iter()
        .chain([&view.local])
        .filter(|member| member.phase == Phase::Alive)
        .collect();
    members.sort_by(|a, b| {
        let near = |member: &Member| domain.is_some_and(|domain| member.domain == *domain);
        near(b)
            .cmp(&near(a))
            .then(cost(caller, a).total_cmp(&cost(caller, b)))
    });

    Entrypoints {
        entrypoints: members
            .into_iter()
            .take(COUNT)
            .map(|member| Entrypoint {
                address: member.caller_address,
                domain: member.domain.clone(),
                host: member.host.clone(),
            })
            .collect(),
        keep: KEEP,
    }
}

/// Returns the weighted rendezvous cost: a host with twice the requests is
/// first for about half the callers.
fn cost(caller: &str, member: &Member) -> f64 {
    let hash = rendezvous::weight(&caller, &member.host);
    let share = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    -(share.max(f64::MIN_POSITIVE)).ln() * (1.0 + f64::from(member.outstanding))
}
