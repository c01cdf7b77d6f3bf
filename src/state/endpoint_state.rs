//! The scheduler's state of one endpoint.

use crate::state::{
    affinity,
    clock::Time,
    ejection::Ejection,
    endpoint::{Endpoint, Phase},
    load::Load,
    tuning::Tuning,
};

/// An endpoint's own report that it is leaving.
#[derive(Clone, Debug)]
struct LeavingMark {
    /// Whether the host list showed the endpoint as leaving or absent at the time
    /// of the report or since.
    confirmed: bool,
    since: Time,
}

/// The listed, measured and reported state of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointState {
    pub ejection: Ejection,
    pub endpoint: Endpoint,
    /// Hash of the id for prefix affinity.
    pub hash: u64,
    pub load: Load,
    /// Whether the host list contains the endpoint.
    pub listed: bool,
    leaving_mark: Option<LeavingMark>,
    /// Index of the pool.
    pub pool: usize,
}

impl EndpointState {
    /// Builds the state of an endpoint that is new in the host list.
    pub fn new(endpoint: Endpoint, pool: usize) -> Self {
        Self {
            ejection: Ejection::default(),
            hash: affinity::hash(endpoint.endpoint.as_str()),
            endpoint,
            load: Load::default(),
            listed: true,
            leaving_mark: None,
            pool,
        }
    }

    /// Records the endpoint's report that it is leaving.
    pub fn mark_leaving(&mut self, now: Time) {
        self.leaving_mark = Some(LeavingMark {
            confirmed: !self.listed || self.endpoint.phase == Phase::Leaving,
            since: now,
        });
    }

    /// Returns the phase: leaving if the endpoint has reported so or the host
    /// list shows it as leaving or no longer contains it.
    pub fn phase(&self) -> Phase {
        if self.leaving_mark.is_some() || !self.listed {
            Phase::Leaving
        } else {
            self.endpoint.phase
        }
    }

    /// Applies an entry of the host list. A live entry clears the leaving mark
    /// only if the entry must be newer than the mark: the list has shown the
    /// endpoint as leaving or absent since, the address has changed, or the mark
    /// is at least `tuning.leaving_hold` old, the time by which the host list can
    /// lag behind.
    pub fn update(&mut self, now: Time, endpoint: Endpoint, pool: usize, tuning: &Tuning) {
        if let Some(leaving_mark) = &mut self.leaving_mark {
            let newer = leaving_mark.confirmed
                || endpoint.address != self.endpoint.address
                || now.since(leaving_mark.since) >= tuning.leaving_hold;

            match endpoint.phase {
                Phase::Leaving => leaving_mark.confirmed = true,
                Phase::Live if newer => self.leaving_mark = None,
                Phase::Live => {}
            }
        }

        self.endpoint = endpoint;
        self.listed = true;
        self.pool = pool;
    }

    /// Records that the host list no longer contains the endpoint.
    pub fn unlist(&mut self) {
        self.listed = false;

        if let Some(leaving_mark) = &mut self.leaving_mark {
            leaving_mark.confirmed = true;
        }
    }
}
