//! The order by value in the dispatcher of a stage pool under loads above its
//! capacity, on virtual time.

use {
    crate::batch,
    persimmoncleat::state::{
        clock::Time,
        id,
        serving::{
            batch::{Action, CallId, CallOutcome, Dispatcher, Item, Note, Order},
            budget::Bounds,
            config::Pool,
            piece::{self, Failure, Job},
            roster::Entry,
        },
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const ENDPOINTS: u16 = 10;

const STEP_MS: u64 = 5;

const POOL: Pool = Pool {
    batch: 10,
    call: Duration::from_millis(150),
    item: Duration::from_millis(13),
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

/// Jobs of one kind that arrive regularly, alike except for their sizes.
#[derive(Clone)]
struct Kind {
    deadline_ms: u64,
    /// Time until the latest start.
    start_ms: u64,
    /// Load relative to the capacity with full calls, and the factor during the
    /// burst.
    load: f64,
    factor: f64,
    priority: u8,
    /// Numbers of pieces, equally frequent.
    sizes: &'static [u16],
    team: &'static str,
}

const URGENT: Kind = Kind {
    deadline_ms: 4000,
    start_ms: 400,
    load: 0.3,
    factor: 1.0,
    priority: 0,
    sizes: &[2, 4, 3],
    team: "a",
};

const VOLUME: Kind = Kind {
    deadline_ms: 12_000,
    start_ms: 4000,
    load: 0.4,
    priority: 2,
    sizes: &[2, 6, 4, 4],
    ..URGENT
};

/// How jobs of one kind and size ended.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    all: usize,
    expired: usize,
    on_time: usize,
    refused: usize,
    served: usize,
}

impl Count {
    fn on_time(self) -> f64 {
        self.on_time as f64 / self.all as f64
    }

    fn served(self) -> f64 {
        self.served as f64 / self.all as f64
    }
}

/// Counts by kind and size of the jobs that arrived within the burst.
#[derive(Debug, Default)]
struct Report {
    counts: BTreeMap<(usize, u16), Count>,
    demoted: usize,
    /// Time for which endpoints were idle while pieces were queued, in steps.
    wasted: usize,
}

impl Report {
    fn kind(&self, kind: usize) -> Count {
        let counts = self.counts.iter().filter(|((k, _), _)| *k == kind);
        counts.fold(Count::default(), |sum, (_, count)| Count {
            all: sum.all + count.all,
            expired: sum.expired + count.expired,
            on_time: sum.on_time + count.on_time,
            refused: sum.refused + count.refused,
            served: sum.served + count.served,
        })
    }
}

struct Simulation {
    actions: Vec<Action>,
    calls: BTreeMap<(u64, CallId), (id::Endpoint, Vec<Item>)>,
    dispatcher: Dispatcher,
    /// Kind, size and latest start of each job that has not ended, and whether it
    /// arrived within the burst.
    pending: BTreeMap<u64, ((usize, u16), u64, bool)>,
    report: Report,
}

fn new_dispatcher(order: Order) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(POOL, BOUNDS);
    let entries = (0..ENDPOINTS).map(batch::entry);
    let entries = entries.collect::<Vec<Arc<Entry>>>();
    dispatcher.update(&POOL, entries.iter(), 1);
    dispatcher.set_order(order);
    dispatcher
}

fn call_ms(pieces: usize) -> u64 {
    150 + 13 * pieces as u64
}

impl Simulation {
    fn new(order: Order) -> Self {
        Self {
            actions: Vec::new(),
            calls: BTreeMap::new(),
            dispatcher: new_dispatcher(order),
            pending: BTreeMap::new(),
            report: Report::default(),
        }
    }

    fn perform(&mut self, now: u64) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send {
                    call, items, entry, ..
                } => {
                    let end = now + call_ms(items.len());
                    self.calls
                        .insert((end, call), (entry.endpoint.clone(), items));
                }
                Action::Finish { job, outcome } => {
                    let Some((key, start_by, counts)) = self.pending.remove(&job.number) else {
                        continue;
                    };

                    if !counts {
                        continue;
                    }

                    let count = self.report.counts.entry(key).or_default();
                    count.all += 1;

                    match outcome.failure {
                        None => {
                            count.served += 1;
                            let in_time = now <= start_by + call_ms(POOL.batch);
                            count.on_time += usize::from(in_time);
                        }
                        Some(Failure::Overloaded) => count.refused += 1,
                        Some(_) => count.expired += 1,
                    }
                }
                Action::Release { .. } => {}
            }
        }
    }

    fn step(&mut self, now: u64) {
        let time = Time::from_millis(now);

        while let Some(entry) = self.calls.first_entry()
            && entry.key().0 <= now
        {
            let ((_, call), (endpoint, items)) = entry.remove_entry();
            let outputs = items.iter();
            let outputs = outputs.map(|item| format!("{}/{}", item.request, item.piece));
            let outputs = outputs.collect::<Vec<String>>();
            let results = outputs.iter().cloned().map(piece::Result::Done);
            let outcome = CallOutcome::Answered(results.collect());
            self.dispatcher
                .finish(time, call, outcome, &mut self.actions);
            self.dispatcher
                .mark_freed(time, &endpoint, &outputs, &mut self.actions);

            self.perform(now);
        }

        if now.is_multiple_of(25) {
            self.dispatcher.tick(time, &mut self.actions);
            self.perform(now);
        } else {
            return;
        }

        let summary = self.dispatcher.summary(time);
        self.report.wasted += if summary.queued > 0 { summary.idle } else { 0 };
        let notes = self.dispatcher.take_notes();
        let demoted = notes.iter().filter(|note| matches!(note, Note::Demoted(_)));
        self.report.demoted += demoted.count();
    }
}

