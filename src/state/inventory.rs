//! The endpoints and pools of one scheduler.

use {
    crate::state::{
        clock::Time,
        ejection::Ejection,
        endpoint::{self, Endpoint, Phase},
        endpoint_state::EndpointState,
        fleet::hints::Hints,
        id,
        load::WindowInputs,
        policy::Policy,
        pool_state::PoolState,
        service_times::SizeClass,
        tuning::Tuning,
    },
    std::{collections::HashMap, time::Duration},
};

/// Stores endpoints and pools in vectors; other code refers to them by index.
#[derive(Debug)]
pub struct Inventory {
    by_endpoint: HashMap<id::Endpoint, usize>,
    by_pool: HashMap<id::Pool, usize>,
    domain: id::Domain,
    /// Indices of removed endpoints, to be reused for new ones.
    free: Vec<usize>,
    pub hints: Hints,
    pub endpoints: Vec<EndpointState>,
    pub pools: Vec<PoolState>,
}

impl Inventory {
    /// Creates an empty inventory for a host in the failure domain `domain`.
    pub fn new(domain: id::Domain) -> Self {
        Self {
            by_endpoint: HashMap::new(),
            by_pool: HashMap::new(),
            domain,
            free: Vec::new(),
            hints: Hints::default(),
            endpoints: Vec::new(),
            pools: Vec::new(),
        }
    }

    /// Counts the start of a call.
    pub fn begin(&mut self, now: Time, endpoint: usize) {
        let pool = self.endpoints[endpoint].pool;
        self.endpoints[endpoint].load.begin(now);
        self.pools[pool].own += 1;
    }

    /// Counts the end of a call; `pool` is the pool in which it started.
    pub fn end(&mut self, now: Time, endpoint: usize, pool: usize) {
        self.endpoints[endpoint].load.end(now);
        self.pools[pool].own -= 1;
    }

    /// Counts a failure and ejects the endpoint after too many consecutive ones.
    pub fn record_failure(&mut self, now: Time, endpoint: usize, tuning: &Tuning) {
        if self.endpoints[endpoint].ejection.record_failure(tuning) {
            self.eject(now, endpoint, tuning);
        }
    }

    /// Returns the index of an endpoint.
    pub fn find(&self, endpoint: &id::Endpoint) -> Option<usize> {
        self.by_endpoint.get(endpoint).copied()
    }

    /// Returns the index of a pool.
    pub fn find_pool(&self, pool: &id::Pool) -> Option<usize> {
        self.by_pool.get(pool).copied()
    }

    /// Marks an endpoint as leaving after it reported so itself.
    pub fn mark_leaving(&mut self, now: Time, endpoint: usize) {
        self.endpoints[endpoint].mark_leaving(now);
        self.rebuild(self.endpoints[endpoint].pool);
    }

    /// Records the elapsed time of a cancelled call, which is a lower bound of
    /// its duration.
    pub fn record_lower_bound(
        &mut self,
        now: Time,
        endpoint: usize,
        size: SizeClass,
        elapsed: Duration,
        tuning: &Tuning,
    ) {
        let pool = self.endpoints[endpoint].pool;
        let ratio = self.pools[pool].ratio(size, elapsed);
        self.endpoints[endpoint].ejection.record_lower_bound(ratio);
        self.eject_if_straggler(now, endpoint, tuning);
    }

    /// Records an endpoint's load report. `share` is this host's fraction of all
    /// demand, `uniform` a random number between 0 and 1.
    pub fn record_load(
        &mut self,
        now: Time,
        endpoint: usize,
        load: &endpoint::LoadReport,
        share: f64,
        uniform: f64,
    ) {
        let state = &mut self.endpoints[endpoint];
        let limit = self.pools[state.pool].limit();
        let inputs = WindowInputs {
            limit,
            uniform,
            share,
        };
        let change = state.load.report(now, load, inputs);

        if state.phase() == Phase::Live {
            let pool = &mut self.pools[state.pool];
            pool.reported = (pool.reported + change).max(0.0);
        }
    }

    /// Applies the pool settings of a policy.
    pub fn set_policy(&mut self, policy: &Policy) {
        for pool in &mut self.pools {
            pool.settings = policy.pools.get(&pool.name).cloned().unwrap_or_default();
        }
    }

