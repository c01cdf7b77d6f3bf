//! The prefix cache of a model engine and its cache events.

use {
    serde::Serialize,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Largest number of cached prefixes.
const MAX_PREFIXES: usize = 8;

/// Delay until an event can be read.
const EVENT_DELAY: Duration = Duration::from_millis(100);

/// Events whose sequence number is a multiple of this are lost.
const LOST_EVENT_INTERVAL: u64 = 7;

/// Largest number of retained events.
const MAX_EVENTS: usize = 256;

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Evicted,
    Stored,
}

/// A cache event.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Event {
    #[serde(skip)]
    at: Instant,
    pub kind: Kind,
    pub prefix: String,
    pub sequence: u64,
}

/// The cached prefixes, least recently used first.
#[derive(Debug, Default)]
pub struct Cache {
    events: VecDeque<Event>,
    prefixes: VecDeque<String>,
    sequence: u64,
}

impl Cache {
    /// Marks a prefix as most recently used, adding it if necessary. Returns
    /// whether it was cached.
    pub fn touch(&mut self, prefix: &str) -> bool {
        let position = self.prefixes.iter().position(|cached| cached == prefix);

        match position {
            Some(position) => {
                self.prefixes.remove(position);
            }
            None => self.record(Kind::Stored, prefix.into()),
        }

        self.prefixes.push_back(prefix.into());

        if self.prefixes.len() > MAX_PREFIXES
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.record(Kind::Evicted, evicted);
        }

        position.is_some()
    }

    /// Returns the readable events after a sequence number.
    pub fn events(&self, after: u64) -> Vec<&Event> {
        self.events
            .iter()
            .filter(|event| event.sequence > after && event.at.elapsed() >= EVENT_DELAY)
            .collect()
    }

    fn record(&mut self, kind: Kind, prefix: String) {
        self.sequence += 1;

        if self.sequence.is_multiple_of(LOST_EVENT_INTERVAL) {
            return;
        }

        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }

        self.events.push_back(Event {
            at: Instant::now(),
            kind,
            prefix,
            sequence: self.sequence,
        });
    }
}
