//! The settings of one class of one team.

use std::time::Duration;

/// What the settings tree says about one class of one team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Class {
    /// Requests in progress over all hosts, 0 for no limit.
    pub concurrency: u32,
    /// Time from arrival to the whole answer, unless the request sets its own.
    pub deadline: Duration,
    /// 0 to 9, 9 most urgent.
    pub priority: u8,
    /// Longest time in a queue before a stage.
    pub queue_time: Duration,
    /// Requests a second over all hosts, 0 for no limit.
    pub rate: u32,
    /// Percentage of a pool kept for this class while it has work, 0 to 90.
    pub share: u8,
    /// Weight against other teams in the same class.
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
