//! Keeps requests away from the engines whose prompts have a part that crashes
//! every engine that answers them.
//!
//! An engine that crashes takes all of its requests with it, so a single crash does
//! not tell which of them caused it. A harmful part shows in a series: one engine
//! after the other is lost while no request with this part is answered. Parts
//! that harmful requests share with others are cleared by the answers to these.

use {
    crate::state::{clock::Time, id},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::Duration,
    },
};

/// Number of engines lost in a row, without an answer in between, after which a
/// part is quarantined.
const MAX_LOSSES: usize = 3;

/// Number of engines lost in a row for a part that was answered before. Sound requests
/// that wait at an engine are lost with it and may be reported first, so the harmful
/// part has to reach its own limit by then.
const MAX_LOSSES_ANSWERED: usize = MAX_LOSSES + 1;

/// Minimum interval between two losses that count for a part. Many engines may be
/// lost at the same moment for a reason of their own.
const LOSS_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a loss no longer counts.
const LOSS_LIFETIME: Duration = Duration::from_secs(300);

/// Maximum number of parts with losses. Those with the oldest losses are dropped.
const MAX_SUSPECTS: usize = 4096;

/// Maximum number of parts known to have been answered, after which all are
/// forgotten.
const MAX_ANSWERED: usize = 16_384;

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

/// The loss of an engine before it answered a request.
#[derive(Clone, Debug)]
struct Loss {
    at: Time,
    engine: (id::Endpoint, u64),
}

/// The losses of engines by the parts of the requests that they had not answered.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Parts of requests that were answered.
    answered: HashSet<u64>,
    suspects: HashMap<u64, Vec<Loss>>,
}

impl Evidence {
    /// Records that an engine's incarnation was lost before it answered a request
    /// with these parts. Returns the part that has to be quarantined, if there is
    /// one. A part on probation is quarantined at once.
    pub fn record_loss(
        &mut self,
        now: Time,
        endpoint: &id::Endpoint,
        incarnation: u64,
        parts: &[u64],
        quarantine: &Quarantine,
    ) -> Option<u64> {
        let engine = (endpoint.clone(), incarnation);

        for part in parts {
            let losses = self.suspects.entry(*part).or_default();
            losses.retain(|loss| now.since(loss.at) < LOSS_LIFETIME);
            let counts = losses
                .iter()
                .all(|loss| loss.engine != engine && now.since(loss.at) >= LOSS_INTERVAL);

            if counts {
                losses.push(Loss {
                    at: now,
                    engine: engine.clone(),
                });
            }
        }

        let harmful = self.harmful(now, parts, quarantine);

        if let Some(part) = harmful {
            self.explain(part);
        }

        self.limit();
        harmful
    }

    /// Records that a request with these parts was answered.
    pub fn record_answer(&mut self, parts: &[u64]) {
        if self.answered.len() > MAX_ANSWERED {
            self.answered.clear();
        }

        for part in parts {
            self.suspects.remove(part);
            self.answered.insert(*part);
        }
    }

    /// Returns the part that explains the losses best. Of parts that always occur
    /// together, one that was never answered is more likely than one that was, and
    /// the last one is rarest.
    fn harmful(&self, now: Time, parts: &[u64], quarantine: &Quarantine) -> Option<u64> {
        let on_probation = |part: u64| quarantine.status(now, part) == Status::Probation;
        let candidates = parts.iter().enumerate().filter(|(_, part)| {
            let losses = self.suspects.get(*part).map_or(0, Vec::len);
            losses >= self.max_losses(**part) || on_probation(**part)
        });
        let best = candidates.max_by_key(|(position, part)| {
            let unanswered = !self.answered.contains(*part);
            (on_probation(**part), unanswered, *position)
        });
        best.map(|(_, part)| *part)
    }

    fn max_losses(&self, part: u64) -> usize {
        if self.answered.contains(&part) {
            MAX_LOSSES_ANSWERED
        } else {
            MAX_LOSSES
        }
    }

    /// Removes a part's losses from it and from all other parts.
    fn explain(&mut self, part: u64) {
        let explained = self.suspects.remove(&part).unwrap_or_default();

        self.suspects.retain(|_, losses| {
            losses.retain(|loss| explained.iter().all(|other| other.engine != loss.engine));
            !losses.is_empty()
        });
    }

    fn limit(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(_, losses)| losses.last().map(|loss| loss.at));
            let Some(part) = oldest.map(|(part, _)| *part) else {
                return;
            };
            self.suspects.remove(&part);
        }
    }
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
