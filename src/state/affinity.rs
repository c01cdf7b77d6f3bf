//! Rendezvous hashing: a prompt prefix prefers the same endpoints on every
//! host, and adding or removing an endpoint affects only the prefixes for which
//! it is among the preferred ones.

/// Returns a hash of an endpoint's id that is the same on every host.
pub fn hash(text: &str) -> u64 {
    // FNV-1a, because the standard hasher may change between releases.
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(hash)
}

/// Returns the `count` endpoints with the highest scores, best first, as
/// positions in `hashes`. Takes one pass over the pool and allocates nothing
/// per endpoint.
pub fn ranked(prefix: u64, hashes: &[u64], count: usize) -> Vec<usize> {
    let prefix = mix(prefix);
    let mut best: Vec<(u64, usize)> = Vec::with_capacity(count + 1);

    for (position, hash) in hashes.iter().enumerate() {
        let score = mix(hash ^ prefix);

        if best.len() == count && best.last().is_some_and(|last| score <= last.0) {
            continue;
        }

        let at = best.partition_point(|entry| entry.0 > score);
        best.insert(at, (score, position));
        best.truncate(count);
    }

    best.into_iter().map(|entry| entry.1).collect()
}

/// Returns the load from which an affinity candidate is skipped: `factor`
/// times the pool's `mean`, rounded up, and at least one call.
pub fn load_bound(mean: f64, factor: f64) -> f64 {
    (factor * mean).ceil().max(1.0)
}

/// Applies the finalizer of `SplitMix64`.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
