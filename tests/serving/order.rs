//! Which work is demoted under loads above the capacity of a pool, on virtual time.

use {
    persimmoncleat::state::{
        clock::Time,
        id,
        serving::order::{Candidate, Capacity, Shares, Verdict, plan},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Units a second that the simulated pool does.
const RATE: f64 = 100.0;

const STEP_MS: u64 = 10;

/// Work of one kind that arrives regularly.
#[derive(Clone)]
struct Kind {
    deadline_ms: u64,
    goal_ms: u64,
    /// Load relative to the capacity, and the factor during the burst.
    load: f64,
    factor: f64,
    priority: u8,
    team: &'static str,
    /// Sizes that arrive in turn.
    works: &'static [f64],
}

const KIND: Kind = Kind {
    deadline_ms: 5000,
    goal_ms: 800,
    load: 0.5,
    factor: 1.0,
    priority: 1,
    team: "a",
    works: &[1.0],
};

#[derive(Clone)]
struct Job {
    kind: usize,
    deadline: u64,
    start_by: u64,
    team: id::Team,
    work: f64,
}

/// Jobs of a kind that arrived, and those that started in time.
#[derive(Debug, Default)]
struct Count {
    all: f64,
    on_time: f64,
}

impl Count {
    fn share(&self) -> f64 {
        self.on_time / self.all
    }
}

/// Plays 40 s of load with a burst from 20 s to 26 s. Work runs in the planned
/// order, then by deadline. Returns the counts of the burst by kind.
fn play(kinds: &[Kind]) -> BTreeMap<usize, Count> {
    let mut shares = Shares::default();
    let mut queue = Vec::<Job>::new();
    let mut counts = BTreeMap::<usize, Count>::new();
    let mut due = vec![0.0; kinds.len()];
    let mut arrived = vec![0; kinds.len()];
    let mut free = 0.0;

    for now in (0..40_000).step_by(STEP_MS as usize) {
        let in_burst = (20_000..26_000).contains(&now);
        let time = Time::from_millis(now);

        for (index, kind) in kinds.iter().enumerate() {
            let factor = if in_burst { kind.factor } else { 1.0 };
            due[index] += kind.load * factor * RATE * STEP_MS as f64 / 1000.0;

            while due[index] >= 1e-9 {
                let work = kind.works[arrived[index] % kind.works.len()];
                arrived[index] += 1;
                due[index] -= work;
                let team = id::Team::from(kind.team);
                shares.record(time, Some(&team), work);
                queue.push(Job {
                    kind: index,
                    deadline: now + kind.deadline_ms,
                    start_by: now + kind.goal_ms,
                    team,
                    work,
                });

                if in_burst {
                    counts.entry(index).or_default().all += 1.0;
                }
            }
        }

        free = f64::min(free + RATE * STEP_MS as f64 / 1000.0, 5.0);
        let candidates = candidates(kinds, &queue);
        let capacity = Capacity { free, rate: RATE };
        let verdicts = plan(time, &candidates, capacity, &shares);
        let mut order = (0..queue.len()).collect::<Vec<usize>>();
        order.sort_by_key(|&index| {
            let job = &queue[index];
            match verdicts[index] {
                Verdict::OnTime => (0, job.start_by),
                _ => (1, job.deadline),
            }
        });
        let mut done = Vec::new();

        for index in order {
            let job = &queue[index];

            if job.deadline <= now {
                done.push(index);
            } else if job.work <= free {
                free -= job.work;
                done.push(index);
                let arrival = job.start_by - kinds[job.kind].goal_ms;

                if job.start_by >= now && (20_000..26_000).contains(&arrival) {
                    counts.entry(job.kind).or_default().on_time += 1.0;
                }
            } else if verdicts[index] == Verdict::OnTime {
                break;
            }
        }

        done.sort_unstable();

        for index in done.into_iter().rev() {
            queue.remove(index);
        }
    }

    counts
}

fn candidates<'a>(kinds: &[Kind], queue: &'a [Job]) -> Vec<Candidate<'a>> {
    let candidates = queue.iter().map(|job| Candidate {
        begun: false,
        deadline: Time::from_millis(job.deadline),
        priority: kinds[job.kind].priority,
        start_by: Time::from_millis(job.start_by),
        team: Some(&job.team),
        work: job.work,
    });
    candidates.collect()
}

