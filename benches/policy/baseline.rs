//! The baseline policies: hosts neither queue requests nor control admission,
//! and retries have no budget.

use {
    persimmoncleat::state::{
        action::Action,
        attempt::End,
        claims::refusal::{Reason, Refusal},
        clock::Time,
        endpoint::{Endpoint, Phase},
        event::Event,
        id,
        request::Request,
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Timeout of an attempt of a repeatable request.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of attempts of one stage.
const MAX_ATTEMPTS: u32 = 4;

/// The rule by which an endpoint is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    LeastOutstanding,
    RoundRobin,
}

/// A policy that chooses endpoints by a [`Choice`] and retries failed attempts.
#[derive(Debug)]
pub struct Baseline {
    attempts: HashMap<id::Attempt, (id::Request, usize, id::Endpoint)>,
    choice: Choice,
    endpoints: BTreeMap<id::Pool, Vec<Endpoint>>,
    next: u64,
    outstanding: HashMap<id::Endpoint, u32>,
    requests: HashMap<id::Request, (Request, u32)>,
}

impl Baseline {
    pub fn new(choice: Choice) -> Self {
        Self {
            attempts: HashMap::new(),
            choice,
            endpoints: BTreeMap::new(),
            next: 0,
            outstanding: HashMap::new(),
            requests: HashMap::new(),
        }
    }

    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(request) => {
                let id = request.request.clone();
                self.requests.insert(id.clone(), (request, 0));
                actions.push(Action::Admitted { request: id });
            }
            Event::Ended { request } => {
                self.requests.remove(&request);
            }
            Event::Endpoints(endpoints) => {
                self.endpoints.clear();
                let live = endpoints
                    .into_iter()
                    .filter(|endpoint| endpoint.phase == Phase::Live);

                for endpoint in live {
                    let pool = self.endpoints.entry(endpoint.pool.clone());
                    pool.or_default().push(endpoint);
                }
            }
            Event::Finished { attempt, report } => {
                self.finish(now, attempt, &report.end, actions);
            }
            Event::Ready { request, stage } => {
                if let Some(entry) = self.requests.get_mut(&request) {
                    entry.1 = 0;
                }

                self.send(now, &request, stage, actions);
            }
            _ => {}
        }
    }

    fn finish(&mut self, now: Time, attempt: id::Attempt, end: &End, actions: &mut Vec<Action>) {
        let Some((id, stage, endpoint)) = self.attempts.remove(&attempt) else {
            return;
        };

        if let Some(outstanding) = self.outstanding.get_mut(&endpoint) {
            *outstanding -= 1;
        }

        let Some((request, tries)) = self.requests.get(&id) else {
            return;
        };

        let retry = match end {
            End::Cancelled | End::Done { .. } => return,
            End::NotRun { .. } => true,
            End::Failed | End::TimedOut => request.repeatable,
        };

        if retry && *tries < MAX_ATTEMPTS {
            self.send(now, &id, stage, actions);
            return;
        }

        actions.push(Action::Failed {
            refusal: Refusal::unknown(Reason::Stage, ""),
            request: id.clone(),
            stage,
        });
        self.requests.remove(&id);
    }

    fn send(&mut self, _: Time, id: &id::Request, stage: usize, actions: &mut Vec<Action>) {
        let Some((request, tries)) = self.requests.get_mut(id) else {
            return;
        };
        let Some(pool) = self.endpoints.get(&request.stages[stage].pool) else {
            return;
        };

        *tries += 1;
        self.next += 1;
        let turn = self.next as usize % pool.len();
        let endpoint = match self.choice {
            Choice::RoundRobin => &pool[turn],
            Choice::LeastOutstanding => (0..pool.len())
                .map(|index| &pool[(turn + index) % pool.len()])
                .min_by_key(|endpoint| self.outstanding.get(&endpoint.endpoint).copied())
                .unwrap_or(&pool[turn]),
        };
        let endpoint = endpoint.endpoint.clone();
        let attempt = id::Attempt(self.next);
        *self.outstanding.entry(endpoint.clone()).or_insert(0) += 1;
        self.attempts
            .insert(attempt, (id.clone(), stage, endpoint.clone()));
        actions.push(Action::Dispatched {
            attempt,
            endpoint,
            hedge: false,
            request: id.clone(),
            stage,
            timeout: if request.repeatable {
                TIMEOUT
            } else {
                TIMEOUT * 6
            },
        });
    }
}
