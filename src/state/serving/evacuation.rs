//! The failure domains to whose endpoints nothing more may be sent.
//!
//! An evacuation is in force as long as its object is in the local copy of the
//! store's objects. The content of the object does not matter.

use {
    crate::state::{
        clock::Time,
        id,
        serving::{
            restoration,
            roster::{Entry, Roster},
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// A change of the evacuated domains.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing more is sent to the endpoints of the domain.
    Began(id::Domain),
    /// The endpoints of the domain are open again after this time.
    Ended(id::Domain, Duration),
}

/// The evacuated domains.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// The domains, and since when this host knows that they are evacuated. `None`
    /// before the first listing.
    domains: Option<BTreeMap<id::Domain, Time>>,
    /// The domains that were evacuated when the store was restored from a copy, which
    /// may lack them until the operator writes them again.
    kept: BTreeSet<id::Domain>,
    /// Until when these stay evacuated.
    kept_until: Time,
}

impl Evacuations {
    /// Creates the state of a host that does not follow evacuations: none is ever in
    /// force.
    pub fn unfollowed() -> Self {
        Self {
            domains: Some(BTreeMap::new()),
            ..Self::default()
        }
    }

    /// Begins to keep the domains that are evacuated, since the store was restored.
    pub fn keep(&mut self, now: Time) {
        self.kept = self.domains().cloned().collect();
        self.kept_until = now + restoration::RETURN_TIME;
    }

    /// Returns whether the domains have to be updated, since the time to keep some has
    /// ended.
    pub fn is_due(&self, now: Time) -> bool {
        !self.kept.is_empty() && now >= self.kept_until
    }

    /// Replaces the evacuated domains, and returns what has changed.
    pub fn update(&mut self, now: Time, listed: impl Iterator<Item = id::Domain>) -> Vec<Change> {
        let known = self.domains.take().unwrap_or_default();
        let mut listed = listed.collect::<BTreeSet<id::Domain>>();

        if now < self.kept_until {
            // Those that are listed again end when they are removed.
            self.kept.retain(|domain| !listed.contains(domain));
            listed.extend(self.kept.iter().cloned());
        } else {
            self.kept.clear();
        }

        let ended = known.iter().filter(|(domain, _)| !listed.contains(*domain));
        let ended = ended.map(|(domain, since)| Change::Ended(domain.clone(), now.since(*since)));
        let began = listed.iter().filter(|domain| !known.contains_key(*domain));
        let began = began.map(|domain| Change::Began(domain.clone()));
        let changes = ended.chain(began).collect();
        let since = |domain| known.get(domain).copied().unwrap_or(now);
        let domains = listed.iter().map(|domain| (domain.clone(), since(domain)));
        self.domains = Some(domains.collect());
        changes
    }

    /// Returns whether the evacuations have been listed. Before that, any endpoint may
    /// be in an evacuated domain.
    pub fn are_listed(&self) -> bool {
        self.domains.is_some()
    }

    /// Returns whether nothing may be sent to the endpoints of a domain.
    pub fn includes(&self, domain: &id::Domain) -> bool {
        (self.domains.as_ref()).is_none_or(|domains| domains.contains_key(domain))
    }

    /// Returns the evacuated domains.
    pub fn domains(&self) -> impl Iterator<Item = &id::Domain> {
        self.domains.iter().flat_map(BTreeMap::keys)
    }

    /// Returns the listed endpoints with those in evacuated domains closed.
    pub fn close(&self, listed: &Roster) -> impl Iterator<Item = Entry> {
        listed.entries().map(|entry| Entry {
            leaving: entry.leaving || self.includes(&entry.domain),
            ..Entry::clone(entry)
        })
    }
}