/// Returns the size of a job. The sizes come in an irregular order, so that they do not
/// coincide with the course of the queue.
fn size(kind: &Kind, number: usize) -> u16 {
    let mixed = (number as u64)
        .wrapping_add(1)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 33;
    kind.sizes[mixed as usize % kind.sizes.len()]
}

/// Plays a load with a burst from 20 s on. `replaced` is the time at which another
/// dispatcher takes over, to which the homes send all jobs again.
fn play(order: Order, kinds: &[Kind], burst_ms: u64, replaced: Option<u64>) -> Report {
    let mut simulation = Simulation::new(order);
    let capacity = f64::from(ENDPOINTS) * POOL.batch as f64 / call_ms(POOL.batch) as f64;
    let mut due = vec![0.0; kinds.len()];
    let mut arrived = vec![0; kinds.len()];
    let mut number = 0;
    let mut jobs = BTreeMap::<u64, (u64, Job)>::new();
    let end = 20_000 + burst_ms;
    let mut now = 0;

    while now < end + 4000 || !simulation.pending.is_empty() {
        let in_burst = (20_000..end).contains(&now);

        for (index, kind) in kinds.iter().enumerate().filter(|_| now < end + 4000) {
            let factor = if in_burst { kind.factor } else { 1.0 };
            due[index] += capacity * kind.load * factor * STEP_MS as f64;

            while due[index] >= 1.0 {
                let size = size(kind, arrived[index]);
                arrived[index] += 1;
                number += 1;
                due[index] -= f64::from(size);
                let job = Job {
                    priority: kind.priority,
                    remaining: Duration::from_millis(kind.deadline_ms),
                    team: Some(kind.team.into()),
                    urgency: Duration::from_millis(kind.start_ms),
                    ..batch::job(number, size)
                };
                let entry = ((index, size), now + kind.start_ms, in_burst);
                simulation.pending.insert(number, entry);
                jobs.insert(number, (now, job.clone()));
                let time = Time::from_millis(now);
                simulation
                    .dispatcher
                    .add(time, job, &mut simulation.actions);
                simulation.perform(now);
            }
        }

        if replaced == Some(now) {
            replace(&mut simulation, now, &jobs);
        }

        now += STEP_MS;
        simulation.step(now);
        jobs.retain(|number, _| simulation.pending.contains_key(number));
    }

    simulation.report
}

/// Replaces the dispatcher. Calls of the former one still occupy their endpoints,
/// but nobody waits for their results.
fn replace(simulation: &mut Simulation, now: u64, jobs: &BTreeMap<u64, (u64, Job)>) {
    simulation.dispatcher = new_dispatcher(Order::Value);
    simulation.calls.clear();

    for number in simulation.pending.keys() {
        let (arrival, job) = &jobs[number];
        let age = Duration::from_millis(now - arrival);
        let job = Job {
            remaining: job.remaining.saturating_sub(age),
            urgency: job.urgency.saturating_sub(age),
            ..job.clone()
        };
        let time = Time::from_millis(now);
        simulation
            .dispatcher
            .add(time, job, &mut simulation.actions);
    }

    simulation.perform(now);
}

fn load(kind: &Kind, load: f64, factor: f64) -> Kind {
    Kind {
        factor,
        load,
        ..kind.clone()
    }
}

/// Half of the capacity. Guards against jobs that are demoted, late or held back from
/// idle endpoints while nothing is overloaded.
#[test]
fn quiet_load_is_on_time() {
    let kinds = [load(&URGENT, 0.25, 1.0), load(&VOLUME, 0.25, 1.0)];
    let report = play(Order::Value, &kinds, 4000, None);
    assert_eq!(report.kind(0).on_time(), 1.0, "{report:?}");
    assert_eq!(report.kind(1).on_time(), 1.0, "{report:?}");
    assert_eq!(report.demoted, 0);
}

