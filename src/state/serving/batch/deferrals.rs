//! Deferrals of endpoints, kept while an endpoint's entry has lapsed.

use {
    crate::state::{
        clock::Time,
        id,
        serving::{health::Health, roster::Entry},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The endpoints that wanted no calls.
#[derive(Clone, Debug, Default)]
pub(super) struct Deferrals {
    /// The incarnation that wanted no calls, and a health that holds the deferral.
    endpoints: BTreeMap<id::Endpoint, (u64, Health)>,
}

impl Deferrals {
    /// Records that an endpoint wants no calls for a time.
    pub(super) fn record(&mut self, now: Time, entry: &Entry, time: Duration) {
        self.endpoints
            .retain(|_, (_, health)| health.is_deferred(now));
        let (incarnation, health) = self.endpoints.entry(entry.endpoint.clone()).or_default();

        if *incarnation != entry.incarnation {
            *incarnation = entry.incarnation;
            *health = Health::default();
        }

        health.defer(now, time);
    }

    /// Returns the health of an endpoint of which nothing but its deferral is known.
    pub(super) fn health(&self, entry: &Entry) -> Health {
        match self.endpoints.get(&entry.endpoint) {
            Some((incarnation, health)) if *incarnation == entry.incarnation => health.clone(),
            _ => Health::default(),
        }
    }
}
