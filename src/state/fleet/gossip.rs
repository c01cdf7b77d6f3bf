//! The message that hosts exchange in a probe and its answer.

use crate::state::{fleet::member::Member, serving::quarantine::Entry};

/// The sender's own record and records that it relays.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// The sender's own record.
    pub from: Member,
    /// Number of hosts that the sender knows, including itself; 0 if it does
    /// not say.
    pub known: usize,
    /// Parts of prompts that the sender keeps away from the engines.
    pub quarantine: Vec<Entry>,
    /// Records that the sender relays, without their demand. May include its own
    /// and that of the receiver.
    pub updates: Vec<Member>,
}
