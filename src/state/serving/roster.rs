//! The endpoints of each service, as listed by the platform.

use {
    crate::state::{id, serving::cold::Cold},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
};

/// An endpoint listed by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub address: SocketAddr,
    /// What is known of the endpoint's start.
    pub cold: Cold,
    pub domain: id::Domain,
    pub endpoint: id::Endpoint,
    /// Start time of the incarnation that wrote the entry, on the endpoint's
    /// own clock. A reused name has another incarnation.
    pub incarnation: u64,
    /// Whether the endpoint accepts no new work.
    pub leaving: bool,
    pub service: id::Pool,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: usize,
}

/// The listed endpoints, indexed by name and by service.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: BTreeMap<id::Endpoint, Arc<Entry>>,
    services: HashMap<id::Pool, Vec<Arc<Entry>>>,
}

impl Roster {
    /// Creates a roster. If entries share a name, the last one is kept.
    pub fn new(entries: impl IntoIterator<Item = Entry>) -> Self {
        let mut roster = Self::default();

        for entry in entries {
            let entry = Arc::new(entry);
            roster
                .entries
                .insert(entry.endpoint.clone(), Arc::clone(&entry));
        }

        for entry in roster.entries.values() {
            roster
                .services
                .entry(entry.service.clone())
                .or_default()
                .push(Arc::clone(entry));
        }

        roster
    }

    /// Returns the endpoint with the given name.
    pub fn get(&self, endpoint: &id::Endpoint) -> Option<&Arc<Entry>> {
        self.entries.get(endpoint)
    }

    /// Returns every endpoint of a service, sorted by name.
    pub fn service(&self, service: &id::Pool) -> &[Arc<Entry>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints of a service that accept new work.
    pub fn open(&self, service: &id::Pool) -> impl Iterator<Item = &Arc<Entry>> + Clone {
        self.service(service).iter().filter(|entry| !entry.leaving)
    }

    /// Returns every endpoint of all services, sorted by name.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.values()
    }
}
