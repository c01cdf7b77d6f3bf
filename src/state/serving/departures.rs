//! Endpoints that said in an answer that they are leaving.
//!
//! The platform's list may say so seconds later, or only drop the endpoint.

use {
    crate::state::{clock::Time, id, serving::roster::Entry},
    std::{collections::HashMap, time::Duration},
};

/// Time for which a departure is remembered. An endpoint whose entry lapsed may be
/// listed again while it is leaving; the longest departures take tens of seconds.
const LIFETIME: Duration = Duration::from_secs(600);

/// The announced departures, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// The incarnation that leaves, and when it said so.
    announced: HashMap<id::Endpoint, (u64, Time)>,
}

impl Departures {
    /// Records that an endpoint's incarnation is leaving, and returns whether that
    /// is new.
    pub fn record(&mut self, now: Time, endpoint: &id::Endpoint, incarnation: u64) -> bool {
        self.announced
            .retain(|_, (_, at)| now.since(*at) < LIFETIME);
        let previous = self.announced.insert(endpoint.clone(), (incarnation, now));
        previous.is_none_or(|(known, _)| known != incarnation)
    }

    /// Returns whether an entry's endpoint is leaving, by its entry or its answers.
    pub fn includes(&self, entry: &Entry) -> bool {
        let announced = self.announced.get(&entry.endpoint);
        entry.leaving || announced.is_some_and(|(incarnation, _)| *incarnation == entry.incarnation)
    }
}
