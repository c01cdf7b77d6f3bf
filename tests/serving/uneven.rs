//! Pools and plain services whose endpoints are not equally fast, on virtual time.

use {
    crate::batch,
    persimmoncleat::state::{
        clock::Time,
        serving::{
            batch::{Action, CallId, CallOutcome, Dispatcher, Item},
            budget::Bounds,
            config::Pool,
            pace::Load,
            piece::{self, Job},
            placement::{Criteria, Placement},
            roster::Entry,
        },
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Interval between two steps of the simulation.
const STEP_MS: u64 = 5;

/// Duration of a phase in which an endpoint's neighbour is noisy or not.
const PHASE_MS: u64 = 600;

const SLOW: f64 = 2.5;

/// A stage pool of the deployment with noisy neighbours.
const POOL: Pool = Pool {
    batch: 14,
    call: Duration::from_millis(150),
    item: Duration::from_micros(9200),
    queue: 2,
    retention: Duration::from_secs(4),
    storage_bytes: 100_000_000,
    slots: 1,
};

const BOUNDS: Bounds = Bounds {
    ratio: 0.2,
    slack: 630.0,
    window: Duration::from_secs(10),
};

/// A call in progress: the work that is left, in ms at the usual pace.
struct Running {
    endpoint: u16,
    items: Vec<Item>,
    left: f64,
}

/// A pool whose endpoints change their pace.
struct Simulation<P, R> {
    actions: Vec<Action>,
    calls: BTreeMap<CallId, Running>,
    dispatcher: Dispatcher,
    /// Number of calls by endpoint.
    counts: BTreeMap<u16, usize>,
    /// Total duration of the finished jobs, in ms, and their number.
    durations: (u64, u64),
    /// Pace of an endpoint at a time.
    pace: P,
    /// The load that an endpoint reports at a time.
    report: R,
    started: BTreeMap<u64, u64>,
}

impl<P: Fn(u16, u64) -> f64, R: Fn(u16, u64) -> Option<Load>> Simulation<P, R> {
    fn new(endpoints: u16, pace: P, report: R) -> Self {
        let mut dispatcher = Dispatcher::new(POOL, BOUNDS);
        let entries = (0..endpoints).map(entry).collect::<Vec<Arc<Entry>>>();
        dispatcher.update(&POOL, entries.iter(), 1);

        Self {
            actions: Vec::new(),
            calls: BTreeMap::new(),
            dispatcher,
            counts: BTreeMap::new(),
            durations: (0, 0),
            pace,
            report,
            started: BTreeMap::new(),
        }
    }

    /// Runs for some seconds with a job every `interval` ms, and returns the mean
    /// duration of the jobs in ms.
    fn run(&mut self, seconds: u64, interval: u64, pieces: u16) -> f64 {
        for now in (0..seconds * 1000).step_by(STEP_MS as usize) {
            if now.is_multiple_of(interval) {
                self.add(now, batch::job(now, pieces));
            }

            self.step(now);
        }

        let (total, jobs) = self.durations;
        total as f64 / jobs.max(1) as f64
    }

    fn add(&mut self, now: u64, job: Job) {
        self.started.insert(job.id.number, now);
        let time = Time::from_millis(now);
        self.dispatcher.add(time, job, &mut self.actions);
        self.perform(now);
    }

    fn perform(&mut self, now: u64) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send {
                    call, entry, items, ..
                } => {
                    let endpoint = entry.address.port() - 1000;
                    let usual = POOL.call + POOL.item * items.len() as u32;
                    let left = usual.as_secs_f64() * 1000.0;
                    *self.counts.entry(endpoint).or_default() += 1;
                    let running = Running {
                        endpoint,
                        items,
                        left,
                    };
                    self.calls.insert(call, running);
                }
                Action::Finish { job, .. } => {
                    let started = self.started.remove(&job.number).unwrap();
                    self.durations.0 += now - started;
                    self.durations.1 += 1;
                }
                Action::Release { .. } => {}
            }
        }
    }

    fn step(&mut self, now: u64) {
        let time = Time::from_millis(now);
        let mut ended = Vec::new();

        for (call, running) in &mut self.calls {
            running.left -= STEP_MS as f64 / (self.pace)(running.endpoint, now);

            if running.left <= 0.0 {
                ended.push(*call);
            }
        }

        for call in ended {
            let running = self.calls.remove(&call).unwrap();

            if let Some(load) = (self.report)(running.endpoint, now) {
                self.dispatcher
                    .record_load(time, &entry(running.endpoint), load);
            }

            self.finish(time, call, &running);
            self.perform(now);
        }

        self.dispatcher.tick(time, &mut self.actions);
        self.perform(now);
    }

    fn finish(&mut self, now: Time, call: CallId, running: &Running) {
        let items = running.items.iter();
        let handles = items.map(|item| format!("{}/{}", item.request, item.piece));
        let handles = handles.collect::<Vec<String>>();
        let outputs = handles.iter().cloned().map(piece::Result::Done);
        let outcome = CallOutcome::Answered(outputs.collect());
        self.dispatcher
            .finish(now, call, outcome, &mut self.actions);
        let endpoint = entry(running.endpoint).endpoint.clone();
        self.dispatcher
            .mark_freed(now, &endpoint, &handles, &mut self.actions);
    }

    fn count(&self, endpoint: u16) -> usize {
        self.counts.get(&endpoint).copied().unwrap_or(0)
    }
}

