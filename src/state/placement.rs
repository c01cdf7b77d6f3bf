//! Chooses the endpoint for one call.

use {
    crate::state::{
        affinity, clock::Time, endpoint_state::EndpointState, inventory::Inventory, pool::Kind,
        pool_state::PoolState, tuning::Tuning,
    },
    rand::{Rng, rngs::StdRng},
};

/// Draws after which a large pool is taken to be full.
const DRAWS: usize = 16;
/// Part of a host's entitlement below which it goes over limits.
const UNDER_ENTITLED: f64 = 0.8;

/// What a call asks for.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Endpoints that have had the stage already.
    pub avoid: &'a [usize],
    /// An endpoint on which a call has just ended.
    pub freed: Option<usize>,
    pub prefix: Option<u64>,
}

/// One choice.
#[derive(Debug)]
pub struct Placement<'a> {
    inventory: &'a Inventory,
    now: Time,
    pool: &'a PoolState,
    rng: &'a mut StdRng,
    share: f64,
    tuning: &'a Tuning,
    /// Whether this host has so little of the pool that it may go over an
    /// endpoint's limit, to get in where other hosts hold everything.
    under_entitled: bool,
}

impl<'a> Placement<'a> {
    /// Builds a choice in a pool; `share` is this host's part of all demand.
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

    /// Returns the endpoint to use, or `None` if all are busy or out.
    pub fn choose(&mut self, criteria: Criteria) -> Option<usize> {
        if let Some(prefix) = criteria.prefix
            && self.tuning.affinity
            && self.pool.settings.kind == Kind::Engine
            && let Some(node) = self.affine(prefix, criteria.avoid)
        {
            return Some(node);
        }

        let local = self.draw(&self.pool.local, criteria.avoid);
        let remote = self.draw(&self.pool.remote, criteria.avoid);
        let freed = criteria
            .freed
            .filter(|node| self.pool.members.binary_search(node).is_ok())
            .filter(|node| !criteria.avoid.contains(node) && self.open(*node))
            .map(|node| (self.cost(node), node));

        match (local, remote) {
            (Some(local), Some(remote)) => {
                let link = self.tuning.cross_domain_cost.as_secs_f64();
                Some(if local.0 <= remote.0 + link {
                    local.1
                } else {
                    remote.1
                })
            }
            (local, remote) => local.or(remote).or(freed).map(|(_, node)| node),
        }
    }

    /// Returns the best endpoint for a prefix that is not above the bound: one
    /// that holds it according to hints, or the first in rendezvous order.
    fn affine(&self, prefix: u64, avoid: &[usize]) -> Option<usize> {
        let mean = self.pool.mean(self.share);
        let bound = affinity::load_bound(mean, self.tuning.affinity_bound);
        let fits =
            |node: &usize| !avoid.contains(node) && self.open(*node) && self.load(*node) < bound;
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

    /// Returns the expected time in seconds until the endpoint has done what
    /// it has and one more call.
    fn cost(&self, node: usize) -> f64 {
        let busy = (self.load(node) + 1.0) / f64::from(self.pool.limit());
        busy * self.pool.mean_service() * self.state(node).ejection.slowness().max(0.1)
    }

    /// Draws endpoints until two are open and returns the cheaper one.
    fn draw(&mut self, nodes: &[usize], avoid: &[usize]) -> Option<(f64, usize)> {
        let wanted = if self.tuning.two_choices { 2 } else { 1 };
        let small = nodes.len() <= DRAWS;
        let mut best: Option<(f64, usize)> = None;
        let mut found = 0;
        let mut order = [0; DRAWS];
        order
            .iter_mut()
            .enumerate()
            .for_each(|(index, at)| *at = index);

        for drawn in 0..nodes.len().min(DRAWS) {
            let index = if small {
                let other = self.rng.random_range(drawn..nodes.len());
                order.swap(drawn, other);
                order[drawn]
            } else {
                self.rng.random_range(0..nodes.len())
            };
            let node = nodes[index];

            if avoid.contains(&node) || !self.open(node) {
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

    fn load(&self, node: usize) -> f64 {
        let load = &self.state(node).load;
        let expected = self.pool.expected(self.share);
        f64::from(load.own()) + load.others(self.now, expected, self.tuning)
    }

    /// Returns whether the endpoint can take one more call.
    fn open(&self, node: usize) -> bool {
        let state = self.state(node);
        let ejection = &state.ejection;
        let own = state.load.own();
        let most = if ejection.on_probation() {
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

        fits && own < most && !ejection.is_ejected(self.now) && !ejection.is_paused(self.now)
    }

    fn state(&self, node: usize) -> &'a EndpointState {
        &self.inventory.nodes[node]
    }
}
