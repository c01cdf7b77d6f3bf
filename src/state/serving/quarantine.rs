//! Keeps requests away from the engines whose prompts have a part that crashes
//! every engine that answers them.

mod evidence;

pub use evidence::{Evidence, HARMLESS_AGE, Lost};

use {
    crate::state::clock::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// Duration of a part's first quarantine. It is short, since an engine may have
/// been replaced by one that the part does not harm.
pub const FIRST_DURATION: Duration = Duration::from_secs(60);

/// Duration of each further quarantine.
const REPEATED_DURATION: Duration = Duration::from_secs(600);

/// Time after the end of a quarantine in which one more loss renews it.
const PROBATION: Duration = Duration::from_secs(600);

/// Maximum number of parts in quarantine or on probation.
const MAX_ENTRIES: usize = 64;

/// Returns the parts of a prompt that may be quarantined: all but the last one,
/// which belongs to a single request or session.
pub fn shared<T>(parts: &[T]) -> &[T] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// What is known about a part of prompts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    Clear,
    /// A quarantine has ended: one request at a time may show that the part is
    /// harmless now.
    Probation,
    Quarantined,
}

/// A part in quarantine, as hosts tell each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    pub part: u64,
    pub remaining: Duration,
}

/// The parts in quarantine and on probation. Requests are quarantined in the same way, by
/// their fingerprints.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Quarantine {
    /// Ends of the quarantines by part.
    ends: BTreeMap<u64, Time>,
}

impl Quarantine {
    /// Returns whether no part is in quarantine or on probation.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the first of the parts that is in quarantine.
    pub fn find(&self, now: Time, parts: impl IntoIterator<Item = u64>) -> Option<u64> {
        let mut parts = parts.into_iter();
        parts.find(|part| self.status(now, *part) == Status::Quarantined)
    }

    /// Returns what is known about a part.
    pub fn status(&self, now: Time, part: u64) -> Status {
        match self.ends.get(&part) {
            Some(end) if *end > now => Status::Quarantined,
            Some(end) if now.since(*end) < PROBATION => Status::Probation,
            _ => Status::Clear,
        }
    }

    /// Returns how much longer a part is in quarantine.
    pub fn remaining(&self, now: Time, part: u64) -> Duration {
        let end = self.ends.get(&part);
        end.map_or(Duration::ZERO, |end| end.since(now))
    }

    /// Puts a part into quarantine and returns for how long.
    pub fn add(&mut self, now: Time, part: u64) -> Duration {
        let duration = match self.status(now, part) {
            Status::Clear => FIRST_DURATION,
            Status::Probation | Status::Quarantined => REPEATED_DURATION,
        };
        self.set(now, part, duration);
        duration
    }

    /// Ends a part's probation: a request with it was answered.
    pub fn release(&mut self, part: u64) {
        self.ends.remove(&part);
    }

    /// Adds the entries of another host and returns the parts that were not in
    /// quarantine here.
    pub fn merge(&mut self, now: Time, entries: &[Entry]) -> Vec<u64> {
        let mut added = Vec::new();

        for entry in entries {
            // An entry that ends on one host comes back from hosts on which it
            // ends a little later.
            let ending = entry.remaining < FIRST_DURATION / 10;

            if !ending && self.find(now, [entry.part]).is_none() {
                self.set(now, entry.part, entry.remaining.min(REPEATED_DURATION));
                added.push(entry.part);
            }
        }

        added
    }

    /// Returns the parts in quarantine.
    pub fn entries(&self, now: Time) -> Vec<Entry> {
        let entries = self.ends.iter().map(|(part, end)| Entry {
            part: *part,
            remaining: end.since(now),
        });
        entries.filter(|entry| !entry.remaining.is_zero()).collect()
    }

    fn set(&mut self, now: Time, part: u64, duration: Duration) {
        self.ends.retain(|_, end| now.since(*end) < PROBATION);
        self.ends.insert(part, now + duration);

        if self.ends.len() > MAX_ENTRIES {
            let first = self.ends.iter().min_by_key(|(_, end)| **end);

            if let Some(part) = first.map(|(part, _)| *part) {
                self.ends.remove(&part);
            }
        }
    }
}