/// Endpoints of one failure domain.
fn entry(number: u16) -> Arc<Entry> {
    Arc::new(Entry {
        domain: "d".into(),
        ..batch::entry(number).as_ref().clone()
    })
}

/// Pace of an endpoint with noisy neighbours: at any time, 15 % are slow.
fn noisy(endpoint: u16, now: u64) -> f64 {
    let phase = (now + u64::from(endpoint) * 137) / PHASE_MS;
    let mut hash = (phase * 1_000_003 + u64::from(endpoint)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    hash ^= hash >> 29;
    hash = hash.wrapping_mul(0xBF58_476D_1CE4_E5B9);
    if (hash >> 32) % 100 < 15 { SLOW } else { 1.0 }
}

const fn load(pace: f64) -> Option<Load> {
    Some(Load {
        pace: Some(pace),
        running: 0,
        slots: 1,
        waiting: 0,
    })
}

/// Guards against calls to an endpoint that has just said that it is slow, while
/// others are free.
#[test]
fn noisy_neighbours_cost_less_with_reports() {
    let silent = |_, _| None;
    let reported = |endpoint, now| load(noisy(endpoint, now));
    let without = Simulation::new(17, noisy, silent).run(120, 30, 4);
    let with = Simulation::new(17, noisy, reported).run(120, 30, 4);
    assert!(with < without * 0.98, "{with} ms against {without} ms");
}

/// Guards against equal endpoints that are used otherwise because they report.
#[test]
fn equal_endpoints_are_used_as_without_reports() {
    let even = |_, _| 1.0;
    let mut without = Simulation::new(8, even, |_, _| None);
    let mut with = Simulation::new(8, even, |_, _| load(1.0));
    let (before, after) = (without.run(60, 50, 6), with.run(60, 50, 6));
    assert!((after / before - 1.0).abs() < 0.01, "{after} and {before}");
}

/// Returns how often a free choice among four endpoints falls on the first one, in a
/// pool with little load.
fn first_of_four(pace: impl Fn(u64) -> f64, report: impl Fn(u64) -> Option<Load>) -> usize {
    let pace = |endpoint, now| if endpoint == 0 { pace(now) } else { 1.0 };
    let report = |endpoint, now| {
        if endpoint == 0 {
            report(now)
        } else {
            load(1.0)
        }
    };
    let mut simulation = Simulation::new(4, pace, report);
    simulation.run(20, 500, 2);
    simulation.count(0)
}

/// Guards against an endpoint that gets every call because it says that it is usual:
/// its measured calls count.
#[test]
fn slow_endpoint_that_reports_the_usual_pace_is_avoided() {
    let calls = first_of_four(|_| SLOW, |_| load(1.0));
    assert!((1..20).contains(&calls), "{calls} of 40 calls");
}

#[test]
fn slow_endpoint_that_recovers_is_used_again() {
    let recovered = |now| if now < 10_000 { SLOW } else { 1.0 };
    let stays = first_of_four(|_| SLOW, |_| load(SLOW));
    let recovers = first_of_four(recovered, |now| load(recovered(now)));
    assert!(
        recovers > stays,
        "{recovers} calls, {stays} if it stays slow"
    );
}

/// Guards against pieces that wait at an endpoint behind the calls of a second
/// dispatcher while other endpoints are free.
#[test]
fn endpoint_with_waiting_calls_of_others_is_avoided() {
    let waiting = Load {
        pace: Some(1.0),
        running: 1,
        slots: 1,
        waiting: 3,
    };
    let usual = first_of_four(|_| 1.0, |_| load(1.0));
    let shared = first_of_four(|_| 1.0, |_| Some(waiting));
    assert!(shared <= usual / 2, "{shared} of {usual} calls");
}

/// Guards against calls that are repeated elsewhere only because the endpoint is as
/// slow as it says.
#[test]
fn call_is_a_straggler_relative_to_the_reported_pace() {
    let mut dispatcher = Dispatcher::new(POOL, BOUNDS);
    let entries = [entry(0)];
    dispatcher.update(&POOL, entries.iter(), 1);
    let now = Time::from_millis(1000);
    dispatcher.record_load(now, &entries[0], load(SLOW).unwrap());
    let mut actions = Vec::new();
    dispatcher.add(now, batch::job(1, 1), &mut actions);
    // A call of one piece takes 159 ms at the usual pace, and 398 ms now.
    let both = [entry(0), entry(1)];
    dispatcher.update(&POOL, both.iter(), 1);
    dispatcher.tick(Time::from_millis(1800), &mut actions);
    assert_eq!(actions.len(), 1, "{actions:?}");
    dispatcher.tick(Time::from_millis(2000), &mut actions);
    assert_eq!(actions.len(), 2, "{actions:?}");
}

/// Returns the number of requests that each of four plain endpoints gets, one every
/// 100 ms, if they take the returned times.
fn requests(
    report: impl Fn(usize) -> Option<Load>,
    elapsed: impl Fn(usize, u64) -> u64,
) -> [usize; 4] {
    let entries = (0..4).map(entry).collect::<Vec<Arc<Entry>>>();
    let mut placement = Placement::default();
    let mut counts = [0; 4];
    let criteria = Criteria {
        domain: None,
        exclude: &[],
        session: None,
    };

    for now in (10_000..70_000).step_by(100) {
        let time = Time::from_millis(now);
        let chosen = placement.choose(time, entries.iter(), criteria).unwrap();
        let number = usize::from(chosen.address.port() - 1000);
        counts[number] += 1;
        placement.begin(time, chosen);
        let elapsed = elapsed(number, now);
        let end = Time::from_millis(now + elapsed);

        if let Some(load) = report(number) {
            placement.record_load(end, chosen, load);
        }

        placement.record_response(end, chosen, Duration::from_millis(elapsed));
        placement.end(chosen);
    }

    counts
}

macro_rules! plain_requests {
    ($($(#[$doc:meta])* $name:ident: $report:expr, $elapsed:expr => $range:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let counts = requests($report, $elapsed);
            assert!($range.contains(&counts[0]), "{counts:?} of 600");
        }
    )*};
}

plain_requests! {
    equal_plain_endpoints_share_requests: |_| None, |_, _| 60 => 110..190;
    noise_of_response_times_changes_nothing: |_| None,
        |_, now| 50 + now / 100 % 7 * 4 => 110..190;
    /// An endpoint that is slow for good gets fewer requests, but some.
    slow_plain_endpoint_gets_fewer_requests: |_| None,
        |number, _| if number == 0 { 150 } else { 60 } => 10..110;
    reported_pace_of_a_plain_endpoint_counts: |number| load(if number == 0 { SLOW } else { 1.0 }),
        |number, _| if number == 0 { 150 } else { 60 } => 10..110;
    recovered_plain_endpoint_is_used_again: |_| None,
        |number, now| if number == 0 && now < 15_000 { 150 } else { 60 } => 90..190;
}

#[test]
fn full_plain_endpoint_is_avoided() {
    let entries = [entry(0), entry(1)];
    let mut placement = Placement::default();
    let now = Time::from_millis(10_000);
    let full = Load {
        pace: None,
        running: 1,
        slots: 1,
        waiting: 2,
    };
    placement.record_load(now, &entries[0], full);
    let criteria = Criteria {
        domain: None,
        exclude: &[],
        session: None,
    };

    for _ in 0..20 {
        let chosen = placement.choose(now, entries.iter(), criteria);
        assert_eq!(chosen, Some(&entries[1]));
    }
}