    /// Updates the inventory to the endpoints of a new host list. An endpoint
    /// that is no longer listed stays until its calls have ended.
    pub fn update_endpoints(
        &mut self,
        now: Time,
        host_list: Vec<Endpoint>,
        policy: &Policy,
        tuning: &Tuning,
    ) {
        let mut listed = vec![false; self.endpoints.len() + host_list.len()];

        for endpoint in host_list {
            let pool = self.find_or_add_pool(&endpoint.pool, policy, tuning);
            let updated = self.upsert_endpoint(now, endpoint, pool, tuning);
            listed[updated] = true;
        }

        for (index, state) in self.endpoints.iter_mut().enumerate() {
            if listed[index] || !state.listed && state.load.own() > 0 {
                continue;
            }

            if state.listed {
                state.unlist();
                self.hints.remove_endpoint(index);
            }

            let id = &state.endpoint.endpoint;

            if state.load.own() == 0 && self.by_endpoint.get(id) == Some(&index) {
                self.by_endpoint.remove(id);
                self.free.push(index);
            }
        }

        self.rebuild_all();
    }

    /// Records a call that returned a complete answer.
    pub fn record_success(
        &mut self,
        now: Time,
        endpoint: usize,
        size: SizeClass,
        elapsed: Duration,
        tuning: &Tuning,
    ) {
        let pool = &mut self.pools[self.endpoints[endpoint].pool];
        let ratio = pool.ratio(size, elapsed);
        let comparable = pool.service_times.has_enough_samples(size);
        pool.service_times.record(size, elapsed);
        pool.budget.deposit(tuning);

        if comparable {
            pool.record_latency_ratio(ratio);
            self.endpoints[endpoint]
                .ejection
                .record_success(ratio, tuning);
            self.eject_if_straggler(now, endpoint, tuning);
        } else {
            self.endpoints[endpoint]
                .ejection
                .record_success(1.0, tuning);
        }
    }

    /// Ejects an endpoint, unless that would eject more than half of its pool.
    fn eject(&mut self, now: Time, endpoint: usize, tuning: &Tuning) {
        let members = &self.pools[self.endpoints[endpoint].pool].members;
        let ejected = members
            .iter()
            .filter(|member| self.endpoints[**member].ejection.is_ejected(now))
            .count();

        if tuning.ejection
            && !self.endpoints[endpoint].ejection.is_ejected(now)
            && (ejected + 1) * 2 <= members.len()
        {
            self.endpoints[endpoint].ejection.eject(now, tuning);
        }
    }

    fn eject_if_straggler(&mut self, now: Time, endpoint: usize, tuning: &Tuning) {
        let pool = self.pools[self.endpoints[endpoint].pool].latency_ratio();

        if self.endpoints[endpoint]
            .ejection
            .is_straggler(pool.max(1.0), tuning)
        {
            self.eject(now, endpoint, tuning);
        }
    }

    fn upsert_endpoint(
        &mut self,
        now: Time,
        endpoint: Endpoint,
        pool: usize,
        tuning: &Tuning,
    ) -> usize {
        if let Some(index) = self.by_endpoint.get(&endpoint.endpoint).copied() {
            let state = &mut self.endpoints[index];

            if state.endpoint.address != endpoint.address {
                state.ejection = Ejection::default();
            }

            state.update(now, endpoint, pool, tuning);
            return index;
        }

        let id = endpoint.endpoint.clone();
        let state = EndpointState::new(endpoint, pool);

        let index = if let Some(index) = self.free.pop() {
            self.endpoints[index] = state;
            index
        } else {
            self.endpoints.push(state);
            self.endpoints.len() - 1
        };

        self.by_endpoint.insert(id, index);
        index
    }

    fn find_or_add_pool(&mut self, name: &id::Pool, policy: &Policy, tuning: &Tuning) -> usize {
        if let Some(index) = self.by_pool.get(name) {
            return *index;
        }

        let settings = policy.pools.get(name).cloned().unwrap_or_default();
        self.pools
            .push(PoolState::new(name.clone(), settings, tuning));
        self.by_pool.insert(name.clone(), self.pools.len() - 1);
        self.pools.len() - 1
    }

    fn rebuild(&mut self, index: usize) {
        let members = self.pools[index].members.clone();
        self.clear_members(index);
        members
            .into_iter()
            .for_each(|endpoint| self.add_member(endpoint));
    }

    fn rebuild_all(&mut self) {
        (0..self.pools.len()).for_each(|pool| self.clear_members(pool));
        (0..self.endpoints.len()).for_each(|endpoint| self.add_member(endpoint));
    }

    fn clear_members(&mut self, index: usize) {
        let pool = &mut self.pools[index];
        pool.remote.clear();
        pool.hashes.clear();
        pool.local.clear();
        pool.members.clear();
        pool.reported = 0.0;
    }

    fn add_member(&mut self, endpoint: usize) {
        let state = &self.endpoints[endpoint];
        let pool = &mut self.pools[state.pool];

        if state.phase() != Phase::Live {
            return;
        }

        pool.hashes.push(state.hash);
        pool.members.push(endpoint);
        pool.reported += state.load.reported();

        if state.endpoint.domain == self.domain {
            pool.local.push(endpoint);
        } else {
            pool.remote.push(endpoint);
        }
    }
}
