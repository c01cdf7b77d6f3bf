//! What a host keeps of the endpoints when the store was restored from a copy.
//!
//! The copy lacks entries that were written after it was made, until their endpoints
//! write them again, and it still holds endpoints that were removed since.

use {
    crate::state::{
        clock::Time,
        id,
        serving::roster::{Entry, Roster},
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Time for which what the copy lacks stays in force. Its writers write it again within
/// about two seconds; what is missing after that is gone.
pub const RETURN_TIME: Duration = Duration::from_millis(2200);

/// Time for which an endpoint that was removed before the restore stays closed unless it
/// writes its entry again. The store removes the entry of an endpoint that is gone
/// after three missed heartbeats.
const CLOSED_TIME: Duration = Duration::from_secs(10);

/// Time for which a removal is remembered. Copies are some seconds old.
const REMOVAL_LIFETIME: Duration = Duration::from_secs(60);

/// An endpoint that was removed from the store.
#[derive(Clone, Copy, Debug)]
struct Removal {
    at: Time,
    incarnation: u64,
}

/// The endpoints known from the time before a restore.
#[derive(Clone, Debug, Default)]
pub struct Restoration {
    /// The endpoints that were removed before the restore and stay closed.
    closed: HashMap<id::Endpoint, u64>,
    /// Until when they do.
    closed_until: Time,
    /// The entries that were listed before the restore.
    kept: Vec<Entry>,
    /// Until when they replace those that the copy lacks.
    kept_until: Time,
    /// Recent removals.
    removed: HashMap<id::Endpoint, Removal>,
}

impl Restoration {
    /// Begins to keep the listed endpoints, since the store was restored.
    pub fn begin(&mut self, now: Time, listed: &Roster) {
        self.kept = listed.entries().map(|entry| Entry::clone(entry)).collect();
        self.kept_until = now + RETURN_TIME;
        self.closed_until = now + CLOSED_TIME;
        self.closed = (self.removed.iter())
            .filter(|(_, removal)| now.since(removal.at) < REMOVAL_LIFETIME)
            .map(|(endpoint, removal)| (endpoint.clone(), removal.incarnation))
            .collect();
    }

    /// Records that an endpoint has written its entry after the restore.
    pub fn record_written(&mut self, endpoint: &id::Endpoint) {
        self.closed.remove(endpoint);
        self.kept.retain(|entry| entry.endpoint != *endpoint);
    }

    /// Records which endpoints a change of the list has removed.
    pub fn record_removals(&mut self, now: Time, previous: &Roster, listed: &Roster) {
        self.removed.retain(|endpoint, removal| {
            now.since(removal.at) < REMOVAL_LIFETIME && listed.get(endpoint).is_none()
        });

        for entry in previous.entries() {
            if listed.get(&entry.endpoint).is_none() {
                let removal = Removal {
                    at: now,
                    incarnation: entry.incarnation,
                };
                self.removed.insert(entry.endpoint.clone(), removal);
            }
        }
    }

    /// Returns the endpoints to list, from the entries that the store holds: with those
    /// that it may only lack for a moment, and with removed ones closed.
    pub fn complete(&mut self, now: Time, entries: Vec<Entry>) -> Vec<Entry> {
        self.expire(now);
        let mut entries = (entries.into_iter())
            .map(|entry| (entry.endpoint.clone(), entry))
            .collect::<BTreeMap<id::Endpoint, Entry>>();

        for entry in entries.values_mut() {
            entry.leaving |= self.closed.get(&entry.endpoint) == Some(&entry.incarnation);
        }

        // An endpoint that is in the list is gone once the store removes it.
        self.kept.retain(|kept| {
            let listed = entries.get(&kept.endpoint);
            listed.is_none_or(|listed| listed.incarnation < kept.incarnation)
        });

        for kept in &self.kept {
            entries.insert(kept.endpoint.clone(), kept.clone());
        }

        entries.into_values().collect()
    }

    /// Returns whether the list has to be made again, since a time has ended.
    pub fn is_due(&self, now: Time) -> bool {
        let kept = !self.kept.is_empty() && now >= self.kept_until;
        let closed = !self.closed.is_empty() && now >= self.closed_until;
        kept || closed
    }

    fn expire(&mut self, now: Time) {
        if now >= self.kept_until {
            self.kept.clear();
        }

        if now >= self.closed_until {
            self.closed.clear();
        }
    }
}