/// Returns a candidate that has to start within a time.
fn candidate(start_by_ms: u64, priority: u8, work: f64) -> Candidate<'static> {
    Candidate {
        begun: false,
        deadline: Time::from_millis(60_000),
        priority,
        start_by: Time::from_millis(start_by_ms),
        team: None,
        work,
    }
}

fn verdicts(now: u64, candidates: &[Candidate], free: f64) -> Vec<Verdict> {
    let capacity = Capacity { free, rate: RATE };
    plan(
        Time::from_millis(now),
        candidates,
        capacity,
        &Shares::default(),
    )
}

/// A burst of 2.5 times one kind for 6 s. Guards against an order in which
/// everything becomes a little late: the kind that costs less bears the burst.
#[test]
fn burst_of_one_kind_delays_the_less_urgent_one() {
    let urgent = Kind {
        priority: 0,
        factor: 2.5,
        load: 0.3,
        ..KIND
    };
    let volume = Kind {
        priority: 2,
        goal_ms: 5000,
        deadline_ms: 15_000,
        load: 0.4,
        works: &[4.0, 2.0],
        ..KIND
    };
    let counts = play(&[urgent, volume]);
    assert!(counts[&0].share() > 0.99, "{counts:?}");
    // The burst takes 0.75 of the capacity, so 0.25 of the 0.4 fit.
    assert!(counts[&1].share() > 0.55, "{counts:?}");
}

/// A burst of 1.8 times everything for 6 s. Guards against priorities that have no
/// effect, and against on-time work below what the pool can do.
#[test]
fn burst_of_everything_delays_the_least_urgent_kind() {
    let kind = |priority, goal_ms| Kind {
        factor: 1.8,
        load: 0.3,
        priority,
        goal_ms,
        works: &[1.0, 3.0],
        ..KIND
    };
    let counts = play(&[kind(0, 800), kind(1, 2000), kind(2, 3000)]);
    assert!(counts[&0].share() > 0.97, "{counts:?}");
    // The more urgent kinds take 1.08 of the capacity.
    assert!(counts[&1].share() > 0.8, "{counts:?}");
    assert!(counts[&0].share() >= counts[&1].share(), "{counts:?}");
    assert!(counts[&1].share() >= counts[&2].share(), "{counts:?}");
}

/// One team sends three times what it usually sends. Guards against a burst of one
/// team that others bear, and against large teams that pay for being large.
#[test]
fn burst_of_one_team_is_borne_by_that_team() {
    let team = |team, load, factor| Kind {
        team,
        load,
        factor,
        works: &[1.0, 2.0],
        ..KIND
    };
    let counts = play(&[
        team("large", 0.5, 1.0),
        team("burst", 0.25, 3.0),
        team("small", 0.1, 1.0),
    ]);
    assert!(counts[&0].share() > 0.95, "{counts:?}");
    assert!(counts[&2].share() > 0.95, "{counts:?}");
    assert!(counts[&1].share() > 0.4, "{counts:?}");
}

/// A burst of 2.5 times with equal priorities and one team, as if one team sent
/// everything. Guards against an order that depends on priorities or teams to
/// differ: the small ones are on time.
#[test]
fn equal_priorities_keep_the_number_of_late_jobs_low() {
    let kind = Kind {
        load: 0.8,
        factor: 2.5,
        works: &[1.0, 1.0, 1.0, 7.0],
        ..KIND
    };
    let counts = play(&[kind]);
    // The small ones take 0.6 of the capacity and are three quarters of the jobs.
    assert!(counts[&0].share() > 0.74, "{counts:?}");
}

