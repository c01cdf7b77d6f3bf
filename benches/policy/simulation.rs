//! A discrete-event simulation of several hosts in front of fake endpoints.

use {
    crate::{
        deployment::{CONCURRENCY, Deployment, HOSTS, TEAMS, domain},
        fake_endpoint::{Cost, FakeEndpoint, Job, Key},
        outcome::{Outcome, Status},
        scenario::{FAULT_S, Scenario},
        traffic::{self, Call},
        variant::{Policy, Variant},
    },
    persimmoncleat::state::{
        action::Action,
        attempt::{End, Report},
        clock::Time,
        endpoint::{CacheEvent, CacheEventKind, Endpoint, LoadReport},
        event::Event,
        id,
        request::Request,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// Interval between the ticks of a host's scheduler.
const TICK_INTERVAL_MS: f64 = 20.0;
/// Interval between the load reports of an endpoint.
const REPORT_INTERVAL_MS: f64 = 200.0;
/// Interval between two exchanges of demand between hosts, and their delay.
const PEERS_INTERVAL_MS: f64 = 500.0;
/// Time until the list of endpoints reflects a fault.
const LIST_LAG_MS: f64 = 3000.0;
/// One-way latency within a failure domain.
const SAME_DOMAIN_MS: f64 = 0.3;
/// Fraction of messages between domains that are lost.
const MESSAGE_LOSS: f64 = 0.003;
/// Time added to a lost message until it is retransmitted.
const RESEND_MS: f64 = 200.0;
/// Fraction of cache events that are lost.
const CACHE_LOSS: f64 = 0.01;
/// Factor by which a straggler is slower.
const STRAGGLER_SLOWDOWN: f64 = 5.0;
/// Time after the last arrival during which requests may still end.
const TAIL_MS: f64 = 30_000.0;

/// An event of the simulation that is scheduled for a point in virtual time.
enum Scheduled {
    Arrive(usize),
    Cancel(usize, Key),
    Deliver(usize, Event),
    Ends(usize, u64),
    Fault,
    List,
    Peers,
    Reach(usize, Job),
    Reply(Key, End),
    Reports,
    Tick,
    Timeout(Key),
}

/// An attempt that a host has dispatched.
struct Attempt {
    call: usize,
    endpoint: usize,
    sent_ms: f64,
    stage: usize,
}

/// The state of one run.
pub struct Simulation {
    attempts: HashMap<Key, Attempt>,
    calls: Vec<Call>,
    deployment: Deployment,
    end_ms: f64,
    endpoints: Vec<Endpoint>,
    events: BTreeMap<(u64, u64), Scheduled>,
    hosts: Vec<Policy>,
    index: HashMap<id::Endpoint, usize>,
    lost_domain: Option<usize>,
    fake_endpoints: Vec<FakeEndpoint>,
    now_ms: f64,
    outcome: Outcome,
    rng: StdRng,
    scenario: Scenario,
    sequence: u64,
}

impl Simulation {
    /// Runs a scenario and returns the outcome of its requests.
    pub fn run(
        deployment: &Deployment,
        scenario: Scenario,
        variant: Variant,
        seed: u64,
    ) -> Outcome {
        let mut simulation = Self::new(deployment, scenario, variant, seed);
        simulation.start();

        while let Some(((micros, _), next)) = simulation.events.pop_first() {
            simulation.now_ms = micros as f64 / 1000.0;

            if simulation.now_ms > simulation.end_ms {
                break;
            }

            simulation.step(next);
        }

        simulation.outcome.finish(&simulation.calls, deployment);
        simulation.outcome
    }

    fn new(deployment: &Deployment, scenario: Scenario, variant: Variant, seed: u64) -> Self {
        let calls = traffic::calls(deployment, scenario, seed);
        let endpoints = deployment.endpoints();
        let fake_endpoint = |endpoint: &Endpoint| {
            FakeEndpoint::new(endpoint.pool.as_str() == "generate", CONCURRENCY as usize)
        };

        Self {
            attempts: HashMap::new(),
            deployment: *deployment,
            end_ms: scenario.end_s() * 1000.0 + TAIL_MS,
            events: BTreeMap::new(),
            hosts: (0..HOSTS)
                .map(|host| variant.build(domain(deployment.domain(host)), seed + host as u64))
                .collect(),
            index: endpoints
                .iter()
                .enumerate()
                .map(|(index, endpoint)| (endpoint.endpoint.clone(), index))
                .collect(),
            lost_domain: None,
            fake_endpoints: endpoints.iter().map(fake_endpoint).collect(),
            now_ms: 0.0,
            outcome: Outcome::new(scenario, calls.len()),
            rng: StdRng::seed_from_u64(seed ^ 0xfeed),
            scenario,
            sequence: 0,
            calls,
            endpoints,
        }
    }

    fn start(&mut self) {
        let policy = Arc::new(self.deployment.policy());

        for host in 0..HOSTS {
            self.deliver(host, Event::Policy(Arc::clone(&policy)));
            self.deliver(host, Event::Endpoints(self.endpoints.clone()));
        }

        for call in 0..self.calls.len() {
            self.schedule_at(self.calls[call].at_ms, Scheduled::Arrive(call));
        }

        self.schedule_at(FAULT_S * 1000.0, Scheduled::Fault);
        self.schedule_at(TICK_INTERVAL_MS, Scheduled::Tick);
        self.schedule_at(REPORT_INTERVAL_MS, Scheduled::Reports);
        self.schedule_at(PEERS_INTERVAL_MS, Scheduled::Peers);
    }

    fn schedule_at(&mut self, at_ms: f64, next: Scheduled) {
        self.sequence += 1;
        let micros = (at_ms * 1000.0).ceil() as u64;
        self.events.insert((micros, self.sequence), next);
    }

    fn step(&mut self, next: Scheduled) {
        match next {
            Scheduled::Arrive(call) => self.arrive(call),
            Scheduled::Cancel(endpoint, key) => {
                let (cost, started) = self.fake_endpoints[endpoint].cancel(self.now_ms, key);
                self.charge(key, cost);
                self.record_started(endpoint, &started);
            }
            Scheduled::Deliver(host, event) => self.deliver(host, event),
            Scheduled::Ends(endpoint, generation) => self.complete(endpoint, generation),
            Scheduled::Fault => self.fault(),
            Scheduled::List => {
                let fake_endpoints = &self.fake_endpoints;
                let live = |(index, _): &(usize, &Endpoint)| !fake_endpoints[*index].dead;
                let list: Vec<Endpoint> = self
                    .endpoints
                    .iter()
                    .enumerate()
                    .filter(live)
                    .map(|(_, endpoint)| endpoint.clone())
                    .collect();

                for host in 0..HOSTS {
                    self.deliver(host, Event::Endpoints(list.clone()));
                }
            }
            Scheduled::Peers => {
                let demands: Vec<_> = self.hosts.iter().map(Policy::demand).collect();

                for host in 0..HOSTS {
                    let mut peers = demands.clone();
                    peers.remove(host);
                    self.schedule_at(
                        self.now_ms + PEERS_INTERVAL_MS,
                        Scheduled::Deliver(host, Event::Peers(peers)),
                    );
                }

                self.schedule_at(self.now_ms + PEERS_INTERVAL_MS, Scheduled::Peers);
            }
            Scheduled::Reach(endpoint, job) => self.reach_endpoint(endpoint, job),
            Scheduled::Reply(key, end) => self.reply(key, end),
            Scheduled::Reports => self.reports(),
            Scheduled::Tick => {
                for host in 0..HOSTS {
                    self.deliver(host, Event::Tick);
                }

                self.schedule_at(self.now_ms + TICK_INTERVAL_MS, Scheduled::Tick);
            }
            Scheduled::Timeout(key) => {
                if let Some(attempt) = self.attempts.get(&key) {
                    let endpoint = attempt.endpoint;
                    self.cancel_attempt(endpoint, key);
                    self.reply(key, End::TimedOut);
                }
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let now = self.time();
        let call = &mut self.calls[index];

        // Callers avoid the hosts of a lost domain.
        while self.lost_domain.is_some()
            && self.lost_domain == Some(self.deployment.domain(call.host))
        {
            call.host = (call.host + 1) % HOSTS;
        }

        let kind = &self.deployment.request_kinds[call.kind_index];
        let host = call.host;
        let request = Request {
            arrived: now,
            class: kind.class.into(),
            deadline: now + Duration::from_micros((call.deadline_ms * 1000.0) as u64),
            max_tokens: kind.tokens,
            pipeline: kind.class.into(),
            prefix: Some(call.prefix),
            repeatable: kind.repeatable,
            request: format!("h{host}.1.{index}").into(),
            stages: kind.pipeline(),
            team: TEAMS[call.team].0.into(),
        };
        self.outcome.arrive(index, self.now_ms);
        self.deliver(host, Event::Arrived(request));
    }

    fn perform(&mut self, host: usize, action: Action) {
        match action {
            Action::Admitted { request } => {
                let call = call_index(&request);
                self.outcome.entries[call].accepted = true;
                self.stage_ready(host, call, 0);
            }
            Action::Cancelled { attempt, .. } => {
                let key = (host, attempt.0);

                if let Some(dispatched) = self.attempts.get(&key) {
                    let endpoint = dispatched.endpoint;
                    self.cancel_attempt(endpoint, key);
                    // The host closes the connection without waiting for a response.
                    self.schedule_at(self.now_ms, Scheduled::Reply(key, End::Cancelled));
                }
            }
            Action::Dispatched {
                attempt,
                endpoint,
                request,
                stage,
                timeout,
                ..
            } => {
                let endpoint = self.index[&endpoint];
                let call = call_index(&request);
                self.dispatch((host, attempt.0), endpoint, call, stage, timeout);
            }
            Action::Failed { request, .. } => self.fail(call_index(&request), None),
            Action::Refused { request, refusal } => {
                self.fail(call_index(&request), Some(refusal.retry_after));
            }
            Action::Warned(_) => {}
        }
    }

    fn charge(&mut self, key: Key, cost: Cost) {
        self.outcome.charge(key, cost, self.now_ms);
    }

    fn dispatch(
        &mut self,
        key: Key,
        endpoint: usize,
        call: usize,
        stage: usize,
        timeout: Duration,
    ) {
        let details = &self.calls[call];
        let kind = &self.deployment.request_kinds[details.kind_index];
        let engine = kind.stages[stage] == "generate";
        let job = Job {
            key,
            prefix: engine.then_some(details.prefix),
            service_ms: (!engine).then(|| details.service_ms[stage]),
            tokens: kind.tokens,
        };
        self.outcome
            .dispatch(key, call, stage, kind.stages[stage], kind.class);
        self.attempts.insert(
            key,
            Attempt {
                call,
                endpoint,
                sent_ms: self.now_ms,
                stage,
            },
        );
        let delay_ms = self.message_delay_ms(key.0, endpoint);
        self.schedule_at(self.now_ms + delay_ms, Scheduled::Reach(endpoint, job));
        let timeout_ms = timeout.as_secs_f64() * 1000.0;
        self.schedule_at(self.now_ms + timeout_ms, Scheduled::Timeout(key));
    }

    fn message_delay_ms(&mut self, host: usize, endpoint: usize) -> f64 {
        let host_domain = domain(self.deployment.domain(host));

        if host_domain == self.endpoints[endpoint].domain {
            return SAME_DOMAIN_MS;
        }

        let resend_ms = if self.rng.random_bool(MESSAGE_LOSS) {
            RESEND_MS
        } else {
            0.0
        };
        self.deployment.link_ms * self.rng.random_range(0.95..1.05) + resend_ms
    }

    fn complete(&mut self, endpoint: usize, generation: u64) {
        if self.fake_endpoints[endpoint].generation != generation {
            return;
        }

        let (done, started) = self.fake_endpoints[endpoint].finish(self.now_ms);

        for (key, cost) in done {
            self.charge(key, cost);
            let end = if self.take_fault(key) {
                End::Failed
            } else {
                End::Done { tokens: 1 }
            };
            let delay_ms = self.message_delay_ms(key.0, endpoint);
            self.schedule_at(self.now_ms + delay_ms, Scheduled::Reply(key, end));
        }

        self.record_started(endpoint, &started);
    }

    fn fail(&mut self, call: usize, retry_after: Option<Duration>) {
        self.outcome.entries[call].status = if retry_after.is_some() {
            Status::Refused
        } else {
            Status::Failed
        };
        let wait_ms = retry_after.map_or(0.0, |wait| wait.as_secs_f64() * 1000.0);
        self.resend(call, wait_ms);
    }

    /// Returns whether an attempt that ran to completion fails, and clears the
    /// fault, so that the next attempt succeeds.
    fn take_fault(&mut self, key: Key) -> bool {
        self.attempts.get(&key).is_some_and(|attempt| {
            std::mem::take(&mut self.calls[attempt.call].faulty[attempt.stage])
        })
    }

    fn fault(&mut self) {
        let dead: Vec<usize> = match self.scenario {
            Scenario::Straggler => {
                let engine = self.index[&id::Endpoint::from("generate-1")];
                self.fake_endpoints[engine].set_slowdown(self.now_ms, STRAGGLER_SLOWDOWN);
                self.schedule_completion(engine);
                return;
            }
            Scenario::ThirdDead => (0..self.deployment.engines / 3)
                .map(|index| self.index[&id::Endpoint::from(format!("generate-{index}"))])
                .collect(),
            Scenario::DomainLost => {
                self.lost_domain = Some(1);
                let in_lost_domain = |index: &usize| self.endpoints[*index].domain == domain(1);
                (0..self.endpoints.len()).filter(in_lost_domain).collect()
            }
            _ => return,
        };

        for endpoint in dead {
            let keys = self.fake_endpoints[endpoint].crash(self.now_ms);

            if self.lost_domain.is_none() {
                for key in keys {
                    self.schedule_at(self.now_ms + 1.0, Scheduled::Reply(key, End::Failed));
                }
            }
        }

        self.schedule_at(self.now_ms + LIST_LAG_MS, Scheduled::List);
    }

    fn reach_endpoint(&mut self, endpoint: usize, job: Job) {
        if !self.attempts.contains_key(&job.key) {
            return;
        }

        if self.fake_endpoints[endpoint].dead {
            if self.lost_domain.is_none() {
                let end = End::NotRun { leaving: false };
                self.schedule_at(self.now_ms + 1.0, Scheduled::Reply(job.key, end));
            }

            return;
        }

        let started = self.fake_endpoints[endpoint].add(self.now_ms, job);
        self.record_started(endpoint, &started);
    }

    fn stage_ready(&mut self, host: usize, call: usize, stage: usize) {
        self.outcome.entries[call].ready_ms = self.now_ms;
        let request = request_id(host, call);
        self.deliver(host, Event::Ready { request, stage });
    }

    fn reply(&mut self, key: Key, end: End) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };

        let (host, call, stage) = (key.0, attempt.call, attempt.stage);

        if self.lost_domain.is_some() && self.lost_domain == Some(self.deployment.domain(host)) {
            return;
        }

        let elapsed_ms = self.now_ms - attempt.sent_ms;
        let done = matches!(end, End::Done { .. });
        let report = Report {
            elapsed: Duration::from_micros((elapsed_ms * 1000.0) as u64),
            end,
        };
        self.deliver(
            host,
            Event::Finished {
                attempt: id::Attempt(key.1),
                report,
            },
        );

        let open = matches!(self.outcome.entries[call].status, Status::Open);

        if !done || !open || self.outcome.entries[call].stage != stage {
            return;
        }

        if stage + 1
            < self.deployment.request_kinds[self.calls[call].kind_index]
                .stages
                .len()
        {
            self.outcome.entries[call].stage = stage + 1;
            self.stage_ready(host, call, stage + 1);
            return;
        }

        self.outcome.entries[call].status = Status::Answered(self.now_ms);
        let late = self.now_ms > self.calls[call].at_ms + self.calls[call].deadline_ms;
        let request = request_id(host, call);
        self.deliver(host, Event::Ended { request });

        if late {
            self.resend(call, 0.0);
        }
    }

    fn reports(&mut self) {
        for endpoint in 0..self.fake_endpoints.len() {
            let pool = self.endpoints[endpoint].pool.as_str();

            if self.fake_endpoints[endpoint].dead || pool == "service" {
                continue;
            }

            let (queued, running) = self.fake_endpoints[endpoint].load();
            let lag_ms = self.scenario.lag_ms();
            let event = Event::Load {
                endpoint: self.endpoints[endpoint].endpoint.clone(),
                load: LoadReport {
                    age: Duration::from_micros((lag_ms * 1000.0) as u64),
                    capacity: CONCURRENCY,
                    queued: queued as u32,
                    running: running as u32,
                },
            };

            for host in 0..HOSTS {
                self.schedule_at(
                    self.now_ms + lag_ms,
                    Scheduled::Deliver(host, event.clone()),
                );
            }
        }

        self.schedule_at(self.now_ms + REPORT_INTERVAL_MS, Scheduled::Reports);
    }

    fn resend(&mut self, call: usize, wait_ms: f64) {
        let previous = &self.calls[call];

        if previous.resends == 0 {
            return;
        }

        let mut resent = previous.clone();
        resent.original = false;
        resent.resends -= 1;
        resent.at_ms = self.now_ms + wait_ms.max(100.0);
        resent.host = (resent.host + 1) % HOSTS;
        self.schedule_at(resent.at_ms, Scheduled::Arrive(self.calls.len()));
        self.calls.push(resent);
        self.outcome.add_call();
    }

    fn schedule_completion(&mut self, endpoint: usize) {
        if let Some(end_ms) = self.fake_endpoints[endpoint].next_end_ms() {
            let generation = self.fake_endpoints[endpoint].generation;
            self.schedule_at(
                end_ms.max(self.now_ms),
                Scheduled::Ends(endpoint, generation),
            );
        }

        for change in std::mem::take(&mut self.fake_endpoints[endpoint].changes) {
            let event = Event::Cache {
                endpoint: self.endpoints[endpoint].endpoint.clone(),
                event: CacheEvent {
                    change: if change.stored {
                        CacheEventKind::Stored
                    } else {
                        CacheEventKind::Evicted
                    },
                    prefix: change.prefix,
                    sequence: change.sequence,
                },
            };

            for host in 0..HOSTS {
                if !self.rng.random_bool(CACHE_LOSS) {
                    let at_ms = self.now_ms + self.scenario.lag_ms();
                    self.schedule_at(at_ms, Scheduled::Deliver(host, event.clone()));
                }
            }
        }
    }

    fn record_started(&mut self, endpoint: usize, started: &[Key]) {
        for key in started {
            self.outcome.start(*key, self.now_ms);
        }

        self.schedule_completion(endpoint);
    }

    fn cancel_attempt(&mut self, endpoint: usize, key: Key) {
        let delay_ms = self.message_delay_ms(key.0, endpoint);
        self.schedule_at(self.now_ms + delay_ms, Scheduled::Cancel(endpoint, key));
    }

    fn deliver(&mut self, host: usize, event: Event) {
        if self.lost_domain.is_some() && self.lost_domain == Some(self.deployment.domain(host)) {
            return;
        }

        let now = self.time();
        let mut actions = Vec::new();
        self.hosts[host].handle(now, event, &mut actions);

        for action in actions {
            self.perform(host, action);
        }
    }

    fn time(&self) -> Time {
        Time::from_micros((self.now_ms * 1000.0).round() as u64)
    }
}

fn request_id(host: usize, call: usize) -> id::Request {
    format!("h{host}.1.{call}").into()
}

fn call_index(request: &id::Request) -> usize {
    let text = request.as_str().rsplit('.').next();
    text.and_then(|text| text.parse().ok())
        .expect("a request id ends with its number")
}
