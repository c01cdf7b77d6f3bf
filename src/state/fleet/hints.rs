//! Cache hints: which endpoints probably hold which prompt prefix.

use {
    crate::state::endpoint::{CacheEvent, CacheEventKind},
    std::collections::{HashMap, VecDeque},
};

/// Maximum number of endpoints kept per prefix.
const MAX_HOLDERS: usize = 8;

/// The prefixes of one endpoint, according to its cache events.
#[derive(Debug, Default)]
struct Source {
    /// Oldest first.
    prefixes: VecDeque<u64>,
    /// Sequence number of the last event.
    sequence: u64,
}

/// The cache hints of all endpoints, in bounded memory. Events arrive late and
/// with gaps, so a hint may be wrong and is used only to break ties.
#[derive(Debug, Default)]
pub struct Hints {
    holders: HashMap<u64, Vec<usize>>,
    sources: HashMap<usize, Source>,
}

impl Hints {
    /// Applies an event and keeps at most `limit` prefixes of the endpoint. An
    /// event whose sequence number is not the next one first removes all hints
    /// of the endpoint, since events were lost or the endpoint restarted.
    pub fn apply(&mut self, endpoint: usize, event: CacheEvent, limit: usize) {
        let last_sequence = self.sources.get(&endpoint).map(|source| source.sequence);

        if last_sequence
            .is_some_and(|last_sequence| event.sequence != last_sequence.wrapping_add(1))
        {
            self.remove_endpoint(endpoint);
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

    /// Removes all hints of an endpoint.
    pub fn remove_endpoint(&mut self, endpoint: usize) {
        let Some(source) = self.sources.remove(&endpoint) else {
            return;
        };

        for prefix in source.prefixes {
            self.remove_holder(endpoint, prefix);
        }
    }

    /// Returns the endpoints that probably hold the prefix.
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
