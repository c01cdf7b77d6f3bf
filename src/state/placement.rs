//! Chooses the endpoint for a call.

use {
    crate::state::{
        affinity, clock::Time, endpoint_state::EndpointState, inventory::Inventory, pool::Kind,
        pool_state::PoolState, tuning::Tuning,
    },
    rand::{Rng, rngs::StdRng},
};

/// Maximum number of endpoints drawn. If none of them is available, a larger
/// pool counts as full.
const MAX_DRAWS: usize = 16;
/// Fraction of its entitlement below which a host may exceed an endpoint's limit.
const UNDER_ENTITLED: f64 = 0.8;

/// Conditions and preferences of a call for its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Endpoints to exclude, usually those already tried for the stage.
    pub avoid: &'a [usize],
    /// An endpoint on which a call has just ended or that has just reported its
    /// load; used if no drawn endpoint is available.
    pub freed: Option<usize>,
    /// Hash of the prompt prefix, for cache affinity.
    pub prefix: Option<u64>,
}

/// The context of choosing an endpoint in one pool.
#[derive(Debug)]
pub struct Placement<'a> {
    inventory: &'a Inventory,
    now: Time,
    pool: &'a PoolState,
    rng: &'a mut StdRng,
    share: f64,
    tuning: &'a Tuning,
    /// Whether this host uses so little of the pool that it may exceed an
    /// endpoint's limit, to get a call where other hosts occupy all of them.
    under_entitled: bool,
}

impl<'a> Placement<'a> {
    /// Creates the context for a pool; `share` is this host's fraction of all
    /// demand.
    pub fn new(
        inventory: &'a Inventory,
        now: Time,
        pool: usize,
        rng: &'a mut StdRng,
        share: f64,
        tuning: &'a Tuning,
    ) -> Self {
        let pool = &inventory.pools[pool];

        Self {
            inventory,
            now,
            pool,
            rng,
            share,
            tuning,
            under_entitled: f64::from(pool.own) < pool.entitlement(share) * UNDER_ENTITLED,
        }
    }

    /// Returns the endpoint to use, or `None` if every endpoint is busy, ejected,
    /// paused or excluded.
    pub fn choose(&mut self, criteria: Criteria) -> Option<usize> {
        if let Some(prefix) = criteria.prefix
            && self.tuning.affinity
            && self.pool.settings.kind == Kind::Engine
            && let Some(endpoint) = self.choose_by_prefix(prefix, criteria.avoid)
        {
            return Some(endpoint);
        }

        let local = self.draw(&self.pool.local, criteria.avoid);
        let remote = self.draw(&self.pool.remote, criteria.avoid);
        let freed = criteria
            .freed
            .filter(|endpoint| self.pool.members.binary_search(endpoint).is_ok())
            .filter(|endpoint| !criteria.avoid.contains(endpoint) && self.available(*endpoint))
            .map(|endpoint| (self.cost(endpoint), endpoint));

        match (local, remote) {
            (Some(local), Some(remote)) => {
                let cross_domain_cost = self.tuning.cross_domain_cost.as_secs_f64();
                Some(if local.0 <= remote.0 + cross_domain_cost {
                    local.1
                } else {
                    remote.1
                })
            }
            (local, remote) => local.or(remote).or(freed).map(|(_, endpoint)| endpoint),
        }
    }

    /// Returns the best endpoint for a prefix among those whose load is below the
    /// bound: one that has the prefix cached according to hints, or the first in
    /// rendezvous order.
    fn choose_by_prefix(&self, prefix: u64, avoid: &[usize]) -> Option<usize> {
        let mean = self.pool.mean_load(self.share);
        let bound = affinity::load_bound(mean, self.tuning.affinity_bound);
        let fits = |endpoint: &usize| {
            !avoid.contains(endpoint) && self.available(*endpoint) && self.load(*endpoint) < bound
        };
        let count = self.tuning.affinity_candidates;
        let ranked: Vec<usize> = affinity::ranked(prefix, &self.pool.hashes, count)
            .into_iter()
            .map(|position| self.pool.members[position])
            .filter(fits)
            .collect();
        let holders = self.inventory.hints.holders(prefix);

        ranked
            .iter()
            .find(|endpoint| holders.contains(endpoint))
            .or_else(|| {
                holders.iter().find(|endpoint| {
                    self.pool.members.binary_search(endpoint).is_ok() && fits(endpoint)
                })
            })
            .or(ranked.first())
            .copied()
    }

    /// Returns the expected time in seconds until the endpoint has finished its
    /// current calls and one more.
    fn cost(&self, endpoint: usize) -> f64 {
        let busy = (self.load(endpoint) + 1.0) / f64::from(self.pool.limit());
        busy * self.pool.mean_service() * self.state(endpoint).ejection.latency_ratio().max(0.1)
    }

    /// Draws random endpoints until two available ones are found, or one if
    /// `two_choices` is off, and returns the one with the lowest cost.
    fn draw(&mut self, endpoints: &[usize], avoid: &[usize]) -> Option<(f64, usize)> {
        let wanted = if self.tuning.two_choices { 2 } else { 1 };
        let small = endpoints.len() <= MAX_DRAWS;
        let mut best: Option<(f64, usize)> = None;
        let mut found = 0;
        let mut order = [0; MAX_DRAWS];
        order
            .iter_mut()
            .enumerate()
            .for_each(|(index, at)| *at = index);

        for drawn in 0..endpoints.len().min(MAX_DRAWS) {
            let index = if small {
                let other = self.rng.random_range(drawn..endpoints.len());
                order.swap(drawn, other);
                order[drawn]
            } else {
                self.rng.random_range(0..endpoints.len())
            };
            let endpoint = endpoints[index];

            if avoid.contains(&endpoint) || !self.available(endpoint) {
                continue;
            }

            let cost = self.cost(endpoint);

            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, endpoint));
            }

            found += 1;

            if found == wanted {
                break;
            }
        }

        best
    }

    /// Returns the estimated number of calls on the endpoint.
    fn load(&self, endpoint: usize) -> f64 {
        let load = &self.state(endpoint).load;
        let expected = self.pool.expected_others(self.share);
        f64::from(load.own()) + load.others(self.now, expected, self.tuning)
    }

    /// Returns whether the endpoint can accept one more call.
    fn available(&self, endpoint: usize) -> bool {
        let state = self.state(endpoint);
        let ejection = &state.ejection;
        let own = state.load.own();
        let max_own = if ejection.on_probation() {
            1
        } else {
            self.pool.limit()
        };

        let fits = match state.load.window() {
            Some(window) => {
                let full = f64::from(self.pool.limit());
                own < window || self.under_entitled && own == 0 && self.load(endpoint) <= full
            }
            None => own == 0 || self.load(endpoint) < f64::from(self.pool.limit()),
        };

        fits && own < max_own && !ejection.is_ejected(self.now) && !ejection.is_paused(self.now)
    }

    fn state(&self, endpoint: usize) -> &'a EndpointState {
        &self.inventory.endpoints[endpoint]
    }
}
