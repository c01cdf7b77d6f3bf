//! The message that hosts exchange in a probe and its answer.

use crate::state::{
    fleet::member::Member,
    serving::{crashes::Suspicion, quarantine::Entry},
};

/// The sender's own record and records that it relays.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// The sender's own record.
    pub from: Member,
    /// Number of hosts that the sender knows, including itself; 0 if it does
    /// not say.
    pub known: usize,
    pub news: Box<News>,
    /// Records that the sender relays, without their demand. May include its own
    /// and that of the receiver.
    pub updates: Vec<Member>,
}

/// What the sender knows of requests that crash endpoints.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct News {
    /// Parts of prompts that the sender keeps away from the engines.
    pub harmful_parts: Vec<Entry>,
    /// Requests that the sender keeps away from endpoints, by their fingerprints.
    pub harmful_requests: Vec<Entry>,
    /// Requests under which endpoints have crashed.
    pub suspicions: Vec<Suspicion>,
}
