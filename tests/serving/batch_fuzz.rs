//! Random steps against the dispatcher, with a simple oracle: every job ends
//! once, with the outputs of its own pieces; every other output is released;
//! endpoints get no more than they take; repeats keep to the budget.

use {
    crate::fuzz,
    persimmoncleat::state::{
        clock::Time,
        serving::{
            batch::{Action, CallId, CallOutcome, Dispatcher, Item},
            budget::Bounds,
            config::Pool,
            piece::{self, Input, Job, JobId},
            roster::Entry,
        },
    },
    proptest::prelude::*,
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

const ENDPOINTS: usize = 4;
const BATCH: usize = 6;
const ROOM: u64 = 1000;

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
        storage_bytes: ROOM,
        slots: 1,
    }
}

/// How a call ends; the number picks results.
#[derive(Clone, Copy, Debug)]
enum End {
    Answered(u64),
    Broken,
    Full,
    Replaced,
    Unreachable,
}

#[derive(Clone, Debug)]
enum Step {
    Add {
        bytes: u64,
        pieces: u16,
        priority: u8,
        remaining: u64,
        urgency: u64,
    },
    /// Gives up one of the jobs in progress.
    Cancel(usize),
    End(usize, End),
    /// The endpoint's listing: absent, leaving, listed, or a new incarnation.
    List(usize, u8),
    /// The home releases the outputs of a finished job.
    Release(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let end = prop_oneof![
        8 => any::<u64>().prop_map(End::Answered),
        1 => Just(End::Broken),
        1 => Just(End::Full),
        1 => Just(End::Replaced),
        1 => Just(End::Unreachable),
    ];
    let add = (1u16..10, 1u64..120, 0u8..3, 100u64..6000, 0u64..2000);

    prop_oneof![
        6 => add.prop_map(|(pieces, bytes, priority, remaining, urgency)| Step::Add {
            bytes,
            pieces,
            priority,
            remaining,
            urgency,
        }),
        1 => any::<usize>().prop_map(Step::Cancel),
        10 => (any::<usize>(), end).prop_map(|(call, end)| Step::End(call, end)),
        2 => (0..ENDPOINTS, 0u8..4).prop_map(|(endpoint, state)| Step::List(endpoint, state)),
        4 => any::<usize>().prop_map(Step::Release),
        4 => (1u64..400).prop_map(Step::Wait),
    ]
}

/// The steps need no model of their own: the oracle is in the test.
#[derive(Debug)]
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct World {
    /// Calls in progress: endpoint, its incarnation, and the items.
    calls: BTreeMap<CallId, (usize, u64, Vec<Item>)>,
    dispatcher: Dispatcher,
    /// Outputs that jobs were given, by job.
    given: Vec<Vec<(usize, String)>>,
    listed: [Option<(u64, bool)>; ENDPOINTS],
    /// Size of the outputs of each request.
    bytes: BTreeMap<String, u64>,
    made: BTreeSet<String>,
    next: u64,
    now: u64,
    open: BTreeMap<JobId, Job>,
    /// Outputs that exist: where, and their size.
    outputs: BTreeMap<String, (usize, u64)>,
    pieces: u64,
    seen: BTreeSet<(String, u16)>,
    repeats: u64,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            bytes: BTreeMap::new(),
            calls: BTreeMap::new(),
            dispatcher: Dispatcher::new(pool(), BOUNDS),
            given: Vec::new(),
            listed: [Some((1, false)); ENDPOINTS],
            made: BTreeSet::new(),
            next: 0,
            now: 0,
            open: BTreeMap::new(),
            outputs: BTreeMap::new(),
            pieces: 0,
            repeats: 0,
            seen: BTreeSet::new(),
        };
        world.update();
        world
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn update(&mut self) {
        let entries = self.listed.iter().enumerate();
        let entries = entries.filter_map(|(number, listed)| {
            let (incarnation, leaving) = (*listed)?;
            Some(Arc::new(Entry {
                address: ([127, 0, 0, 1], 1000).into(),
                domain: "d".into(),
                endpoint: number.to_string().into(),
                incarnation,
                leaving,
                service: "s".into(),
                slots: 1,
            }))
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
            Step::End(index, end) => {
                if let Some(call) = pick(&self.calls, index) {
                    let ending = self.ending(call, end);
                    self.dispatcher.finish(now, call, ending, &mut actions);
                }
            }
            Step::List(endpoint, state) => self.list(endpoint, state),
            Step::Release(index) if !self.given.is_empty() => {
                let outputs = self.given.swap_remove(index % self.given.len());

                for (endpoint, handle) in outputs {
                    self.free(endpoint, handle, &mut actions);
                }
            }
            Step::Release(_) => {}
            Step::Wait(millis) => {
                self.now += millis;
                self.dispatcher.tick(self.time(), &mut actions);
            }
        }

        self.check(actions);
    }

    fn job(&mut self, bytes: u64, pieces: u16, priority: u8, remaining: u64, urgency: u64) -> Job {
        let number = self.next;
        self.next += 1;
        self.pieces += u64::from(pieces);
        self.bytes.insert(number.to_string(), bytes);
        let job = Job {
            domain: None,
            first: number.is_multiple_of(2),
            id: JobId {
                home: "h".into(),
                number,
            },
            input: Input::Key(number.to_string()),
            output_bytes: bytes,
            pieces: (0..pieces).collect(),
            priority,
            remaining: Duration::from_millis(remaining),
            request: number.to_string(),
            service: "s".into(),
            stage: 3,
            urgency: Duration::from_millis(urgency),
        };
        self.open.insert(job.id.clone(), job.clone());
        job
    }

    fn ending(&mut self, call: CallId, end: End) -> CallOutcome {
        let (endpoint, _, items) = self.calls.remove(&call).unwrap();

        match end {
            End::Answered(lot) => {
                let results =
                    items
                        .iter()
                        .enumerate()
                        .map(|(index, item)| match (lot >> (index * 4)) % 16 {
                            0 => piece::Result::Failed,
                            1 => piece::Result::NoSpace,
                            2 if lot.is_multiple_of(7) => piece::Result::InputGone,
                            3 if lot.is_multiple_of(5) => piece::Result::Late,
                            _ => {
                                let handle = format!("{}/{}/{call}", item.request, item.piece);
                                let bytes = self.bytes[&item.request];
                                self.made.insert(handle.clone());
                                self.outputs.insert(handle.clone(), (endpoint, bytes));
                                piece::Result::Done(handle)
                            }
                        });
                CallOutcome::Answered(results.collect())
            }
            End::Broken => CallOutcome::Broken,
            End::Full => CallOutcome::Full,
            End::Replaced => CallOutcome::Replaced,
            End::Unreachable => {
                // The pieces did not arrive, so the next send is no repeat.
                for item in &items {
                    self.seen.remove(&(item.request.clone(), item.piece));
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

    fn free(&mut self, endpoint: usize, handle: String, actions: &mut Vec<Action>) {
        self.outputs.remove(&handle);
        let name = endpoint.to_string().as_str().into();
        self.dispatcher
            .mark_freed(self.time(), &name, &[handle], actions);
    }

    fn check(&mut self, actions: Vec<Action>) {
        let mut more = Vec::new();

        for action in actions {
            match action {
                Action::Finish { job, outcome } => {
                    let known = self.open.remove(&job);
                    let known = known.expect("a job ends once, and not after it was given up");

                    if outcome.failure.is_some() {
                        assert!(outcome.outputs.is_empty());
                        continue;
                    }

                    let pieces = outcome.outputs.iter().map(|output| output.piece);
                    assert_eq!(pieces.collect::<Vec<u16>>(), known.pieces);
                    let mut given = Vec::new();

                    for output in outcome.outputs {
                        let own = format!("{}/{}/", known.request, output.piece);
                        assert!(output.handle.starts_with(&own), "{output:?} of {known:?}");
                        assert!(self.made.remove(&output.handle), "given twice");
                        given.push((output.endpoint.as_str().parse().unwrap(), output.handle));
                    }

                    self.given.push(given);
                }
                Action::Release { outputs } => {
                    for output in outputs {
                        assert!(self.made.remove(&output.handle), "released twice");
                        let endpoint = output.endpoint.as_str().parse().unwrap();
                        self.free(endpoint, output.handle, &mut more);
                    }
                }
                Action::Send {
                    call, entry, items, ..
                } => self.check_call(call, &entry, items),
            }
        }

        if !more.is_empty() {
            self.check(more);
        }

        self.check_budget();
    }

    fn check_call(&mut self, call: CallId, entry: &Entry, items: Vec<Item>) {
        let endpoint = entry.endpoint.as_str().parse::<usize>().unwrap();
        let listed = self.listed[endpoint];
        assert!(
            matches!(listed, Some((_, false))),
            "sent to an endpoint that leaves"
        );
        assert!(items.len() <= BATCH && !items.is_empty());
        let pieces = items.iter().map(|item| (&item.request, item.piece));
        assert_eq!(pieces.collect::<BTreeSet<_>>().len(), items.len());

        for item in &items {
            let id = JobId {
                home: "h".into(),
                number: item.request.parse().unwrap(),
            };
            let job = self
                .open
                .get(&id)
                .expect("no piece of an ended job is sent");
            assert_eq!((item.stage, &item.input), (job.stage, &job.input));

            if !self.seen.insert((item.request.clone(), item.piece)) {
                self.repeats += 1;
            }
        }

        let other = |(number, incarnation, _): &&(usize, u64, Vec<Item>)| {
            (*number, *incarnation) == (endpoint, entry.incarnation)
        };
        assert_eq!(
            self.calls.values().filter(other).count(),
            0,
            "more calls than places"
        );
        self.calls
            .insert(call, (endpoint, entry.incarnation, items));
    }

    /// Repeats of all time keep to a budget of all windows.
    fn check_budget(&self) {
        let windows = (self.now / 10_000 + 2) as f64;
        let most = BOUNDS.ratio * self.pieces as f64 * 2.0 + BOUNDS.slack * windows;
        let repeats = self.repeats as f64;
        assert!(repeats <= most, "{repeats} repeats, {most} allowed");
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

struct Sut;

impl StateMachineTest for Sut {
    type Reference = Steps;
    type SystemUnderTest = World;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.step(step);
        world
    }

    /// Lets every call end and the time pass: no job and no output may be
    /// left that nobody knows of.
    fn teardown(mut world: World, (): ()) {
        for _ in 0..50 {
            while let Some(call) = world.calls.keys().next().copied() {
                let ending = world.ending(call, End::Answered(u64::MAX));
                let mut actions = Vec::new();
                let now = world.time();
                world.dispatcher.finish(now, call, ending, &mut actions);
                world.check(actions);
            }

            world.step(Step::Wait(400));
        }

        assert!(
            world.open.is_empty(),
            "jobs without an end: {:?}",
            world.open
        );
        assert!(
            world.made.is_empty(),
            "outputs nobody knows of: {:?}",
            world.made
        );
        assert_eq!(world.dispatcher.jobs(), 0);
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn dispatcher_keeps_its_promises(sequential 1..fuzz::TRANSITIONS => Sut);
}
