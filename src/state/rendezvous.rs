//! Rendezvous hashing: every host computes the same choice without agreement,
//! and a change of the candidates moves only what it must.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the weight of a candidate for a key; the highest weight wins.
///
/// The same on every host and after a restart, since `DefaultHasher::new` has
/// fixed keys.
pub fn weight(key: &impl Hash, candidate: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    candidate.hash(&mut hasher);
    hasher.finish()
}

/// Returns the score of a candidate for a key by its capacity; the highest
/// score wins. A candidate wins as often as its part of all capacity says.
pub fn score(key: &impl Hash, candidate: &impl Hash, capacity: u32) -> f64 {
    let weight = weight(key, candidate);
    let uniform = (weight >> 11) as f64 / (1u64 << 53) as f64;
    -f64::from(capacity.max(1)) / uniform.max(f64::MIN_POSITIVE).ln()
}
