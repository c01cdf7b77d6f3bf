//! One endpoint as the scheduler keeps it.

use crate::state::{
    affinity,
    clock::Time,
    ejection::Ejection,
    endpoint::{Endpoint, Phase},
    load::Load,
    tuning::Tuning,
};

/// The endpoint's own word that it is leaving.
#[derive(Clone, Debug)]
struct LeavingNotice {
    /// Whether the host list has confirmed it since.
    confirmed: bool,
    since: Time,
}

/// What is known of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointState {
    pub ejection: Ejection,
    pub endpoint: Endpoint,
    /// Hash of the id for prefix affinity.
    pub hash: u64,
    pub load: Load,
    /// Whether the host list names the endpoint.
    pub listed: bool,
    notice: Option<LeavingNotice>,
    /// Index of the pool.
    pub pool: usize,
}

impl EndpointState {
    /// Builds the state of an endpoint that the host list shows.
    pub fn new(endpoint: Endpoint, pool: usize) -> Self {
        Self {
            ejection: Ejection::default(),
            hash: affinity::hash(endpoint.endpoint.as_str()),
            endpoint,
            load: Load::default(),
            listed: true,
            notice: None,
            pool,
        }
    }

    /// Notes that the endpoint said it is leaving.
    pub fn mark_leaving(&mut self, now: Time) {
        self.notice = Some(LeavingNotice {
            confirmed: !self.listed || self.endpoint.phase == Phase::Leaving,
            since: now,
        });
    }

    /// Returns the phase: leaving if the host list or the endpoint says so.
    pub fn phase(&self) -> Phase {
        if self.notice.is_some() || !self.listed {
            Phase::Leaving
        } else {
            self.endpoint.phase
        }
    }

    /// Takes what the host list shows. `live` clears the endpoint's own mark
    /// only when the list must be newer than the mark: it has shown the
    /// endpoint as leaving or absent since, shows another address, or is older
    /// than the list's lag.
    pub fn update(&mut self, now: Time, endpoint: Endpoint, pool: usize, tuning: &Tuning) {
        if let Some(notice) = &mut self.notice {
            let newer = notice.confirmed
                || endpoint.address != self.endpoint.address
                || now.since(notice.since) >= tuning.leaving_hold;

            match endpoint.phase {
                Phase::Leaving => notice.confirmed = true,
                Phase::Live if newer => self.notice = None,
                Phase::Live => {}
            }
        }

        self.endpoint = endpoint;
        self.listed = true;
        self.pool = pool;
    }

    /// Notes that the host list no longer names the endpoint.
    pub fn unlist(&mut self) {
        self.listed = false;

        if let Some(notice) = &mut self.notice {
            notice.confirmed = true;
        }
    }
}
