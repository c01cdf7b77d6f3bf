//! Events of the most recent requests, for operators.

use {
    crate::state::{clock::Time, id},
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, VecDeque},
};

/// Maximum number of requests whose events are kept.
pub const MAX_REQUESTS: usize = 10_000;

/// Maximum number of events kept per request. Six stages with two attempts each
/// produce 40 events; later events of a request with more retries are dropped.
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
    /// Creates an event without stage, attempt and endpoint.
    pub fn new(event: &str, detail: impl Into<String>) -> Self {
        Self {
            detail: detail.into(),
            event: event.into(),
            ..Self::default()
        }
    }

    /// Sets the attempt that the event refers to.
    #[must_use]
    pub fn attempt(mut self, attempt: id::Attempt, endpoint: &id::Endpoint) -> Self {
        self.attempt = Some(attempt);
        self.endpoint = Some(endpoint.clone());
        self
    }

    /// Sets the stage that the event refers to.
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

/// Keeps the events of the most recent requests.
#[derive(Debug, Default)]
pub struct Journal {
    order: VecDeque<id::Request>,
    timelines: HashMap<id::Request, Timeline>,
}

impl Journal {
    /// Adds an event. The time of a request's first event counts as its arrival.
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
