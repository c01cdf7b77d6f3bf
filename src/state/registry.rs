//! Combines the endpoints of the host list with the phases that the endpoints
//! report themselves.

use {
    crate::state::{
        clock::Time,
        endpoint::{Endpoint, Phase},
        id,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// How long an endpoint's leaving mark takes precedence over a host list that
/// shows the endpoint as live throughout. If a list never shows the endpoint as
/// leaving, either the list lags that far behind or the endpoint has become
/// live again.
pub const LEAVING_MARK_LIFETIME: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct LeavingMark {
    /// Whether the host list has shown the endpoint as leaving or absent since.
    confirmed: bool,
    since: Time,
}

/// The endpoints of the latest host list and the leaving marks of endpoints.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    endpoints: BTreeMap<id::Endpoint, Endpoint>,
    leaving_marks: BTreeMap<id::Endpoint, LeavingMark>,
    revision: u64,
}

impl Registry {
    /// Replaces the endpoints by those of a host list, unless its revision is older
    /// than the current one.
    pub fn update(&mut self, now: Time, revision: u64, endpoints: Vec<Endpoint>) {
        if revision < self.revision {
            return;
        }

        self.revision = revision;
        self.endpoints = endpoints
            .into_iter()
            .map(|endpoint| (endpoint.endpoint.clone(), endpoint))
            .collect();
        self.expire_marks(now);
    }

    /// Records an endpoint's own report that it is leaving or live. `reported_at`
    /// is when the endpoint made the report, not when it arrived, because load
    /// reports arrive late.
    pub fn report_phase(&mut self, reported_at: Time, endpoint: &id::Endpoint, phase: Phase) {
        match phase {
            Phase::Leaving => {
                self.leaving_marks
                    .entry(endpoint.clone())
                    .or_insert(LeavingMark {
                        confirmed: false,
                        since: reported_at,
                    });
            }
            Phase::Live => {
                if self
                    .leaving_marks
                    .get(endpoint)
                    .is_some_and(|mark| mark.since < reported_at)
                {
                    self.leaving_marks.remove(endpoint);
                }
            }
        }
    }

    /// Returns the endpoints; one that is leaving according to either source has
    /// that phase.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.endpoints
            .values()
            .map(|endpoint| {
                let mut endpoint = endpoint.clone();

                if self.leaving_marks.contains_key(&endpoint.endpoint) {
                    endpoint.phase = Phase::Leaving;
                }

                endpoint
            })
            .collect()
    }

    /// Drops the marks of endpoints that have returned and those that have expired.
    fn expire_marks(&mut self, now: Time) {
        let endpoints = &self.endpoints;

        self.leaving_marks.retain(|id, mark| {
            let live = endpoints
                .get(id)
                .is_some_and(|endpoint| endpoint.phase == Phase::Live);
            let returned = live && mark.confirmed;
            let stale = live && now.since(mark.since) >= LEAVING_MARK_LIFETIME;
            mark.confirmed |= !live;
            !returned && !stale
        });
    }
}
