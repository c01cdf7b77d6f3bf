//! Loads above the capacity of a stage pool, on virtual time.

use {
    crate::batch,
    persimmoncleat::state::{
        clock::Time,
        serving::{
            batch::{Action, CallId, CallOutcome, Dispatcher, Item},
            budget::Bounds,
            config::Pool,
            piece::{self, Failure, Job},
            roster::Entry,
        },
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const ENDPOINTS: u16 = 8;

/// Interval between two steps of the simulation.
const STEP_MS: u64 = 5;

const POOL: Pool = Pool {
    batch: 8,
    call: Duration::from_millis(150),
    item: Duration::from_millis(16),
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

/// A phase of the load: its end, and its rate relative to the capacity of the
/// pool with full calls.
type Phase = (u64, f64);

/// How the jobs of a load ended.
#[derive(Debug, Default)]
struct Report {
    /// Jobs done before their latest start had passed by a call's duration.
    on_time: usize,
    late: usize,
    /// Jobs that failed at their deadline.
    expired: usize,
    refused: usize,
}

/// A pool and the calls that its endpoints run.
struct Simulation {
    actions: Vec<Action>,
    calls: BTreeMap<(u64, CallId), Vec<Item>>,
    /// Latest start of each job that has not ended.
    pending: BTreeMap<u64, u64>,
    dispatcher: Dispatcher,
    report: Report,
}

fn call_ms(pieces: usize) -> u64 {
    150 + 16 * pieces as u64
}

impl Simulation {
    fn new() -> Self {
        let mut dispatcher = Dispatcher::new(POOL, BOUNDS);
        let entries = (0..ENDPOINTS)
            .map(batch::entry)
            .collect::<Vec<Arc<Entry>>>();
        dispatcher.update(&POOL, entries.iter(), 1);

        Self {
            actions: Vec::new(),
            calls: BTreeMap::new(),
            pending: BTreeMap::new(),
            dispatcher,
            report: Report::default(),
        }
    }

    fn add(&mut self, now: u64, job: Job) {
        let start_by = now + u64::try_from(job.urgency.as_millis()).unwrap();
        self.pending.insert(job.id.number, start_by);
        let time = Time::from_millis(now);
        self.dispatcher.add(time, job, &mut self.actions);
        self.perform(now);
    }

    fn perform(&mut self, now: u64) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { call, items, .. } => {
                    self.calls.insert((now + call_ms(items.len()), call), items);
                }
                Action::Finish { job, outcome } => {
                    let start_by = self.pending.remove(&job.number).unwrap();
                    let report = &mut self.report;

                    match outcome.failure {
                        None if now <= start_by + call_ms(POOL.batch) => report.on_time += 1,
                        None => report.late += 1,
                        Some(Failure::Overloaded) => report.refused += 1,
                        Some(_) => report.expired += 1,
                    }
                }
                Action::Release { .. } => {}
            }
        }
    }

    /// Ends the calls that are due and ticks the dispatcher.
    fn step(&mut self, now: u64) {
        let time = Time::from_millis(now);

        while let Some(entry) = self.calls.first_entry()
            && entry.key().0 <= now
        {
            let ((_, call), items) = entry.remove_entry();
            let outputs = items
                .iter()
                .map(|item| piece::Result::Done(format!("{}/{}", item.request, item.piece)));
            let outcome = CallOutcome::Answered(outputs.collect());
            self.dispatcher
                .finish(time, call, outcome, &mut self.actions);
            // An engine reads the outputs soon; they do not limit this load.
            self.free_outputs(time, &items);
            self.perform(now);
        }

        self.dispatcher.tick(time, &mut self.actions);
        self.perform(now);
    }

    fn free_outputs(&mut self, now: Time, items: &[Item]) {
        let handles = items.iter();
        let handles = handles.map(|item| format!("{}/{}", item.request, item.piece));
        let handles = handles.collect::<Vec<String>>();

        for number in 0..ENDPOINTS {
            let endpoint = format!("e{number}").into();
            self.dispatcher
                .mark_freed(now, &endpoint, &handles, &mut self.actions);
        }
    }
}

/// Returns a job of a request with a goal of about a second and an impatient
/// caller.
fn job(number: u64, pieces: u16) -> Job {
    Job {
        remaining: Duration::from_millis(4500),
        urgency: Duration::from_millis(700),
        ..batch::job(number, pieces)
    }
}

/// Plays a load of jobs with one to four pieces and returns how they ended.
fn play(phases: &[Phase], priority: impl Fn(u64) -> u8) -> Report {
    let mut simulation = Simulation::new();
    let capacity = f64::from(ENDPOINTS) * POOL.batch as f64 / call_ms(POOL.batch) as f64;
    let (mut now, mut number, mut due) = (0, 0, 0.0);

    for (end, rate) in phases {
        while now < *end {
            due += capacity * rate * STEP_MS as f64;

            while due >= 1.0 {
                number += 1;
                let pieces = 1 + u16::try_from(number % 4).unwrap();
                due -= f64::from(pieces);
                let job = Job {
                    priority: priority(number),
                    ..job(number, pieces)
                };
                simulation.add(now, job);
            }

            now += STEP_MS;
            simulation.step(now);
        }
    }

    while !simulation.pending.is_empty() {
        now += STEP_MS;
        simulation.step(now);
    }

    simulation.report
}

/// A burst above the capacity makes jobs late, and jobs that are still on time go
/// before them. Guards against late jobs that wait until their callers leave,
/// although the pool has capacity to spare after the burst.
#[test]
fn late_jobs_of_a_burst_end_before_their_deadline() {
    let report = play(&[(1000, 0.5), (6000, 1.5), (10_000, 0.6)], |_| 1);
    assert_eq!(report.expired, 0, "{report:?}");
    assert!(report.on_time > 2 * report.late, "{report:?}");
}

/// Guards against a class of low priority that gets nothing during a burst of
/// another one.
#[test]
fn late_jobs_of_a_less_urgent_class_end_before_their_deadline() {
    let one_in_eight = |number| if u64::is_multiple_of(number, 8) { 2 } else { 0 };
    let report = play(&[(1000, 0.5), (6000, 1.25), (10_000, 0.6)], one_in_eight);
    assert_eq!(report.expired, 0, "{report:?}");
}

/// Guards against work that is accepted without a chance: what exceeds the
/// capacity for a long time is refused on arrival, and jobs are not held until
/// their deadline.
#[test]
fn long_overload_is_refused_on_arrival() {
    let report = play(&[(20_000, 2.0)], |_| 1);
    assert!(report.refused > 10 * report.expired, "{report:?}");
}
