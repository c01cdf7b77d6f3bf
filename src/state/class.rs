//! The settings of one class of one team.

use std::time::Duration;

/// The limits, priority and deadlines that apply to requests of one class of
/// one team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Class {
    /// Maximum requests in progress over all hosts; 0 means no limit.
    pub concurrency: u32,
    /// Maximum time from arrival to the complete answer, unless the request
    /// sets its own.
    pub deadline: Duration,
    /// Priority from 0 to 9; 9 is the most urgent.
    pub priority: u8,
    /// Maximum time in the queue of one stage.
    pub queue_time: Duration,
    /// Maximum requests per second over all hosts; 0 means no limit.
    pub rate: u32,
    /// Percentage of a pool reserved for this class while it has work, from 0
    /// to 90.
    pub share: u8,
    /// Weight relative to other teams in the same class.
    pub weight: u32,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            concurrency: 0,
            deadline: Duration::from_secs(8),
            priority: 5,
            queue_time: Duration::from_secs(4),
            rate: 0,
            share: 0,
            weight: 100,
        }
    }
}
