//! Which endpoints are thought to hold which prompt prefix.

use {
    crate::state::endpoint::{CacheEvent, CacheEventKind},
    std::collections::{HashMap, VecDeque},
};

/// Endpoints kept per prefix.
const MAX_HOLDERS: usize = 8;

/// What one endpoint's events said.
#[derive(Debug, Default)]
struct Source {
    /// Oldest first.
    prefixes: VecDeque<u64>,
    sequence: u64,
}

/// The cache hints of all endpoints, in bounded memory. Events come late and
/// with gaps, so a hint may be wrong; it only breaks ties.
#[derive(Debug, Default)]
pub struct Hints {
    holders: HashMap<u64, Vec<usize>>,
    sources: HashMap<usize, Source>,
}

impl Hints {
    /// Takes an event. Any sequence number but the next one drops what is
    /// known of the endpoint: something was missed, or it restarted.
    pub fn apply(&mut self, endpoint: usize, event: CacheEvent, limit: usize) {
        let known = self.sources.get(&endpoint).map(|source| source.sequence);

        if known.is_some_and(|known| event.sequence != known.wrapping_add(1)) {
            self.forget(endpoint);
        }

        self.remove_prefix(endpoint, event.prefix);
        let source = self.sources.entry(endpoint).or_default();
        source.sequence = event.sequence;

        if event.change == CacheEventKind::Stored {
            source.prefixes.push_back(event.prefix);
            let oldest = (source.prefixes.len() > limit).then(|| source.prefixes[0]);
            let holders = self.holders.entry(event.prefix).or_default();

            if holders.len() == MAX_HOLDERS {
                holders.remove(0);
            }

            holders.push(endpoint);

            if let Some(oldest) = oldest {
                self.remove_prefix(endpoint, oldest);
            }
        }
    }

    /// Drops what is known of an endpoint.
    pub fn forget(&mut self, endpoint: usize) {
        let Some(source) = self.sources.remove(&endpoint) else {
            return;
        };

        for prefix in source.prefixes {
            self.remove_holder(endpoint, prefix);
        }
    }

    /// Returns the endpoints thought to hold the prefix.
    pub fn holders(&self, prefix: u64) -> &[usize] {
        self.holders.get(&prefix).map_or(&[], Vec::as_slice)
    }

    fn remove_holder(&mut self, endpoint: usize, prefix: u64) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| *holder != endpoint);

            if holders.is_empty() {
                self.holders.remove(&prefix);
            }
        }
    }

    fn remove_prefix(&mut self, endpoint: usize, prefix: u64) {
        if let Some(source) = self.sources.get_mut(&endpoint) {
            source.prefixes.retain(|held| *held != prefix);
        }

        self.remove_holder(endpoint, prefix);
    }
}