/// Guards against demoted work while nothing is overloaded.
#[test]
fn work_that_fits_is_on_time() {
    let candidates = [candidate(0, 2, 5.0), candidate(100, 0, 10.0)];
    assert_eq!(verdicts(0, &candidates, 5.0), [Verdict::OnTime; 2]);
}

#[test]
fn work_whose_latest_start_is_past_is_late() {
    let candidates = [candidate(99, 0, 1.0), candidate(100, 0, 1.0)];
    let expected = [Verdict::Late, Verdict::OnTime];
    assert_eq!(verdicts(100, &candidates, 1.0), expected);
}

/// Guards against work that is given up after it has begun: what has begun takes
/// its capacity from the others, whatever its priority.
#[test]
fn begun_work_is_not_demoted() {
    let begun = Candidate {
        begun: true,
        ..candidate(100, 9, 10.0)
    };
    let candidates = [candidate(100, 0, 1.0), begun];
    let expected = [Verdict::Demoted, Verdict::OnTime];
    assert_eq!(verdicts(0, &candidates, 0.0), expected);
}

/// Guards against work that is demoted for the sake of other work that cannot be
/// on time either.
#[test]
fn demoted_work_that_fits_after_all_is_on_time() {
    let candidates = [candidate(50, 2, 4.0), candidate(60, 0, 100.0)];
    let expected = [Verdict::OnTime, Verdict::Demoted];
    assert_eq!(verdicts(0, &candidates, 0.0), expected);
}

/// A pool without endpoints. Guards against a choice that rests on no figure.
#[test]
fn nothing_is_demoted_without_a_rate() {
    let candidates = [candidate(100, 2, 50.0), candidate(100, 0, 50.0)];

    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let capacity = Capacity { free: 0.0, rate };
        let verdicts = plan(Time::ZERO, &candidates, capacity, &Shares::default());
        assert_eq!(verdicts, [Verdict::OnTime; 2]);
    }
}

/// Guards against teams whose shares are not known yet being compared by size.
#[test]
fn teams_without_a_history_are_equal() {
    let (large, small) = (id::Team::from("large"), id::Team::from("small"));
    let mut candidates = vec![candidate(40, 1, 1.0); 6];
    candidates.iter_mut().for_each(|c| c.team = Some(&large));
    candidates.push(Candidate {
        team: Some(&small),
        ..candidate(50, 1, 2.0)
    });
    let verdicts = verdicts(0, &candidates, 1.0);
    assert_eq!(verdicts[6], Verdict::Demoted);
}

/// Guards against values that no caller should send, such as negative work.
#[test]
fn invalid_work_counts_as_none() {
    let candidates = [candidate(0, 0, -5.0), candidate(0, 0, f64::NAN)];
    assert_eq!(verdicts(0, &candidates, 0.0), [Verdict::OnTime; 2]);
}

/// 500 candidates of many teams, most of which are demoted. Guards against a cost
/// that grows faster than their square. The bound is far above the millisecond of
/// an optimized build.
#[test]
fn plan_of_500_candidates_is_cheap() {
    let teams = (0..50).map(|team| id::Team::from(format!("t{team}")));
    let teams = teams.collect::<Vec<id::Team>>();
    let mut shares = Shares::default();
    let mut candidates = Vec::new();

    for index in 0..500_usize {
        let number = index as u64;
        let team = &teams[index % teams.len()];
        shares.record(Time::from_millis(number * 20), Some(team), 1.0);
        candidates.push(Candidate {
            team: Some(team),
            ..candidate(
                10_000 + number * 7 % 900,
                (index % 3) as u8,
                1.0 + (index % 9) as f64,
            )
        });
    }

    let started = Instant::now();
    let capacity = Capacity {
        free: 0.0,
        rate: RATE,
    };
    let verdicts = plan(Time::from_millis(10_000), &candidates, capacity, &shares);
    assert!(started.elapsed() < Duration::from_millis(500));
    assert!(verdicts.contains(&Verdict::Demoted));
}
