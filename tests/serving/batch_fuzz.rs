//! Checks random steps of the dispatcher against a simple oracle: every job
//! finishes once, with the outputs of its own pieces; every other output is
//! released; no endpoint receives more calls or larger batches than it accepts;
//! no endpoint that wants no calls receives one; retries stay within the budget.

mod steps;

use {
    self::steps::{End, Step, Steps},
    crate::fuzz,
    persimmoncleat::state::{
        clock::Time,
        serving::{
            batch::{Action, CallId, CallOutcome, Dispatcher, Item},
            budget::Bounds,
            cold::Cold,
            config::Pool,
            piece::{self, Input, Job, JobId},
            roster::Entry,
        },
    },
    proptest::prelude::*,
    proptest_state_machine::{StateMachineTest, prop_state_machine},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

const ENDPOINTS: usize = 4;
const BATCH: usize = 6;
const STORAGE_BYTES: u64 = 1000;

/// Number of job ids that come again once their job has ended.
const REPEATED_IDS: u64 = 3;

const BOUNDS: Bounds = Bounds {
    ratio: 0.2,
    slack: 20.0,
    window: Duration::from_secs(10),
};

fn pool() -> Pool {
    Pool {
        batch: BATCH,
        call: Duration::from_millis(150),
        item: Duration::from_millis(16),
        queue: 2,
        retention: Duration::from_secs(4),
        storage_bytes: STORAGE_BYTES,
        slots: 1,
    }
}

fn entry(number: usize, incarnation: u64, leaving: bool) -> Entry {
    Entry {
        address: ([127, 0, 0, 1], 1000).into(),
        cold: Cold::default(),
        domain: "d".into(),
        endpoint: number.to_string().into(),
        incarnation,
        leaving,
        service: "s".into(),
        slots: 1,
    }
}

/// The dispatcher and the oracle's record of its calls, jobs and outputs.
struct Simulation {
    /// Calls in progress: endpoint, its incarnation, and the items.
    calls: BTreeMap<CallId, (usize, u64, Vec<Item>)>,
    dispatcher: Dispatcher,
    /// Incarnation of each endpoint that wants no calls, and until when.
    deferred: [Option<(u64, Time)>; ENDPOINTS],
    /// Outputs that were delivered to finished jobs, by job.
    delivered: Vec<Vec<(usize, String)>>,
    /// Incarnation of each listed endpoint, and whether it is leaving.
    listed: [Option<(u64, bool)>; ENDPOINTS],
    /// Size in bytes of one output of each request.
    bytes: BTreeMap<String, u64>,
    /// Handles of outputs that were neither delivered nor released.
    unclaimed: BTreeSet<String>,
    /// Number of the next job.
    next_job: u64,
    /// Current time in milliseconds.
    now: u64,
    open: BTreeMap<JobId, Job>,
    /// Outputs that endpoints store: the endpoint and the size in bytes.
    outputs: BTreeMap<String, (usize, u64)>,
    /// Number of pieces of all jobs.
    pieces: u64,
    /// Pieces that were sent, by request.
    sent: BTreeSet<(String, u16)>,
    retries: u64,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            bytes: BTreeMap::new(),
            calls: BTreeMap::new(),
            deferred: [None; ENDPOINTS],
            dispatcher: Dispatcher::new(pool(), BOUNDS),
            delivered: Vec::new(),
            listed: [Some((1, false)); ENDPOINTS],
            unclaimed: BTreeSet::new(),
            next_job: 0,
            now: 0,
            open: BTreeMap::new(),
            outputs: BTreeMap::new(),
            pieces: 0,
            retries: 0,
            sent: BTreeSet::new(),
        };
        simulation.update();
        simulation
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn update(&mut self) {
        let entries = self.listed.iter().enumerate();
        let entries = entries.filter_map(|(number, listed)| {
            let (incarnation, leaving) = (*listed)?;
            Some(Arc::new(entry(number, incarnation, leaving)))
        });
        let entries = entries.collect::<Vec<Arc<Entry>>>();
        self.dispatcher.update(&pool(), entries.iter(), 1);
    }

    fn step(&mut self, step: Step) {
        let mut actions = Vec::new();
        let now = self.time();

        match step {
            Step::Add {
                bytes,
                pieces,
                priority,
                remaining,
                urgency,
            } => {
                let job = self.job(bytes, pieces, priority, remaining, urgency);
                self.dispatcher.add(now, job, &mut actions);
            }
            Step::Cancel(index) => {
                if let Some(id) = pick(&self.open, index) {
                    self.open.remove(&id);
                    self.dispatcher.cancel(now, &id, &mut actions);
                }
            }
            Step::Defer(endpoint, time) => {
                // The endpoint's answer may arrive after its entry has lapsed.
                let incarnation = self.listed[endpoint].map_or(1, |(incarnation, _)| incarnation);
                let entry = entry(endpoint, incarnation, false);
                let time = Duration::from_millis(time);
                self.dispatcher.defer(now, &entry, time);
                let known = self.deferred[endpoint].filter(|(known, _)| *known == incarnation);
                let until = known.map_or(Time::ZERO, |(_, until)| until).max(now + time);
                self.deferred[endpoint] = Some((incarnation, until));
            }
            Step::End(index, end) => {
                if let Some(call) = pick(&self.calls, index) {
                    let outcome = self.outcome(call, end);
                    self.dispatcher.finish(now, call, outcome, &mut actions);
                }
            }
            Step::List(endpoint, state) => self.list(endpoint, state),
            Step::Release(index) if !self.delivered.is_empty() => {
                let outputs = self.delivered.swap_remove(index % self.delivered.len());

                for (endpoint, handle) in outputs {
                    self.free_output(endpoint, handle, &mut actions);
                }
            }
            Step::Release(_) => {}
            Step::Wait(millis) => {
                self.now += millis;
                self.dispatcher.tick(self.time(), &mut actions);
            }
        }

        self.apply_actions(actions);
    }

    fn job(&mut self, bytes: u64, pieces: u16, priority: u8, remaining: u64, urgency: u64) -> Job {
        let number = self.next_job;
        self.next_job += 1;
        self.pieces += u64::from(pieces);
        self.bytes.insert(number.to_string(), bytes);
        let job = Job {
            domain: None,
            first: number.is_multiple_of(2),
            id: self.job_id(number),
            input: Input::Key(number.to_string()),
            output_bytes: bytes,
            pieces: (0..pieces).collect(),
            priority,
            remaining: Duration::from_millis(remaining),
            request: number.to_string(),
            service: "s".into(),
            stage: 3,
            team: None,
            urgency: Duration::from_millis(urgency),
        };
        self.open.insert(job.id.clone(), job.clone());
        job
    }

    /// Returns an id that no open job has. Ids of jobs that have ended come again, as
    /// from the earlier process of a host that does not tell them apart.
    fn job_id(&self, number: u64) -> JobId {
        let id = |number| JobId {
            home: "h".into(),
            number,
        };
        let again = (0..REPEATED_IDS).map(id);
        let mut free = again.filter(|id| !self.open.contains_key(id));
        free.next().unwrap_or_else(|| id(REPEATED_IDS + number))
    }

    fn outcome(&mut self, call: CallId, end: End) -> CallOutcome {
        let (endpoint, _, items) = self.calls.remove(&call).unwrap();

        match end {
            End::Answered(bits) => {
                let results = items.iter().enumerate().map(|(index, item)| {
                    match (bits >> (index * 4)) % 16 {
                        0 => piece::Result::Failed,
                        1 => piece::Result::NoSpace,
                        2 if bits.is_multiple_of(7) => piece::Result::InputGone,
                        3 if bits.is_multiple_of(5) => piece::Result::Late,
                        _ => {
                            let handle = format!("{}/{}/{call}", item.request, item.piece);
                            let bytes = self.bytes[&item.request];
                            self.unclaimed.insert(handle.clone());
                            self.outputs.insert(handle.clone(), (endpoint, bytes));
                            piece::Result::Done(handle)
                        }
                    }
                });
                CallOutcome::Answered(results.collect())
            }
            End::Broken => CallOutcome::Broken,
            End::Full => CallOutcome::Full,
            End::Replaced => CallOutcome::Replaced,
            End::Unreachable => {
                // The pieces did not arrive, so sending them again is no retry.
                for item in &items {
                    self.sent.remove(&(item.request.clone(), item.piece));
                }
                CallOutcome::Unreachable
            }
        }
    }

    fn list(&mut self, endpoint: usize, state: u8) {
        let incarnation = self.listed[endpoint].map_or(1, |(incarnation, _)| incarnation);
        self.listed[endpoint] = match state {
            0 => None,
            1 => Some((incarnation, true)),
            2 => Some((incarnation, false)),
            _ => Some((incarnation + 1, false)),
        };
        self.update();
    }

    fn free_output(&mut self, endpoint: usize, handle: String, actions: &mut Vec<Action>) {
        self.outputs.remove(&handle);
        let name = endpoint.to_string().as_str().into();
        self.dispatcher
            .mark_freed(self.time(), &name, &[handle], actions);
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        let mut follow_ups = Vec::new();

        for action in actions {
            match action {
                Action::Finish { job, outcome } => {
                    let expected = self.open.remove(&job);
                    let expected =
                        expected.expect("a job finishes once, and not after it was cancelled");

                    if outcome.failure.is_some() {
                        assert!(outcome.outputs.is_empty());
                        continue;
                    }

                    let pieces = outcome.outputs.iter().map(|output| output.piece);
                    assert_eq!(pieces.collect::<Vec<u16>>(), expected.pieces);
                    let mut delivered = Vec::new();

                    for output in outcome.outputs {
                        let prefix = format!("{}/{}/", expected.request, output.piece);
                        assert!(
                            output.handle.starts_with(&prefix),
                            "{output:?} of {expected:?}"
                        );
                        assert!(
                            self.unclaimed.remove(&output.handle),
                            "the output was already delivered or released"
                        );
                        delivered.push((output.endpoint.as_str().parse().unwrap(), output.handle));
                    }

                    self.delivered.push(delivered);
                }
                Action::Release { outputs } => {
                    for output in outputs {
                        assert!(
                            self.unclaimed.remove(&output.handle),
                            "the output was already released or delivered"
                        );
                        let endpoint = output.endpoint.as_str().parse().unwrap();
                        self.free_output(endpoint, output.handle, &mut follow_ups);
                    }
                }
                Action::Send {
                    call, entry, items, ..
                } => self.check_call(call, &entry, items),
            }
        }

        if !follow_ups.is_empty() {
            self.apply_actions(follow_ups);
        }

        self.check_budget();
    }

    fn check_call(&mut self, call: CallId, entry: &Entry, items: Vec<Item>) {
        let endpoint = entry.endpoint.as_str().parse::<usize>().unwrap();
        let listed = self.listed[endpoint];
        assert!(
            matches!(listed, Some((_, false))),
            "a call was sent to an endpoint that is leaving or not listed"
        );
        let (now, incarnation) = (self.time(), entry.incarnation);
        let wants_none = |(deferred, until): (u64, Time)| deferred == incarnation && now < until;
        assert!(
            !self.deferred[endpoint].is_some_and(wants_none),
            "a call was sent to an endpoint that wants none"
        );
        assert!(items.len() <= BATCH && !items.is_empty());
        let pieces = items.iter().map(|item| (&item.request, item.piece));
        assert_eq!(pieces.collect::<BTreeSet<_>>().len(), items.len());

        for item in &items {
            let mut open = self.open.values();
            let job = open
                .find(|job| job.request == item.request)
                .expect("a piece is sent only while its job is open");
            assert_eq!((item.stage, &item.input), (job.stage, &job.input));

            if !self.sent.insert((item.request.clone(), item.piece)) {
                self.retries += 1;
            }
        }

        let same_endpoint = |(number, incarnation, _): &&(usize, u64, Vec<Item>)| {
            (*number, *incarnation) == (endpoint, entry.incarnation)
        };
        assert_eq!(
            self.calls.values().filter(same_endpoint).count(),
            0,
            "an endpoint received more calls than it has slots"
        );
        self.calls
            .insert(call, (endpoint, entry.incarnation, items));
    }

    /// Checks all retries so far against the budget of all windows so far.
    fn check_budget(&self) {
        let windows = (self.now / 10_000 + 2) as f64;
        let limit = BOUNDS.ratio * self.pieces as f64 * 2.0 + BOUNDS.slack * windows;
        let retries = self.retries as f64;
        assert!(retries <= limit, "{retries} retries, {limit} allowed");
    }
}

