//! The part of a large pool that one host uses.

use {
    crate::state::{endpoint::Endpoint, id, rendezvous},
    std::collections::BTreeMap,
};

/// Endpoints of one pool that a host uses. Today's pools are smaller, so every
/// host uses all of them; in larger ones the connections and load reports of a
/// host stay constant while the fleet grows.
pub const SIZE: usize = 64;

/// Keeps, in each pool, the `size` endpoints with the highest rendezvous hash
/// for this host, so that a change of the pool moves few of them.
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
