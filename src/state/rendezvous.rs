//! Rendezvous hashing: every host computes the same choice without
//! coordination, and a change of the candidates reassigns as few keys as
//! possible.

use {
    siphasher::sip::SipHasher13,
    std::hash::{Hash, Hasher},
};

/// Returns the weight of a candidate for a key; the highest weight wins.
///
/// The weight is the same on every host, in every build. The standard hasher may
/// change with the compiler, and two builds of one fleet would then choose
/// different hosts.
pub fn weight(key: &impl Hash, candidate: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    key.hash(&mut hasher);
    candidate.hash(&mut hasher);
    hasher.finish()
}

/// Returns the capacity-weighted score of a candidate for a key; the highest
/// score wins. The fraction of keys that a candidate wins equals its fraction of
/// the total capacity.
pub fn score(key: &impl Hash, candidate: &impl Hash, capacity: u32) -> f64 {
    let weight = weight(key, candidate);
    let uniform = (weight >> 11) as f64 / (1u64 << 53) as f64;
    -f64::from(capacity.max(1)) / uniform.max(f64::MIN_POSITIVE).ln()
}
