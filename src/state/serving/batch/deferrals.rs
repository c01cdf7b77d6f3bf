//! What endpoints said of the calls that they take, kept while an endpoint's entry
//! has lapsed.

use {
    crate::state::{
        clock::Time,
        id,
        serving::{health::Health, roster::Entry},
    },
    std::collections::BTreeMap,
};

/// The endpoints that wanted no calls or only some.
#[derive(Clone, Debug, Default)]
pub(super) struct Deferrals {
    /// The incarnation of an endpoint, and a health that holds what it said.
    endpoints: BTreeMap<id::Endpoint, (u64, Health)>,
}

impl Deferrals {
    /// Returns the health that holds what an endpoint said.
    pub(super) fn health_mut(&mut self, now: Time, entry: &Entry) -> &mut Health {
        self.endpoints.retain(|_, (_, health)| health.is_kept(now));
        let (incarnation, health) = self.endpoints.entry(entry.endpoint.clone()).or_default();

        if *incarnation != entry.incarnation {
            *incarnation = entry.incarnation;
            *health = Health::default();
        }

        health
    }

    /// Returns the health of an endpoint of which nothing is known but what it said.
    pub(super) fn health(&self, entry: &Entry) -> Health {
        match self.endpoints.get(&entry.endpoint) {
            Some((incarnation, health)) if *incarnation == entry.incarnation => health.clone(),
            _ => Health::default(),
        }
    }
}
