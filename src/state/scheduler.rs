//! Decides where and when requests run.
//!
//! This module holds the state and receives the events; `arrival`, `dispatch`,
//! `launch` and `completion` implement the decisions.

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
/// It is deterministic: the same settings, seed and events produce the same
/// actions.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) attempts: HashMap<id::Attempt, RunningAttempt>,
    pub(super) inventory: Inventory,
    pub(super) limits: Limits,
    pub(super) next_attempt: u64,
    pub(super) policy: Arc<Policy>,
    pub(super) rng: StdRng,
    /// Number of stages queued so far, which orders them by arrival.
    pub(super) sequence: u64,
    pub(super) counters: Counters,
    pub(super) timers: BTreeSet<(Time, Timer)>,
    pub(super) tuning: Tuning,
    last_warning: Time,
    pub(super) active: HashMap<id::Request, ActiveRequest>,
}

impl Scheduler {
    /// Creates a scheduler for a host in the failure domain `domain`; `seed`
    /// initializes its random number generator.
    pub fn new(domain: id::Domain, seed: u64) -> Self {
        Self::with_tuning(domain, seed, Tuning::default())
    }

    /// Creates a scheduler with custom tuning constants.
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
            last_warning: Time::ZERO,
            active: HashMap::new(),
        }
    }

    /// Returns the queued stages by pool, stage, team and class.
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

                // Items are ordered by deadline, so the last one determines
                // the row's lateness.
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

    /// Returns all counters by name.
    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        self.counters.by_name()
    }

    /// Returns the number of requests in progress by team.
    pub fn demand(&self) -> Demand {
        self.limits.demand().clone()
    }

    /// Returns the endpoints of the host list.
    pub fn endpoints(&self, now: Time) -> Vec<endpoint_row::Row> {
        let listed = self.inventory.endpoints.iter().filter(|state| state.listed);

        listed
            .map(|state| endpoint_row::Row {
                address: state.endpoint.address,
                domain: state.endpoint.domain.clone(),
                ejected: state.ejection.is_ejected(now),
                endpoint: state.endpoint.endpoint.clone(),
                outstanding: state.load.own(),
                phase: state.phase(),
                pool: state.endpoint.pool.clone(),
                queued: state.load.queued(),
                running: state.load.running(),
            })
            .collect()
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.apply_endings(now, &event, actions);
        self.run_timers(now, actions);

        match event {
            Event::Arrived(request) => self.arrive(now, request, actions),
            Event::Cache { endpoint, event } => {
                if let Some(index) = self.inventory.find(&endpoint) {
                    let limit = self.tuning.hints_per_endpoint;
                    self.inventory.hints.apply(index, event, limit);
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
                if let Some(index) = self.inventory.find(&endpoint) {
                    let uniform = self.rng.random_range(0.0..1.0);
                    let share = self.limits.share(now);
                    self.inventory
                        .record_load(now, index, &load, share, uniform);
                    self.dispatch_queued(
                        now,
                        self.inventory.endpoints[index].pool,
                        Some(index),
                        actions,
                    );
                }
            }
            // Handled in `apply_endings`.
            Event::Ended { .. } => {}
            Event::Peers(demands) => self.limits.report(demands),
            Event::Policy(policy) => self.set_policy(now, policy, actions),
            Event::Ready { request, stage } => self.enqueue(now, &request, stage, actions),
            Event::Tick => {
                self.dispatch_all_queued(now, actions);
                self.warn_of_late_queues(now, actions);
            }
        }
    }

    /// Returns the number of requests in progress.
    pub fn outstanding(&self) -> u32 {
        u32::try_from(self.active.len()).unwrap_or(u32::MAX)
    }

    /// Returns the expected duration of a stage and all later ones, without
    /// queues.
    pub(super) fn remaining(&self, active: &ActiveRequest, stage: usize) -> Duration {
        let stages = active.request.stages.get(stage..).unwrap_or(&[]);

        stages
            .iter()
            .filter_map(|stage| self.inventory.find_pool(&stage.pool))
            .map(|pool| {
                let pool = &self.inventory.pools[pool];
                pool.service_times.median(pool.size_of(&active.request))
            })
            .sum()
    }

    /// Runs the timers that are due.
    fn run_timers(&mut self, now: Time, actions: &mut Vec<Action>) {
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

    /// Applies the endings in an event before the timers run, so that no timer
    /// sends an attempt for a request or attempt that has ended.
    fn apply_endings(&mut self, now: Time, event: &Event, actions: &mut Vec<Action>) {
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
            policy.teams.get(team).is_some_and(|settings| {
                class.is_none_or(|class| settings.classes.contains_key(class))
            })
        });
        self.policy = policy;
        self.dispatch_all_queued(now, actions);
    }

    fn warn_of_late_queues(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now.since(self.last_warning) < self.tuning.warn_interval {
            return;
        }

        self.last_warning = now;
        let rows = self.backlog(now);
        let late = rows.into_iter().filter(|row| !row.lateness.is_zero());
        actions.extend(late.map(Action::Warned));
    }
}
