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
