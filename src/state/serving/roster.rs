//! The endpoints of each service, as the platform lists them.

use {
    crate::state::id,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
};

/// One listed endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    pub address: SocketAddr,
    pub domain: id::Domain,
    pub endpoint: id::Endpoint,
    /// Start of the incarnation that wrote the entry, on the endpoint's own
    /// clock: a name that is used again is another incarnation.
    pub incarnation: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
    pub service: id::Pool,
    pub slots: usize,
}

/// The listed endpoints by service.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: BTreeMap<id::Endpoint, Arc<Entry>>,
    services: HashMap<id::Pool, Vec<Arc<Entry>>>,
}

impl Roster {
    /// Builds a roster.
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

    /// Returns an endpoint by its name.
    pub fn get(&self, endpoint: &id::Endpoint) -> Option<&Arc<Entry>> {
        self.entries.get(endpoint)
    }

    /// Returns every endpoint of a service, in the order of names.
    pub fn service(&self, service: &id::Pool) -> &[Arc<Entry>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints of a service that take new work.
    pub fn open(&self, service: &id::Pool) -> impl Iterator<Item = &Arc<Entry>> {
        self.service(service).iter().filter(|entry| !entry.leaving)
    }

    /// Returns every endpoint.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.values()
    }
}
