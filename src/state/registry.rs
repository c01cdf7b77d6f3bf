//! The endpoints that a host knows, from the host list and from the
//! endpoints' own word.

use {
    crate::state::{
        clock::Time,
        endpoint::{Endpoint, Phase},
        id,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// How long an endpoint's own word that it leaves outweighs a host list that
/// shows it as live all the time. A list that never shows the leaving is
/// either that far behind, or the endpoint changed its mind.
pub const LEAVING_MARK_LIFETIME: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Mark {
    /// Whether the host list has shown the leaving too.
    confirmed: bool,
    since: Time,
}

/// The endpoints known to one host.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    endpoints: BTreeMap<id::Endpoint, Endpoint>,
    marks: BTreeMap<id::Endpoint, Mark>,
    revision: u64,
}

impl Registry {
    /// Takes a host list, unless it is older than the one known.
    pub fn update(&mut self, now: Time, revision: u64, endpoints: Vec<Endpoint>) {
        if revision < self.revision {
            return;
        }

        self.revision = revision;
        self.endpoints = endpoints
            .into_iter()
            .map(|endpoint| (endpoint.endpoint.clone(), endpoint))
            .collect();
        self.settle(now);
    }

    /// Takes an endpoint's own word that it is leaving, or that it is not.
    /// `said` is the time of the word itself, since load reports lag.
    pub fn report_phase(&mut self, said: Time, endpoint: &id::Endpoint, phase: Phase) {
        match phase {
            Phase::Leaving => {
                self.marks.entry(endpoint.clone()).or_insert(Mark {
                    confirmed: false,
                    since: said,
                });
            }
            Phase::Live => {
                if self
                    .marks
                    .get(endpoint)
                    .is_some_and(|mark| mark.since < said)
                {
                    self.marks.remove(endpoint);
                }
            }
        }
    }

    /// Returns the endpoints; those that leave by either source are leaving.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.endpoints
            .values()
            .map(|endpoint| {
                let mut endpoint = endpoint.clone();

                if self.marks.contains_key(&endpoint.endpoint) {
                    endpoint.phase = Phase::Leaving;
                }

                endpoint
            })
            .collect()
    }

    /// Drops the marks of endpoints that have come back.
    fn settle(&mut self, now: Time) {
        let endpoints = &self.endpoints;

        self.marks.retain(|id, mark| {
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
