//! When endpoints started, as their entries and evacuations show.

use {
    crate::state::{
        clock::Time,
        id,
        serving::{
            cold::{Cold, Limit},
            roster::{Entry, Roster},
        },
    },
    std::{collections::HashMap, time::Duration},
};

/// Why an endpoint is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Its entry says so.
    Entry,
    /// The evacuation of its domain has ended.
    Evacuation,
    /// The endpoint or its incarnation is new in the list.
    Start,
}

impl Cause {
    /// Returns the name of the cause in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Evacuation => "evacuation",
            Self::Start => "start",
        }
    }
}

/// What is known of one endpoint.
#[derive(Clone, Debug)]
struct Known {
    /// Until when the endpoint is cold according to its entry.
    by_entry: Time,
    incarnation: u64,
    left: Duration,
    /// The last start or the end of the last evacuation that this host has seen.
    started: Option<(Time, Cause)>,
}

/// The starts of all listed endpoints.
#[derive(Clone, Debug, Default)]
pub struct Starts {
    known: HashMap<id::Endpoint, Known>,
    /// Whether there was a listing. Endpoints of the first one may have started long
    /// before.
    listed: bool,
}

impl Starts {
    /// Records the listed endpoints. `is_new` says which of the entries arrived just
    /// now.
    pub fn update(&mut self, now: Time, listed: &Roster, is_new: impl Fn(&id::Endpoint) -> bool) {
        let mut known = HashMap::new();

        for entry in listed.entries() {
            let previous = self.known.remove(&entry.endpoint);
            let same = previous.filter(|known| known.incarnation == entry.incarnation);
            let mut current = same.unwrap_or_else(|| Known {
                by_entry: now + entry.cold.left,
                incarnation: entry.incarnation,
                left: entry.cold.left,
                started: self.listed.then_some((now, Cause::Start)),
            });

            if is_new(&entry.endpoint) || current.left != entry.cold.left {
                current.by_entry = now + entry.cold.left;
                current.left = entry.cold.left;
            }

            known.insert(entry.endpoint.clone(), current);
        }

        self.known = known;
        self.listed = true;
    }

    /// Records that the evacuation of a domain has ended. Its endpoints may have
    /// started during the evacuation.
    pub fn reopen(&mut self, now: Time, domain: &id::Domain, listed: &Roster) {
        for entry in listed.entries().filter(|entry| entry.domain == *domain) {
            if let Some(known) = self.known.get_mut(&entry.endpoint) {
                known.started = Some((now, Cause::Evacuation));
            }
        }
    }

    /// Returns until when an endpoint with a limit is cold, and why. The time may have
    /// passed.
    pub fn until(&self, entry: &Entry, limit: Limit) -> (Time, Cause) {
        let Some(known) = self.known.get(&entry.endpoint) else {
            return (Time::ZERO, Cause::Entry);
        };
        let started = known
            .started
            .map(|(at, cause)| (at + limit.start.time, cause));

        match started {
            Some((until, cause)) if until >= known.by_entry => (until, cause),
            _ => (known.by_entry, Cause::Entry),
        }
    }

    /// Returns the entry with what is known of its start.
    pub fn mark(&self, entry: Entry, limit: Option<Limit>) -> Entry {
        let until = limit.map_or(Time::ZERO, |limit| self.until(&entry, limit).0);
        let cold = Cold {
            limit,
            until,
            ..entry.cold
        };
        Entry { cold, ..entry }
    }
}
