//! Decides which request runs where and when.

use {
    crate::state::{
        action::Action,
        attempt::{End, Report},
        backlog,
        clock::Time,
        endpoint::{Endpoint, Phase},
        event::{Demand, Event},
        id,
        policy::Policy,
        refusal::{Reason, Refusal},
        request::Request,
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// The scheduler of one host.
#[derive(Debug)]
pub struct Scheduler {
    attempts: HashMap<id::Attempt, (id::Request, usize)>,
    endpoints: Vec<Endpoint>,
    next_attempt: u64,
    policy: Arc<Policy>,
    requests: HashMap<id::Request, Request>,
}

impl Scheduler {
    /// Builds a scheduler; `domain` is its host's own failure domain, and
    /// `seed` starts its random choices.
    pub fn new(_domain: id::Domain, _seed: u64) -> Self {
        Self {
            attempts: HashMap::new(),
            endpoints: Vec::new(),
            next_attempt: 0,
            policy: Arc::default(),
            requests: HashMap::new(),
        }
    }

    /// Returns what waits, by stage, team and class.
    pub fn backlog(&self, _now: Time) -> Vec<backlog::Row> {
        Vec::new()
    }

    /// Returns the requests in progress by team.
    pub fn demand(&self) -> Demand {
        let mut demand = BTreeMap::new();

        for request in self.requests.values() {
            *demand.entry(request.team.clone()).or_insert(0) += 1;
        }

        demand
    }

    /// Returns the number of requests in progress.
    pub fn outstanding(&self) -> u32 {
        u32::try_from(self.requests.len()).unwrap_or(u32::MAX)
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(request) => {
                let id = request.request.clone();
                self.requests.insert(id.clone(), request);
                actions.push(Action::Admitted { request: id });
            }
            Event::Ended { request } => {
                self.requests.remove(&request);
            }
            Event::Endpoints(endpoints) => self.endpoints = endpoints,
            Event::Finished { attempt, report } => {
                self.finish(now, attempt, &report, actions);
            }
            Event::Policy(policy) => self.policy = policy,
            Event::Ready { request, stage } => {
                self.dispatch(now, &request, stage, &HashSet::new(), actions);
            }
            Event::Cache { .. } | Event::Load { .. } | Event::Peers(_) | Event::Tick => {}
        }
    }

    fn finish(
        &mut self,
        now: Time,
        attempt: id::Attempt,
        report: &Report,
        actions: &mut Vec<Action>,
    ) {
        let Some((request, stage)) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(known) = self.requests.get(&request) else {
            return;
        };

        let refusal = match (&report.end, known.repeatable) {
            (End::Cancelled | End::Done { .. }, _) => return,
            (End::NotRun { .. }, _) | (_, true) => {
                self.dispatch(now, &request, stage, &HashSet::new(), actions);
                return;
            }
            (_, false) => Refusal::unknown(Reason::Stage, "the endpoint did not answer in full"),
        };

        actions.push(Action::Failed {
            refusal,
            request,
            stage,
        });
    }

    fn dispatch(
        &mut self,
        now: Time,
        id: &id::Request,
        stage: usize,
        avoid: &HashSet<id::Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };

        let pool = &request.stages[stage].pool;
        let candidates: Vec<&Endpoint> = self
            .endpoints
            .iter()
            .filter(|endpoint| {
                endpoint.pool == *pool
                    && endpoint.phase == Phase::Live
                    && !avoid.contains(&endpoint.endpoint)
            })
            .collect();

        if candidates.is_empty() {
            actions.push(Action::Failed {
                refusal: Refusal::not_run(
                    Reason::NoEndpoint,
                    format!("pool {pool} has no live endpoint"),
                ),
                request: id.clone(),
                stage,
            });
            return;
        }

        self.next_attempt += 1;
        let attempt = id::Attempt(self.next_attempt);
        let index = usize::try_from(self.next_attempt).unwrap_or(0);
        let endpoint = candidates[index % candidates.len()].endpoint.clone();
        self.attempts.insert(attempt, (id.clone(), stage));

        actions.push(Action::Dispatched {
            attempt,
            endpoint,
            hedge: false,
            request: id.clone(),
            stage,
            timeout: request.deadline.since(now),
        });
    }
}
