//! Queued work as it is reported to operators.

use {
    crate::state::id,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::time::Duration,
};

/// The requests of one team, class and stage in the queue of one pool.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Row {
    pub class: id::Class,
    pub depth: usize,
    /// Time by which the last request in the queue is estimated to miss its
    /// deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "estimated_lateness_ms")]
    pub lateness: Duration,
    /// Longest time that a request has been in the queue.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "oldest_age_ms")]
    pub oldest: Duration,
    pub pool: id::Pool,
    pub stage: id::Stage,
    pub team: id::Team,
}
