//! What happened to the latest requests, for operators.

use {
    crate::state::{clock::Time, id},
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, VecDeque},
};

/// Requests whose events are kept.
pub const MAX_REQUESTS: usize = 10_000;

/// Events kept of one request. Six stages with two attempts each take 40; a
/// request with more retries loses the later ones.
const MAX_EVENTS: usize = 64;

/// One event of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// Milliseconds since the request arrived.
    pub at_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempt: Option<id::Attempt>,
    pub detail: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<id::Endpoint>,
    pub event: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stage: Option<id::Stage>,
}

impl Entry {
    /// Builds an event without stage, attempt and endpoint.
    pub fn new(event: &str, detail: impl Into<String>) -> Self {
        Self {
            detail: detail.into(),
            event: event.into(),
            ..Self::default()
        }
    }

    /// Adds the attempt that the event is about.
    #[must_use]
    pub fn attempt(mut self, attempt: id::Attempt, endpoint: &id::Endpoint) -> Self {
        self.attempt = Some(attempt);
        self.endpoint = Some(endpoint.clone());
        self
    }

    /// Adds the stage that the event is about.
    #[must_use]
    pub fn stage(mut self, stage: &id::Stage) -> Self {
        self.stage = Some(stage.clone());
        self
    }
}

#[derive(Debug)]
struct Timeline {
    arrived: Time,
    entries: Vec<Entry>,
}

/// The events of the latest requests.
#[derive(Debug, Default)]
pub struct Journal {
    order: VecDeque<id::Request>,
    timelines: HashMap<id::Request, Timeline>,
}

impl Journal {
    /// Adds an event; the first one of a request marks its arrival.
    pub fn add(&mut self, now: Time, request: &id::Request, mut entry: Entry) {
        if !self.timelines.contains_key(request) {
            self.start(now, request);
        }

        if let Some(timeline) = self.timelines.get_mut(request)
            && timeline.entries.len() < MAX_EVENTS
        {
            let millis = now.since(timeline.arrived).as_millis();
            entry.at_ms = u64::try_from(millis).unwrap_or(u64::MAX);
            timeline.entries.push(entry);
        }
    }

    /// Returns the events of a request, oldest first.
    pub fn explain(&self, request: &id::Request) -> Option<&[Entry]> {
        self.timelines
            .get(request)
            .map(|timeline| timeline.entries.as_slice())
    }

    fn start(&mut self, now: Time, request: &id::Request) {
        if self.order.len() >= MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.timelines.remove(&oldest);
        }

        self.order.push_back(request.clone());
        self.timelines.insert(
            request.clone(),
            Timeline {
                arrived: now,
                entries: Vec::new(),
            },
        );
    }
}
