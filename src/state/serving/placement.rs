//! Which endpoint of a service takes a request.
//!
//! Requests that share a prompt go to the same engine from every host, by
//! rendezvous hashing with bounded load, so that the engine's cache serves
//! them. Requests without a shared prompt go to the endpoint with the least
//! load, in the own failure domain if that has room.

use {
    crate::state::{
        clock::Time,
        id, rendezvous,
        serving::{health::Health, roster::Entry},
    },
    std::{cmp::Reverse, collections::HashMap, sync::Arc},
};

/// Requests of this host at one endpoint, relative to the mean, up to which
/// it keeps the requests that share its cache.
const LOAD_BOUND: f64 = 1.5;

/// Requests above the bound that an endpoint may have in any case. With few
/// requests a host the mean says little.
const LOAD_BOUND_MARGIN: f64 = 2.0;

/// Part of an endpoint's places that this host fills in its own failure
/// domain before it goes to others.
const LOCAL_SHARE: f64 = 0.5;

/// One endpoint as this host's requests have shown it.
#[derive(Clone, Debug, Default)]
struct EndpointState {
    health: Health,
    incarnation: u64,
    running: u32,
}

/// What a request asks of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Failure domain of the host; it matters to requests without a session.
    pub domain: Option<&'a id::Domain>,
    /// Endpoints that had the request already.
    pub exclude: &'a [id::Endpoint],
    /// Hash of the prompt's shared part.
    pub session: Option<u64>,
}

/// The endpoints of all services, by name.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    endpoints: HashMap<id::Endpoint, EndpointState>,
}

impl Placement {
    /// Forgets the endpoints that are not listed any more and have no request
    /// of this host, and what was seen of an earlier incarnation.
    pub fn retain<'a>(&mut self, entries: impl Iterator<Item = &'a Arc<Entry>>) {
        let listed = entries
            .map(|entry| (&entry.endpoint, entry.incarnation))
            .collect::<HashMap<&id::Endpoint, u64>>();

        self.endpoints
            .retain(|endpoint, state| state.running > 0 || listed.contains_key(endpoint));

        for (endpoint, state) in &mut self.endpoints {
            let incarnation = listed.get(endpoint).copied().unwrap_or(state.incarnation);

            if incarnation != state.incarnation {
                state.health = Health::default();
                state.incarnation = incarnation;
            }
        }
    }

    /// Returns the endpoint that takes a request, or `None` if all are out.
    /// Endpoints that failed a moment ago are used only when no other is left.
    pub fn choose<'a>(
        &self,
        now: Time,
        entries: impl Iterator<Item = &'a Arc<Entry>>,
        demand: Demand,
    ) -> Option<&'a Arc<Entry>> {
        let open = entries
            .filter(|entry| !entry.leaving && !demand.exclude.contains(&entry.endpoint))
            .collect::<Vec<&Arc<Entry>>>();
        let healthy = (open.iter().copied())
            .filter(|entry| {
                !self
                    .health(entry)
                    .is_some_and(|health| health.is_paused(now))
            })
            .collect::<Vec<&Arc<Entry>>>();
        let fast = (healthy.iter().copied())
            .filter(|entry| !self.health(entry).is_some_and(Health::is_slow))
            .collect::<Vec<&Arc<Entry>>>();
        // Most of a service cannot be slow compared with itself.
        let candidates = if fast.len() * 2 >= healthy.len() && !fast.is_empty() {
            fast
        } else if healthy.is_empty() {
            open
        } else {
            healthy
        };

        match demand.session {
            Some(session) => self.by_session(candidates, session),
            None => self.by_load(candidates, demand.domain),
        }
    }

    /// Counts a request that starts at an endpoint.
    pub fn begin(&mut self, entry: &Entry) {
        let state = self.state_mut(entry);
        state.running += 1;
    }

    /// Counts a request that ended at an endpoint.
    pub fn end(&mut self, entry: &Entry) {
        let state = self.state_mut(entry);
        state.running = state.running.saturating_sub(1);
    }

    /// Returns what was seen of an endpoint, to add to it.
    pub fn health_mut(&mut self, entry: &Entry) -> &mut Health {
        &mut self.state_mut(entry).health
    }

    /// Returns this host's requests at an endpoint.
    pub fn running(&self, endpoint: &id::Endpoint) -> u32 {
        self.endpoints
            .get(endpoint)
            .map_or(0, |state| state.running)
    }

    fn by_session<'a>(
        &self,
        candidates: Vec<&'a Arc<Entry>>,
        session: u64,
    ) -> Option<&'a Arc<Entry>> {
        let total = (candidates.iter())
            .map(|entry| self.running(&entry.endpoint))
            .sum::<u32>();
        let mean = f64::from(total + 1) / candidates.len().max(1) as f64;
        let bound = mean * LOAD_BOUND + LOAD_BOUND_MARGIN;
        let mut order = candidates;
        order.sort_by_cached_key(|entry| {
            Reverse(rendezvous::weight(&session, &entry.endpoint.as_str()))
        });

        (order.iter())
            .find(|entry| f64::from(self.running(&entry.endpoint)) < bound)
            .or_else(|| {
                order
                    .iter()
                    .min_by_key(|entry| self.running(&entry.endpoint))
            })
            .copied()
    }

    fn by_load<'a>(
        &self,
        candidates: Vec<&'a Arc<Entry>>,
        domain: Option<&id::Domain>,
    ) -> Option<&'a Arc<Entry>> {
        candidates.into_iter().min_by_key(|entry| {
            let running = self.running(&entry.endpoint);
            let in_other_domain = domain.is_some_and(|domain| *domain != entry.domain);
            let over_share = f64::from(running) >= entry.slots as f64 * LOCAL_SHARE;
            (over_share, in_other_domain, running, rand::random::<u16>())
        })
    }

    fn health(&self, entry: &Entry) -> Option<&Health> {
        let state = self.endpoints.get(&entry.endpoint)?;
        (state.incarnation == entry.incarnation).then_some(&state.health)
    }

    fn state_mut(&mut self, entry: &Entry) -> &mut EndpointState {
        self.endpoints
            .entry(entry.endpoint.clone())
            .or_insert_with(|| EndpointState {
                incarnation: entry.incarnation,
                ..EndpointState::default()
            })
    }
}