/// A burst of 2.5 times one kind for 6 s. Guards against a kind whose goals are missed
/// although another one has time to wait.
#[test]
fn burst_of_urgent_jobs_is_on_time() {
    let kinds = [load(&URGENT, 0.36, 2.5), load(&VOLUME, 0.4, 1.0)];
    let report = play(Order::Value, &kinds, 6000, None);
    assert!(report.kind(0).on_time() > 0.9, "{report:?}");
    assert!(report.kind(1).served() > 0.9, "{report:?}");
    assert_eq!(report.wasted, 0);
}

/// A burst of 1.8 times everything for 6 s. Guards against priorities without effect
/// and against endpoints that are idle while demoted jobs wait.
#[test]
fn burst_of_everything_keeps_urgent_jobs_on_time() {
    let kinds = [load(&URGENT, 0.45, 1.8), load(&VOLUME, 0.45, 1.8)];
    let report = play(Order::Value, &kinds, 6000, None);
    assert!(report.kind(0).on_time() > 0.9, "{report:?}");
    assert!(report.kind(1).served() > 0.5, "{report:?}");
    assert_eq!(report.wasted, 0);
}

/// One team sends three times what it usually sends. Guards against a burst that all
/// teams bear alike. The margin is small, since the last chances of late jobs go before
/// jobs of other teams that are on time.
#[test]
fn burst_of_one_team_delays_that_team_most() {
    let team = |team, load, factor| Kind {
        factor,
        load,
        team,
        ..URGENT
    };
    let kinds = [
        team("large", 0.5, 1.0),
        team("burst", 0.25, 3.0),
        team("small", 0.1, 1.0),
    ];
    let report = play(Order::Value, &kinds, 6000, None);
    let burst = report.kind(1).on_time();
    assert!(report.kind(0).on_time() > burst + 0.05, "{report:?}");
    assert!(report.kind(2).on_time() > burst + 0.05, "{report:?}");
    assert!(report.kind(1).served() > 0.5, "{report:?}");
}

/// Half more urgent jobs than the pool can do, for a long time. Guards against less
/// urgent jobs that get nothing, and against last chances that serve them more often
/// than the urgent ones.
#[test]
fn long_overload_starves_no_priority_and_inverts_none() {
    let kinds = [load(&URGENT, 0.5, 3.0), load(&VOLUME, 0.3, 1.0)];
    let report = play(Order::Value, &kinds, 30_000, None);
    let (urgent, volume) = (report.kind(0).served(), report.kind(1).served());
    assert!(volume > 0.1, "{report:?}");
    assert!(volume <= urgent, "{report:?}");
}

/// Twice the capacity in jobs of one kind and team for a long time, one in ten of
/// them large. Guards against large jobs that are never served, and against an order
/// that depends on priorities to differ.
#[test]
fn long_overload_serves_large_jobs_half_as_often() {
    let kinds = [Kind {
        sizes: &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10],
        ..load(&URGENT, 0.5, 4.0)
    }];
    let report = play(Order::Value, &kinds, 30_000, None);
    let large = report.counts[&(0, 10)].served();
    assert!(large >= 0.5 * report.kind(0).served(), "{report:?}");
    assert!(report.kind(0).served() > 0.5, "{report:?}");
}

/// The dispatcher is replaced during a burst, and the homes send their jobs to another
/// one. Guards against an order that rests on what only the former one knew.
#[test]
fn replaced_dispatcher_keeps_urgent_jobs_on_time() {
    let kinds = [load(&URGENT, 0.36, 2.5), load(&VOLUME, 0.4, 1.0)];
    let report = play(Order::Value, &kinds, 6000, Some(23_000));
    assert!(report.kind(0).on_time() > 0.85, "{report:?}");
}

/// A pool without endpoints, which then gets some. Guards against jobs that are
/// demoted, refused or lost because the pool's rate is zero.
#[test]
fn jobs_of_a_pool_without_endpoints_wait() {
    let mut dispatcher = Dispatcher::new(POOL, BOUNDS);
    dispatcher.set_order(Order::Value);
    let mut actions = Vec::new();

    for number in 0..50 {
        let time = Time::from_millis(number * 10);
        dispatcher.add(time, batch::job(number, 4), &mut actions);
    }

    assert!(actions.is_empty(), "{actions:?}");
    assert!(dispatcher.take_notes().is_empty());
    let entries = [batch::entry(0)];
    dispatcher.update(&POOL, entries.iter(), 1);
    dispatcher.tick(Time::from_millis(600), &mut actions);
    let is_sent = |action: &Action| matches!(action, Action::Send { .. });
    assert!(actions.iter().any(is_sent), "{actions:?}");
}

/// The order is changed while jobs wait. Guards against jobs that stay demoted.
#[test]
fn order_by_urgency_demotes_no_job() {
    let kinds = [load(&URGENT, 0.45, 1.8), load(&VOLUME, 0.45, 1.8)];
    let report = play(Order::Urgency, &kinds, 2000, None);
    assert_eq!(report.demoted, 0);
    assert!(report.kind(0).on_time() > 0.9, "{report:?}");
}
