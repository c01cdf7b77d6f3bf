//! Chooses the endpoint for a call.

use {
    crate::state::{
        affinity, clock::Time, endpoint_state::EndpointState, inventory::Inventory, pool::Kind,
        pool_state::PoolState, tuning::Tuning,
    },
    rand::{Rng, rngs::StdRng},
};

/// Maximum number of endpoints drawn; a large pool counts as full after that.
const MAX_DRAWS: usize = 16;
/// Fraction of its entitlement below which a host may exceed an endpoint's limit.
const UNDER_ENTITLED: f64 = 0.8;

/// Conditions and preferences of a call for its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Endpoints to exclude, usually those already tried for the stage.
    pub avoid: &'a [usize],
    /// An endpoint on which a call has just ended; used if no drawn endpoint is
    /// available.
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
    /// endpoint's limit, to get calls in where other hosts use all of them.
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
            && let Some(node) = self.choose_by_prefix(prefix, criteria.avoid)
        {
            return Some(node);
        }

        let local = self.draw(&self.pool.local, criteria.avoid);
        let remote = self.draw(&self.pool.remote, criteria.avoid);
        let freed = criteria
            .freed
            .filter(|node| self.pool.members.binary_search(node).is_ok())
            .filter(|node| !criteria.avoid.contains(node) && self.available(*node))
            .map(|node| (self.cost(node), node));

        match (local, remote) {
            (Some(local), Some(remote)) => {
                let cross_domain_cost = self.tuning.cross_domain_cost.as_secs_f64();
                Some(if local.0 <= remote.0 + cross_domain_cost {
                    local.1
                } else {
                    remote.1
                })
            }
            (local, remote) => local.or(remote).or(freed).map(|(_, node)| node),
        }
    }

    /// Returns the best endpoint for a prefix among those whose load is below the
    /// bound: one that has the prefix cached according to hints, or the first in
    /// rendezvous order.
    fn choose_by_prefix(&self, prefix: u64, avoid: &[usize]) -> Option<usize> {
        let mean = self.pool.mean_load(self.share);
        let bound = affinity::load_bound(mean, self.tuning.affinity_bound);
        let fits = |node: &usize| {
            !avoid.contains(node) && self.available(*node) && self.load(*node) < bound
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
            .find(|node| holders.contains(node))
            .or_else(|| {
                holders
                    .iter()
                    .find(|node| self.pool.members.binary_search(node).is_ok() && fits(node))
            })
            .or(ranked.first())
            .copied()
    }

    /// Returns the expected time in seconds until the endpoint has finished its
    /// current calls and one more.
    fn cost(&self, node: usize) -> f64 {
        let busy = (self.load(node) + 1.0) / f64::from(self.pool.limit());
        busy * self.pool.mean_service() * self.state(node).ejection.slowness().max(0.1)
    }

    /// Draws random endpoints until two are available and returns the one with the
    /// lower cost.
    fn draw(&mut self, nodes: &[usize], avoid: &[usize]) -> Option<(f64, usize)> {
        let wanted = if self.tuning.two_choices { 2 } else { 1 };
        let small = nodes.len() <= MAX_DRAWS;
        let mut best: Option<(f64, usize)> = None;
        let mut found = 0;
        let mut order = [0; MAX_DRAWS];
        order
            .iter_mut()
            .enumerate()
            .for_each(|(index, at)| *at = index);

        for drawn in 0..nodes.len().min(MAX_DRAWS) {
            let index = if small {
                let other = self.rng.random_range(drawn..nodes.len());
                order.swap(drawn, other);
                order[drawn]
            } else {
                self.rng.random_range(0..nodes.len())
            };
            let node = nodes[index];

            if avoid.contains(&node) || !self.available(node) {
                continue;
            }

            let cost = self.cost(node);

            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, node));
            }

            found += 1;

            if found == wanted {
                break;
            }
        }

        best
    }

    /// Returns the estimated number of calls on the endpoint.
    fn load(&self, node: usize) -> f64 {
        let load = &self.state(node).load;
        let expected = self.pool.expected_others(self.share);
        f64::from(load.own()) + load.others(self.now, expected, self.tuning)
    }

    /// Returns whether the endpoint can accept one more call.
    fn available(&self, node: usize) -> bool {
        let state = self.state(node);
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
                own < window || self.under_entitled && own == 0 && self.load(node) <= full
            }
            None => own == 0 || self.load(node) < f64::from(self.pool.limit()),
        };

        fits && own < max_own && !ejection.is_ejected(self.now) && !ejection.is_paused(self.now)
    }

    fn state(&self, node: usize) -> &'a EndpointState {
        &self.inventory.nodes[node]
    }
}
