//! Chooses the endpoint of a service for a request.
//!
//! Requests that share a prompt are sent to the same engine by every host, using
//! rendezvous hashing with bounded loads, so that they hit the engine's cache.
//! Requests without a shared prompt go to the endpoint with the least load,
//! preferably in the host's own failure domain.

use {
    crate::state::{
        clock::Time,
        id, rendezvous,
        serving::{
            cold::{Fleet, Pacer, Role},
            health::{Health, Notice},
            pace::{
                Load, Pace, SLOW_PACE,
                response::{Responses, Usual},
            },
            roster::Entry,
        },
    },
    std::{cmp::Reverse, collections::HashMap, sync::Arc, time::Duration},
};

/// Number of this host's requests at one endpoint, relative to the mean, up to
/// which the endpoint receives the requests that hash to it.
const LOAD_BOUND: f64 = 1.5;

/// Number of requests added to the load bound, since the mean is not meaningful
/// when a host has few requests.
const LOAD_BOUND_MARGIN: f64 = 2.0;

/// Fraction of an endpoint's slots that this host fills in its own failure
/// domain before it uses other domains.
const LOCAL_SHARE: f64 = 0.5;

/// The state of one endpoint, as observed by this host's requests.
#[derive(Clone, Debug, Default)]
struct EndpointState {
    health: Health,
    incarnation: u64,
    /// The pace that the endpoint reports.
    pace: Pace,
    responses: Responses,
    /// Number of this host's requests in progress.
    running: u32,
    /// When this host last sent it a request.
    sent: Option<Time>,
}

/// The criteria by which a request's endpoint is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Failure domain of the host. Used only for requests without a session.
    pub domain: Option<&'a id::Domain>,
    /// Endpoints that already received the request.
    pub exclude: &'a [id::Endpoint],
    /// Hash of the shared part of the prompt.
    pub session: Option<u64>,
}

/// The observed state of the endpoints of all services, by name.
#[derive(Clone, Debug)]
pub struct Placement {
    /// This host's share of the requests to cold endpoints.
    cold: Pacer,
    endpoints: HashMap<id::Endpoint, EndpointState>,
    /// Usual response times of services.
    usual: HashMap<id::Pool, Usual>,
}

impl Default for Placement {
    fn default() -> Self {
        Self::new(rand::random())
    }
}

impl Placement {
    /// Creates the state before the first request. `seed` is a random number that makes
    /// this host's slots at cold endpoints independent of those of others.
    pub fn new(seed: u64) -> Self {
        Self {
            cold: Pacer::new(Role::Alone, seed),
            endpoints: HashMap::new(),
            usual: HashMap::new(),
        }
    }

    /// Sets which hosts may send requests to cold endpoints.
    pub fn set_fleet(&mut self, fleet: Fleet) {
        self.cold.set_fleet(fleet);
    }

    /// Returns whether this host may send a request of its own choice to an endpoint
    /// now. Only a cold endpoint is limited.
    pub fn has_slot(&self, now: Time, entry: &Entry) -> bool {
        self.cold.allows(now, entry)
    }

    /// Records that this host has chosen an endpoint for a request.
    pub fn record_choice(&mut self, now: Time, entry: &Entry) {
        self.cold.record_request(now, entry);
    }

    /// Records that an endpoint cannot be reached.
    pub fn record_unreachable(&mut self, now: Time, entry: &Entry) {
        self.health_mut(entry).record_unreachable(now);
        self.cold.record_unreachable(now, entry);
    }

    /// Records an answer of an endpoint, and returns whether it turns out to be cold.
    pub fn record_answer(&mut self, now: Time, entry: &Entry) -> bool {
        self.cold.record_answer(now, entry)
    }

