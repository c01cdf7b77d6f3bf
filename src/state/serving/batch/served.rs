//! How often the jobs of each priority are served.

use {
    crate::state::clock::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// Time in which the weight of a job that has ended falls to 1/e. Longer than the
/// deadlines of most jobs, so that a long overload is seen as one.
const MEMORY: Duration = Duration::from_secs(15);

/// Maximum number of priorities; jobs of further ones are not counted.
const MAX_PRIORITIES: usize = 32;

/// Jobs of one priority that have ended.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    ended: f64,
    served: f64,
    updated: Time,
}

impl Count {
    /// Returns the share of the jobs that were served. Without many jobs it is near
    /// one.
    fn share(self, now: Time) -> f64 {
        let factor = decay(now, self.updated);
        (self.served * factor + 1.0) / (self.ended * factor + 1.0)
    }
}

/// The share of the jobs of each priority that were served.
#[derive(Clone, Debug, Default)]
pub(super) struct Served(BTreeMap<u8, Count>);

impl Served {
    /// Records a job that has ended.
    pub(super) fn record(&mut self, now: Time, priority: u8, served: bool) {
        if !self.0.contains_key(&priority) && self.0.len() >= MAX_PRIORITIES {
            return;
        }

        let count = self.0.entry(priority).or_default();
        let factor = decay(now, count.updated);
        *count = Count {
            ended: count.ended * factor + 1.0,
            served: count.served * factor + if served { 1.0 } else { 0.0 },
            updated: now,
        };
    }

    /// Returns the most urgent priority that is served less often than a more urgent
    /// one allows. Late jobs from there on get no last chance: they would take
    /// capacity from more urgent jobs that are given up.
    ///
    /// The allowed share is the square of that of the more urgent jobs. It equals
    /// one where these are all served, stays below theirs where they are not, and
    /// is never zero.
    pub(super) fn limit(&self, now: Time) -> Option<u8> {
        let mut lowest = 1.0_f64;

        for (priority, count) in &self.0 {
            let share = count.share(now);

            if share > lowest * lowest && lowest < 1.0 {
                return Some(*priority);
            }

            lowest = lowest.min(share);
        }

        None
    }
}

fn decay(now: Time, updated: Time) -> f64 {
    (-now.since(updated).as_secs_f64() / MEMORY.as_secs_f64()).exp()
}
