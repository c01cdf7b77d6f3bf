//! Decides which request runs where and when.
//!
//! This file holds the state and takes the events; `arrival`, `dispatch` and
//! `completion` hold the decisions.

use {
    crate::state::{
        action::Action,
        active_request::{ActiveRequest, RunningAttempt, Timer},
        backlog,
        clock::Time,
        counters::Counters,
        endpoint_row,
        event::{Demand, Event},
        id,
        inventory::Inventory,
        limit::Limits,
        policy::Policy,
        tuning::Tuning,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// The scheduler of one host.
///
/// The same settings, seed and events always give the same actions.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) attempts: HashMap<id::Attempt, RunningAttempt>,
    pub(super) inventory: Inventory,
    pub(super) limits: Limits,
    pub(super) next_attempt: u64,
    pub(super) policy: Arc<Policy>,
    pub(super) rng: StdRng,
    /// Order of arrival in queues.
    pub(super) sequence: u64,
    pub(super) counters: Counters,
    pub(super) timers: BTreeSet<(Time, Timer)>,
    pub(super) tuning: Tuning,
    warned: Time,
    pub(super) active: HashMap<id::Request, ActiveRequest>,
}

impl Scheduler {
    /// Builds a scheduler; `domain` is its host's own failure domain, and
    /// `seed` starts its random choices.
    pub fn new(domain: id::Domain, seed: u64) -> Self {
        Self::with_tuning(domain, seed, Tuning::default())
    }

    /// Builds a scheduler with other constants than the default ones.
    pub fn with_tuning(domain: id::Domain, seed: u64, tuning: Tuning) -> Self {
        Self {
            attempts: HashMap::new(),
            inventory: Inventory::new(domain),
            limits: Limits::default(),
            next_attempt: 0,
            policy: Arc::default(),
            rng: StdRng::seed_from_u64(seed),
            sequence: 0,
            counters: Counters::default(),
            timers: BTreeSet::new(),
            tuning,
            warned: Time::ZERO,
            active: HashMap::new(),
        }
    }

    /// Returns what waits, by stage, team and class.
    pub fn backlog(&self, now: Time) -> Vec<backlog::Row> {
        let mut rows = Vec::new();

        for pool in &self.inventory.pools {
            let mut by_flow: BTreeMap<_, backlog::Row> = BTreeMap::new();
            let slots = pool.slots(self.limits.share(now));

            for item in pool.queue.iter() {
                let Some(active) = self.active.get(&item.request) else {
                    continue;
                };

                let request = &active.request;
                let stage = &request.stages[item.stage].name;
                let row = by_flow
                    .entry((stage, &request.team, &request.class))
                    .or_insert_with(|| backlog::Row {
                        class: request.class.clone(),
                        depth: 0,
                        lateness: Duration::ZERO,
                        oldest: Duration::ZERO,
                        pool: pool.name.clone(),
                        stage: stage.clone(),
                        team: request.team.clone(),
                    });

                // Items come in the order of their deadlines, so the last one
                // decides.
                let wait = pool.ledger.wait(now, &active.flow, slots).min(1e6);
                let finish =
                    now + Duration::from_secs_f64(wait) + self.remaining(active, item.stage);
                row.depth += 1;
                row.lateness = finish.since(request.deadline);
                row.oldest = row.oldest.max(now.since(item.enqueued));
            }

            rows.extend(by_flow.into_values());
        }

        rows
    }

    /// Returns every counter by name.
    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        self.counters.by_name()
    }

    /// Returns the requests in progress by team.
    pub fn demand(&self) -> Demand {
        self.limits.demand().clone()
    }

    /// Returns every endpoint of the host list.
    pub fn endpoints(&self, now: Time) -> Vec<endpoint_row::Row> {
        let nodes = self.inventory.nodes.iter().filter(|node| node.listed);

        nodes
            .map(|node| endpoint_row::Row {
                address: node.endpoint.address,
                domain: node.endpoint.domain.clone(),
                ejected: node.ejection.is_ejected(now),
                endpoint: node.endpoint.endpoint.clone(),
                outstanding: node.load.own(),
                phase: node.phase(),
                pool: node.endpoint.pool.clone(),
                queued: node.load.queued(),
                running: node.load.running(),
            })
            .collect()
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.prepare(now, &event, actions);
        self.advance(now, actions);

        match event {
            Event::Arrived(request) => self.arrive(now, request, actions),
            Event::Cache { endpoint, event } => {
                if let Some(node) = self.inventory.find(&endpoint) {
                    let limit = self.tuning.hints_per_endpoint;
                    self.inventory.hints.apply(node, event, limit);
                }
            }
            Event::Endpoints(endpoints) => {
                self.inventory
                    .update_endpoints(now, endpoints, &self.policy, &self.tuning);
                self.dispatch_all_queued(now, actions);
            }
            Event::Finished { attempt, report } => {
                self.complete(now, attempt, &report, actions);
            }
            Event::Load { endpoint, load } => {
                if let Some(node) = self.inventory.find(&endpoint) {
                    let uniform = self.rng.random_range(0.0..1.0);
                    let share = self.limits.share(now);
                    self.inventory.report(now, node, &load, share, uniform);
                    self.dispatch_queued(now, self.inventory.nodes[node].pool, Some(node), actions);
                }
            }
            // Done in `prepare`.
            Event::Ended { .. } => {}
            Event::Peers(demands) => self.limits.report(demands),
            Event::Policy(policy) => self.set_policy(now, policy, actions),
            Event::Ready { request, stage } => self.enqueue(now, &request, stage, actions),
            Event::Tick => {
                self.dispatch_all_queued(now, actions);
                self.warn(now, actions);
            }
        }
    }

    /// Returns the number of requests in progress.
    pub fn outstanding(&self) -> u32 {
        u32::try_from(self.active.len()).unwrap_or(u32::MAX)
    }

    /// Returns the expected time in a stage and those that follow.
    pub(super) fn remaining(&self, active: &ActiveRequest, stage: usize) -> Duration {
        let stages = active.request.stages.get(stage..).unwrap_or(&[]);

        stages
            .iter()
            .filter_map(|stage| self.inventory.find_pool(&stage.pool))
            .map(|pool| {
                let pool = &self.inventory.pools[pool];
                pool.estimates.median(pool.size_of(&active.request))
            })
            .sum()
    }

    /// Does what has become due.
    fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some((due, _)) = self.timers.first()
            && *due <= now
            && let Some((_, timer)) = self.timers.pop_first()
        {
            match timer {
                Timer::Expiry(request) => self.expire(now, &request, actions),
                Timer::Hedge(attempt) => self.hedge(now, attempt, actions),
            }
        }
    }

    /// Takes what an event ends before the timers run, so that no timer sends
    /// anything for it.
    fn prepare(&mut self, now: Time, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Ended { request } => self.remove_request(now, request, actions),
            Event::Finished { attempt, .. } => {
                if let Some(running) = self.attempts.get_mut(attempt) {
                    running.ended = true;
                }
            }
            _ => {}
        }
    }

    fn set_policy(&mut self, now: Time, policy: Arc<Policy>, actions: &mut Vec<Action>) {
        self.inventory.set_policy(&policy);
        self.limits.retain(|team, class| {
            policy
                .teams
                .get(team)
                .is_some_and(|known| class.is_none_or(|class| known.classes.contains_key(class)))
        });
        self.policy = policy;
        self.dispatch_all_queued(now, actions);
    }

    fn warn(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now.since(self.warned) < self.tuning.warn_interval {
            return;
        }

        self.warned = now;
        let rows = self.backlog(now);
        let late = rows.into_iter().filter(|row| !row.lateness.is_zero());
        actions.extend(late.map(Action::Warned));
    }
}
