//! Selects the endpoints of a large pool that one host uses.

use {
    crate::state::{endpoint::Endpoint, id, rendezvous},
    std::collections::BTreeMap,
};

/// Maximum number of endpoints of one pool that a host uses. A host uses every
/// endpoint of a smaller pool. In larger pools the limit keeps a host's
/// connections and load reports constant while the fleet grows.
pub const SIZE: usize = 64;

/// Returns, for each pool, the `size` endpoints with the highest rendezvous
/// weight for this host, so that a change of the pool replaces few of them.
pub fn subset(host: &id::Host, endpoints: Vec<Endpoint>, size: usize) -> Vec<Endpoint> {
    let mut pools: BTreeMap<id::Pool, Vec<Endpoint>> = BTreeMap::new();

    for endpoint in endpoints {
        pools
            .entry(endpoint.pool.clone())
            .or_default()
            .push(endpoint);
    }

    pools
        .into_values()
        .flat_map(|mut pool| {
            if pool.len() > size {
                pool.sort_by_cached_key(|endpoint| {
                    std::cmp::Reverse(rendezvous::weight(host, &endpoint.endpoint))
                });
                pool.truncate(size);
            }
            pool
        })
        .collect()
}
