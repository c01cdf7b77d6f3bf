//! Discrete-event simulation of several hosts in front of fake endpoints.

use {
    crate::{
        deployment::{CONCURRENCY, Deployment, HOSTS, TEAMS, domain},
        machine::{Cost, Job, Key, Machine},
        outcome::{Fate, Outcome},
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

const TICK_MS: f64 = 20.0;
const REPORT_MS: f64 = 200.0;
const PEERS_MS: f64 = 500.0;
/// Time after which the host list shows a fault.
const LIST_LAG_MS: f64 = 3000.0;
/// One way within a failure domain.
const NEAR_MS: f64 = 0.3;
/// Part of messages between domains that are lost, and the time to resend.
const LOSS: f64 = 0.003;
const RESEND_MS: f64 = 200.0;
/// Part of cache events that get lost.
const CACHE_LOSS: f64 = 0.01;
const STRAGGLER: f64 = 5.0;
/// Time after the last arrival in which requests may still end.
const TAIL_MS: f64 = 30_000.0;

enum Next {
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

struct Attempt {
    call: usize,
    endpoint: usize,
    sent_ms: f64,
    stage: usize,
}

/// One run.
pub struct Simulation {
    attempts: HashMap<Key, Attempt>,
    calls: Vec<Call>,
    deployment: Deployment,
    end_ms: f64,
    endpoints: Vec<Endpoint>,
    events: BTreeMap<(u64, u64), Next>,
    hosts: Vec<Policy>,
    index: HashMap<id::Endpoint, usize>,
    lost: Option<usize>,
    machines: Vec<Machine>,
    now_ms: f64,
    outcome: Outcome,
    rng: StdRng,
    scenario: Scenario,
    sequence: u64,
}

impl Simulation {
    /// Runs a scenario and returns what came of its requests.
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
        let machine = |endpoint: &Endpoint| {
            Machine::new(endpoint.pool.as_str() == "generate", CONCURRENCY as usize)
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
            lost: None,
            machines: endpoints.iter().map(machine).collect(),
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
            self.tell(host, Event::Policy(Arc::clone(&policy)));
            self.tell(host, Event::Endpoints(self.endpoints.clone()));
        }

        for call in 0..self.calls.len() {
            self.at(self.calls[call].at_ms, Next::Arrive(call));
        }

        self.at(FAULT_S * 1000.0, Next::Fault);
        self.at(TICK_MS, Next::Tick);
        self.at(REPORT_MS, Next::Reports);
        self.at(PEERS_MS, Next::Peers);
    }

    fn at(&mut self, at_ms: f64, next: Next) {
        self.sequence += 1;
        let micros = (at_ms * 1000.0).ceil() as u64;
        self.events.insert((micros, self.sequence), next);
    }

    fn step(&mut self, next: Next) {
        match next {
            Next::Arrive(call) => self.arrive(call),
            Next::Cancel(endpoint, key) => {
                let (cost, started) = self.machines[endpoint].cancel(self.now_ms, key);
                self.charge(key, cost);
                self.started(endpoint, &started);
            }
            Next::Deliver(host, event) => self.tell(host, event),
            Next::Ends(endpoint, generation) => self.ends(endpoint, generation),
            Next::Fault => self.fault(),
            Next::List => {
                let machines = &self.machines;
                let live = |(index, _): &(usize, &Endpoint)| !machines[*index].dead;
                let list: Vec<Endpoint> = self
                    .endpoints
                    .iter()
                    .enumerate()
                    .filter(live)
                    .map(|(_, endpoint)| endpoint.clone())
                    .collect();

                for host in 0..HOSTS {
                    self.tell(host, Event::Endpoints(list.clone()));
                }
            }
            Next::Peers => {
                let demands: Vec<_> = self.hosts.iter().map(Policy::demand).collect();

                for host in 0..HOSTS {
                    let mut peers = demands.clone();
                    peers.remove(host);
                    self.at(
                        self.now_ms + PEERS_MS,
                        Next::Deliver(host, Event::Peers(peers)),
                    );
                }

                self.at(self.now_ms + PEERS_MS, Next::Peers);
            }
            Next::Reach(endpoint, job) => self.reach(endpoint, job),
            Next::Reply(key, end) => self.reply(key, end),
            Next::Reports => self.reports(),
            Next::Tick => {
                for host in 0..HOSTS {
                    self.tell(host, Event::Tick);
                }

                self.at(self.now_ms + TICK_MS, Next::Tick);
            }
            Next::Timeout(key) => {
                if let Some(attempt) = self.attempts.get(&key) {
                    let endpoint = attempt.endpoint;
                    self.stop(endpoint, key);
                    self.reply(key, End::TimedOut);
                }
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let now = self.time();
        let call = &mut self.calls[index];

        // Callers no longer use hosts of a domain that is lost.
        while self.lost.is_some() && self.lost == Some(self.deployment.domain(call.host)) {
            call.host = (call.host + 1) % HOSTS;
        }

        let work = &self.deployment.works[call.work];
        let host = call.host;
        let request = Request {
            arrived: now,
            class: work.class.into(),
            deadline: now + Duration::from_micros((call.deadline_ms * 1000.0) as u64),
            max_tokens: work.tokens,
            pipeline: work.class.into(),
            prefix: Some(call.prefix),
            repeatable: work.repeatable,
            request: format!("h{host}.1.{index}").into(),
            stages: work.pipeline(),
            team: TEAMS[call.team].0.into(),
        };
        self.outcome.arrive(index, self.now_ms);
        self.tell(host, Event::Arrived(request));
    }

    fn act(&mut self, host: usize, action: Action) {
        match action {
            Action::Admitted { request } => {
                let call = number(&request);
                self.outcome.fates[call].accepted = true;
                self.ready(host, call, 0);
            }
            Action::Cancelled { attempt, .. } => {
                let key = (host, attempt.0);

                if let Some(known) = self.attempts.get(&key) {
                    let endpoint = known.endpoint;
                    self.stop(endpoint, key);
                    // The host closes the connection and waits for nothing.
                    self.at(self.now_ms, Next::Reply(key, End::Cancelled));
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
                let call = number(&request);
                self.dispatch((host, attempt.0), endpoint, call, stage, timeout);
            }
            Action::Failed { request, .. } => self.fail(number(&request), None),
            Action::Refused { request, refusal } => {
                self.fail(number(&request), Some(refusal.retry_after));
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
        let known = &self.calls[call];
        let work = &self.deployment.works[known.work];
        let engine = work.stages[stage] == "generate";
        let job = Job {
            key,
            prefix: engine.then_some(known.prefix),
            service_ms: (!engine).then(|| known.service_ms[stage]),
            tokens: work.tokens,
        };
        self.outcome
            .dispatch(key, call, stage, work.stages[stage], work.class);
        self.attempts.insert(
            key,
            Attempt {
                call,
                endpoint,
                sent_ms: self.now_ms,
                stage,
            },
        );
        let delay = self.delay(key.0, endpoint);
        self.at(self.now_ms + delay, Next::Reach(endpoint, job));
        let timeout_ms = timeout.as_secs_f64() * 1000.0;
        self.at(self.now_ms + timeout_ms, Next::Timeout(key));
    }

    fn delay(&mut self, host: usize, endpoint: usize) -> f64 {
        let here = domain(self.deployment.domain(host));

        if here == self.endpoints[endpoint].domain {
            return NEAR_MS;
        }

        let lost = if self.rng.random_bool(LOSS) {
            RESEND_MS
        } else {
            0.0
        };
        self.deployment.link_ms * self.rng.random_range(0.95..1.05) + lost
    }

    fn ends(&mut self, endpoint: usize, generation: u64) {
        if self.machines[endpoint].generation != generation {
            return;
        }

        let (done, started) = self.machines[endpoint].finish(self.now_ms);

        for (key, cost) in done {
            self.charge(key, cost);
            let end = if self.fails(key) {
                End::Failed
            } else {
                End::Done { tokens: 1 }
            };
            let delay = self.delay(key.0, endpoint);
            self.at(self.now_ms + delay, Next::Reply(key, end));
        }

        self.started(endpoint, &started);
    }

    fn fail(&mut self, call: usize, refused: Option<Duration>) {
        self.outcome.fates[call].fate = if refused.is_some() {
            Fate::Refused
        } else {
            Fate::Failed
        };
        let wait_ms = refused.map_or(0.0, |wait| wait.as_secs_f64() * 1000.0);
        self.resend(call, wait_ms);
    }

    /// Returns whether an attempt that has run to its end fails.
    fn fails(&mut self, key: Key) -> bool {
        self.attempts.get(&key).is_some_and(|attempt| {
            std::mem::take(&mut self.calls[attempt.call].faulty[attempt.stage])
        })
    }

    fn fault(&mut self) {
        let dead: Vec<usize> = match self.scenario {
            Scenario::Straggler => {
                let engine = self.index[&id::Endpoint::from("generate-1")];
                self.machines[engine].set_slowness(self.now_ms, STRAGGLER);
                self.schedule(engine);
                return;
            }
            Scenario::ThirdDead => (0..self.deployment.engines / 3)
                .map(|index| self.index[&id::Endpoint::from(format!("generate-{index}"))])
                .collect(),
            Scenario::DomainLost => {
                self.lost = Some(1);
                let gone = |index: &usize| self.endpoints[*index].domain == domain(1);
                (0..self.endpoints.len()).filter(gone).collect()
            }
            _ => return,
        };

        for endpoint in dead {
            let keys = self.machines[endpoint].die(self.now_ms);

            if self.lost.is_none() {
                for key in keys {
                    self.at(self.now_ms + 1.0, Next::Reply(key, End::Failed));
                }
            }
        }

        self.at(self.now_ms + LIST_LAG_MS, Next::List);
    }

    fn reach(&mut self, endpoint: usize, job: Job) {
        if !self.attempts.contains_key(&job.key) {
            return;
        }

        if self.machines[endpoint].dead {
            if self.lost.is_none() {
                let end = End::NotRun { leaving: false };
                self.at(self.now_ms + 1.0, Next::Reply(job.key, end));
            }

            return;
        }

        let started = self.machines[endpoint].add(self.now_ms, job);
        self.started(endpoint, &started);
    }

    fn ready(&mut self, host: usize, call: usize, stage: usize) {
        self.outcome.fates[call].ready_ms = self.now_ms;
        let request = name(host, call);
        self.tell(host, Event::Ready { request, stage });
    }

    fn reply(&mut self, key: Key, end: End) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };

        let (host, call, stage) = (key.0, attempt.call, attempt.stage);

        if self.lost.is_some() && self.lost == Some(self.deployment.domain(host)) {
            return;
        }

        let elapsed_ms = self.now_ms - attempt.sent_ms;
        let done = matches!(end, End::Done { .. });
        let report = Report {
            elapsed: Duration::from_micros((elapsed_ms * 1000.0) as u64),
            end,
        };
        self.tell(
            host,
            Event::Finished {
                attempt: id::Attempt(key.1),
                report,
            },
        );

        let open = matches!(self.outcome.fates[call].fate, Fate::Open);

        if !done || !open || self.outcome.fates[call].stage != stage {
            return;
        }

        if stage + 1 < self.deployment.works[self.calls[call].work].stages.len() {
            self.outcome.fates[call].stage = stage + 1;
            self.ready(host, call, stage + 1);
            return;
        }

        self.outcome.fates[call].fate = Fate::Answered(self.now_ms);
        let late = self.now_ms > self.calls[call].at_ms + self.calls[call].deadline_ms;
        let request = name(host, call);
        self.tell(host, Event::Ended { request });

        if late {
            self.resend(call, 0.0);
        }
    }

    fn reports(&mut self) {
        for endpoint in 0..self.machines.len() {
            let pool = self.endpoints[endpoint].pool.as_str();

            if self.machines[endpoint].dead || pool == "service" {
                continue;
            }

            let (queued, running) = self.machines[endpoint].load();
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
                self.at(self.now_ms + lag_ms, Next::Deliver(host, event.clone()));
            }
        }

        self.at(self.now_ms + REPORT_MS, Next::Reports);
    }

    fn resend(&mut self, call: usize, wait_ms: f64) {
        let known = &self.calls[call];

        if known.resends == 0 {
            return;
        }

        let mut again = known.clone();
        again.original = false;
        again.resends -= 1;
        again.at_ms = self.now_ms + wait_ms.max(100.0);
        again.host = (again.host + 1) % HOSTS;
        self.at(again.at_ms, Next::Arrive(self.calls.len()));
        self.calls.push(again);
        self.outcome.extend();
    }

    fn schedule(&mut self, endpoint: usize) {
        if let Some(end_ms) = self.machines[endpoint].next_end_ms() {
            let generation = self.machines[endpoint].generation;
            self.at(end_ms.max(self.now_ms), Next::Ends(endpoint, generation));
        }

        for change in std::mem::take(&mut self.machines[endpoint].changes) {
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
                    self.at(at_ms, Next::Deliver(host, event.clone()));
                }
            }
        }
    }

    fn started(&mut self, endpoint: usize, started: &[Key]) {
        for key in started {
            self.outcome.start(*key, self.now_ms);
        }

        self.schedule(endpoint);
    }

    fn stop(&mut self, endpoint: usize, key: Key) {
        let delay = self.delay(key.0, endpoint);
        self.at(self.now_ms + delay, Next::Cancel(endpoint, key));
    }

    fn tell(&mut self, host: usize, event: Event) {
        if self.lost.is_some() && self.lost == Some(self.deployment.domain(host)) {
            return;
        }

        let now = self.time();
        let mut actions = Vec::new();
        self.hosts[host].handle(now, event, &mut actions);

        for action in actions {
            self.act(host, action);
        }
    }

    fn time(&self) -> Time {
        Time::from_micros((self.now_ms * 1000.0).round() as u64)
    }
}

fn name(host: usize, call: usize) -> id::Request {
    format!("h{host}.1.{call}").into()
}

fn number(request: &id::Request) -> usize {
    let text = request.as_str().rsplit('.').next();
    text.and_then(|text| text.parse().ok())
        .expect("a request id ends with its number")
}
