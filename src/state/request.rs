//! The properties of a request on which scheduling depends.

use {
    crate::state::{clock::Time, id, pipeline::Stage},
    siphasher::sip::SipHasher13,
    std::hash::{Hash, Hasher},
};

/// A request without its body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    pub arrived: Time,
    pub class: id::Class,
    pub deadline: Time,
    /// Maximum number of generated tokens, 0 if the caller set none.
    pub max_tokens: u32,
    pub pipeline: id::Pipeline,
    /// Hash of the shared prompt prefix, for cache affinity.
    pub prefix: Option<u64>,
    /// Whether stages may be retried and hedged.
    pub repeatable: bool,
    pub request: id::Request,
    pub stages: Vec<Stage>,
    pub team: id::Team,
}

/// Returns the hash of a prompt prefix's name, which is the same on every host and
/// in every build.
pub fn prefix_hash(prefix: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    prefix.hash(&mut hasher);
    hasher.finish()
}