    /// Returns the number of endpoints that are cold.
    pub fn cold<'a>(&self, now: Time, entries: impl Iterator<Item = &'a Arc<Entry>>) -> usize {
        entries
            .filter(|entry| self.cold.is_cold(now, entry))
            .count()
    }

    /// Returns the time until the first of the open endpoints has a slot, if all are
    /// cold.
    pub fn slot_wait<'a>(
        &self,
        now: Time,
        entries: impl Iterator<Item = &'a Arc<Entry>>,
    ) -> Option<Duration> {
        let next = entries.map(|entry| self.cold.next(now, entry)).min()?;
        (next > now).then(|| next.since(now))
    }

    /// Removes the endpoints that are no longer listed, have no request of this host
    /// and may be sent one if they are listed again, and resets the health of those with a new incarnation.
    pub fn retain<'a>(&mut self, now: Time, entries: impl Iterator<Item = &'a Arc<Entry>>) {
        let listed = entries
            .map(|entry| (&entry.endpoint, entry.incarnation))
            .collect::<HashMap<&id::Endpoint, u64>>();

        self.endpoints.retain(|endpoint, state| {
            state.running > 0 || listed.contains_key(endpoint) || state.health.is_kept(now)
        });

        for (endpoint, state) in &mut self.endpoints {
            let incarnation = listed.get(endpoint).copied().unwrap_or(state.incarnation);

            if incarnation != state.incarnation {
                state.health = Health::default();
                state.pace = Pace::default();
                state.responses = Responses::default();
                state.incarnation = incarnation;
            }
        }
    }

    /// Returns the endpoint for a request, or `None` if all of them are leaving,
    /// deferred, excluded or cold without a slot. Paused endpoints are used only when no other is left.
    pub fn choose<'a>(
        &self,
        now: Time,
        entries: impl Iterator<Item = &'a Arc<Entry>>,
        criteria: Criteria,
    ) -> Option<&'a Arc<Entry>> {
        let open = entries
            .filter(|entry| {
                let excluded = criteria.exclude.contains(&entry.endpoint);
                !entry.leaving
                    && !excluded
                    && !self.is_deferred(now, entry)
                    && self.has_slot(now, entry)
            })
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
        // Slow endpoints are avoided only if they are at most half of the healthy
        // ones: most of a service cannot be slow compared with itself.
        let candidates = if fast.len() * 2 >= healthy.len() && !fast.is_empty() {
            fast
        } else if healthy.is_empty() {
            open
        } else {
            healthy
        };

        match criteria.session {
            Some(session) => self.by_session(candidates, session),
            None => self.by_load(now, candidates, criteria.domain),
        }
    }

    /// Returns whether an endpoint wants no requests from this host now.
    pub fn is_deferred(&self, now: Time, entry: &Entry) -> bool {
        self.health(entry)
            .is_some_and(|health| health.is_deferred(now))
    }

    /// Returns the time until the first of the endpoints wants requests again, if
    /// all of them are deferred.
    pub fn deferral<'a>(
        &self,
        now: Time,
        entries: impl Iterator<Item = &'a Arc<Entry>>,
    ) -> Option<Duration> {
        let mut first: Option<Time> = None;

        for entry in entries {
            let health = self.health(entry)?;

            if !health.is_deferred(now) {
                return None;
            }

            let until = health.deferred_until(now);
            first = Some(first.map_or(until, |first| first.min(until)));
        }

        first.map(|until| until.since(now))
    }

    /// Records the start of a request at an endpoint.
    pub fn begin(&mut self, now: Time, entry: &Entry) {
        let state = self.state_mut(entry);
        state.running += 1;
        state.sent = Some(now);
        state.health.record_request(now);
    }

    /// Records what an endpoint says in an answer of the requests that it takes.
    /// Returns whether that has changed.
    pub fn record_notice(&mut self, now: Time, entry: &Entry, notice: Notice) -> bool {
        let known = notice.rate.is_some() || self.health(entry).is_some();
        known && self.health_mut(entry).record_notice(now, notice)
    }

    /// Records the load that an endpoint reports in an answer.
    pub fn record_load(&mut self, now: Time, entry: &Entry, load: Load) {
        let state = self.state_mut(entry);
        let running = usize::try_from(state.running).unwrap_or(usize::MAX);
        state.pace.record_report(now, load, running);
    }

    /// Records the response time of a request.
    pub fn record_response(&mut self, now: Time, entry: &Entry, elapsed: Duration) {
        let usual = self.usual.entry(entry.service.clone()).or_default();
        let ratio = usual.record(elapsed);
        self.state_mut(entry).responses.record(now, ratio);
    }

    /// Forgets the load that endpoints have reported, and their response times.
    pub fn forget_loads(&mut self) {
        self.usual.clear();

        for state in self.endpoints.values_mut() {
            state.pace = Pace::default();
            state.responses = Responses::default();
        }
    }

    /// Returns how many times its usual time an endpoint takes at present.
    fn pace(&self, now: Time, entry: &Entry) -> f64 {
        let state = self.endpoints.get(&entry.endpoint);
        let state = state.filter(|state| state.incarnation == entry.incarnation);
        state.map_or(1.0, |state| {
            let reported = state.pace.reported(now);
            let reported = reported.filter(|_| state.pace.has_pace());
            reported.unwrap_or_else(|| state.responses.ratio(now))
        })
    }

    /// Returns whether an endpoint has reported just now that a request would wait.
    fn is_full(&self, now: Time, entry: &Entry) -> bool {
        let state = self.endpoints.get(&entry.endpoint);
        state.is_some_and(|state| state.pace.is_full(now))
    }

    /// Records the end of a request at an endpoint.
    pub fn end(&mut self, entry: &Entry) {
        let state = self.state_mut(entry);
        state.running = state.running.saturating_sub(1);
    }

    /// Returns the health of an endpoint, for recording results.
    pub fn health_mut(&mut self, entry: &Entry) -> &mut Health {
        &mut self.state_mut(entry).health
    }

    /// Returns the number of this host's requests in progress at an endpoint.
    pub fn running(&self, endpoint: &id::Endpoint) -> u32 {
        self.endpoints
            .get(endpoint)
            .map_or(0, |state| state.running)
    }

    /// Returns when this host last sent a request to an endpoint, if it is known.
    pub fn last_sent(&self, entry: &Entry) -> Option<Time> {
        self.endpoints.get(&entry.endpoint)?.sent
    }

    /// Returns the first endpoint in the session's rendezvous order whose load is
    /// below the bound, or the one with the least load if there is none.
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

    /// Returns the endpoint with the least load, preferring those that are not slow at
    /// present and the host's own failure domain. Ties are broken at random.
    fn by_load<'a>(
        &self,
        now: Time,
        candidates: Vec<&'a Arc<Entry>>,
        domain: Option<&id::Domain>,
    ) -> Option<&'a Arc<Entry>> {
        candidates.into_iter().min_by_key(|entry| {
            let running = self.running(&entry.endpoint);
            let in_other_domain = domain.is_some_and(|domain| *domain != entry.domain);
            let over_share = f64::from(running) >= entry.slots as f64 * LOCAL_SHARE;
            let over_share = over_share || self.is_full(now, entry);
            let pace = (self.pace(now, entry) / SLOW_PACE) as u64;
            let random = rand::random::<u16>();
            (over_share, pace, in_other_domain, running, random)
        })
    }

    /// Returns the health of an endpoint, unless it was observed on another
    /// incarnation.
    pub fn health(&self, entry: &Entry) -> Option<&Health> {
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
