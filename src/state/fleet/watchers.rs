//! Selects the hosts that watch the store on behalf of all others.

use {
    crate::state::{id, rendezvous},
    std::collections::BTreeMap,
};

/// Number of watchers in each region.
const WATCHERS_PER_REGION: usize = 2;

/// Returns the region of a failure domain: the part before its last `-`, or the
/// whole name if it has none.
pub fn region(domain: &id::Domain) -> &str {
    let domain = domain.as_str();
    domain.rsplit_once('-').map_or(domain, |(region, _)| region)
}

/// Returns the watchers among the given live hosts by rank, highest first. All
/// hosts compute the same order.
pub fn watchers<'a>(
    hosts: impl Iterator<Item = (&'a id::Host, &'a id::Domain)>,
) -> Vec<&'a id::Host> {
    let mut regions = BTreeMap::<&str, Vec<(u64, &id::Host)>>::new();

    for (host, domain) in hosts {
        let entry = regions.entry(region(domain)).or_default();
        entry.push((rendezvous::weight(&"watch", host), host));
        entry.sort_unstable_by(|a, b| b.cmp(a));
        entry.truncate(WATCHERS_PER_REGION);
    }

    let mut watchers = regions.into_values().flatten().collect::<Vec<_>>();
    watchers.sort_unstable_by(|a, b| b.cmp(a));
    watchers.into_iter().map(|(_, host)| host).collect()
}