fn pick<K: Clone + Ord, V>(map: &BTreeMap<K, V>, index: usize) -> Option<K> {
    let length = map.len();
    map.keys().nth(index.checked_rem(length)?).cloned()
}

fn config() -> ProptestConfig {
    let config = fuzz::config(200);
    fuzz::announce(&config);
    config
}

struct DispatcherTest;

impl StateMachineTest for DispatcherTest {
    type Reference = Steps;
    type SystemUnderTest = Simulation;

    fn init_test((): &()) -> Simulation {
        Simulation::new()
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        simulation.step(step);
        simulation
    }

    /// Answers all calls and lets time pass. Then no job may be open, and every
    /// output must be delivered or released.
    fn teardown(mut simulation: Simulation, (): ()) {
        for _ in 0..50 {
            while let Some(call) = simulation.calls.keys().next().copied() {
                let outcome = simulation.outcome(call, End::Answered(u64::MAX));
                let mut actions = Vec::new();
                let now = simulation.time();
                simulation
                    .dispatcher
                    .finish(now, call, outcome, &mut actions);
                simulation.apply_actions(actions);
            }

            simulation.step(Step::Wait(400));
        }

        assert!(
            simulation.open.is_empty(),
            "unfinished jobs: {:?}",
            simulation.open
        );
        assert!(
            simulation.unclaimed.is_empty(),
            "outputs neither delivered nor released: {:?}",
            simulation.unclaimed
        );
        assert_eq!(simulation.dispatcher.jobs(), 0);
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn every_job_ends_once_and_every_output_is_delivered_or_released(sequential 1..fuzz::TRANSITIONS => DispatcherTest);
}
