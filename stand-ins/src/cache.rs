//! The prefix cache of a model engine and its events.

use {
    serde::Serialize,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Prefixes that fit.
const MAX_PREFIXES: usize = 8;

/// Time after which an event can be read.
const EVENT_DELAY: Duration = Duration::from_millis(100);

/// Every event whose sequence number is a multiple of this is lost.
const LOST_EVENT_INTERVAL: u64 = 7;

/// Events that are kept.
const MAX_EVENTS: usize = 256;

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Evicted,
    Stored,
}

/// One event.
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
    /// Uses a prefix and returns whether it was cached.
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

    /// Returns the events after a sequence number that can be read by now.
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
