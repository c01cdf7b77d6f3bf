//! What two hosts tell each other in a probe and its answer.

use crate::state::fleet::member::Member;

/// One side's own record and the news it passes on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    pub from: Member,
    pub updates: Vec<Member>,
}
