//! The plan of one run: which fault begins and ends when.

use {
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    stand_ins::{platform::workers, relay::Direction},
    std::time::Duration,
};

/// Time before the first fault, in which the hosts start.
const CALM: Duration = Duration::from_secs(2);

/// Shortest and longest pause between the beginnings of two series.
const PAUSE_MS: (u64, u64) = (200, 1200);

/// Shortest and longest time of a fault that lasts.
const LENGTH_MS: (u64, u64) = (200, 4000);

/// Shortest and longest pause between two faults of a series.
const GAP_MS: (u64, u64) = (100, 1500);

/// Most faults of one series.
const SERIES: u32 = 3;

/// Requests that a worker's fault concerns.
pub const FAULTY_REQUESTS: u32 = 4;

/// Event within which a worker breaks a stream off.
const BROKEN_EVENT: usize = 3;

/// A fault, injected from outside the hosts.
#[derive(Clone, Debug)]
pub enum Fault {
    Configure,
    EveryHostKilled,
    HostKilled(usize),
    HostPaused(usize),
    HostReloaded(usize),
    HostStopped(usize),
    PeersCut(usize),
    PeersForgotten(usize),
    PeersSilent(usize, Direction),
    PeersSlow(usize),
    StoreDown,
    StoreForgets,
    StoreSilent(Direction),
    StoreSlow,
    StoreTurnsAway(usize),
    WorkerCrashes(usize),
    WorkerDrains(usize),
    WorkerFails(usize, workers::Fault),
    WorkerForgotten(usize),
    WorkerReset(usize),
    WorkerSilent(usize, Direction),
    WorkerSlow(usize),
}

/// Whether a fault begins or ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Edge {
    Begin,
    End,
}

/// One step of the plan.
#[derive(Clone, Debug)]
pub struct Step {
    pub at: Duration,
    pub edge: Edge,
    pub fault: Fault,
}

/// What a run consists of.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub hosts: usize,
    /// Time in which faults begin.
    pub length: Duration,
    pub seed: u64,
    pub workers: usize,
}

/// Returns the steps of a seed, in order of time.
pub fn steps(shape: &Shape) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(shape.seed);
    let mut steps = Vec::new();
    let mut at = CALM;

    while at < shape.length {
        let fault = fault(&mut random, shape);
        let mut next = at;

        for _ in 0..random.random_range(1..=SERIES) {
            let length = millis(&mut random, LENGTH_MS);
            steps.push(Step {
                at: next,
                edge: Edge::Begin,
                fault: fault.clone(),
            });
            steps.push(Step {
                at: next + length,
                edge: Edge::End,
                fault: fault.clone(),
            });
            next += length + millis(&mut random, GAP_MS);

            if next >= shape.length {
                break;
            }
        }

        at += millis(&mut random, PAUSE_MS);
    }

    steps.sort_by_key(|step| step.at);
    steps
}

fn millis(random: &mut StdRng, (least, most): (u64, u64)) -> Duration {
    Duration::from_millis(random.random_range(least..=most))
}

fn fault(random: &mut StdRng, shape: &Shape) -> Fault {
    let host = random.random_range(0..shape.hosts);
    let worker = random.random_range(0..shape.workers);
    let silence = *[Direction::Both, Direction::ToCaller, Direction::ToTarget]
        .choose(random)
        .unwrap_or(&Direction::Both);

    match random.random_range(0..26) {
        0..3 => Fault::Configure,
        3 => Fault::EveryHostKilled,
        4 => Fault::HostKilled(host),
        5 => Fault::HostPaused(host),
        6 => Fault::HostReloaded(host),
        7 | 8 => Fault::HostStopped(host),
        9 => Fault::PeersCut(host),
        10 => Fault::PeersForgotten(host),
        11 => Fault::PeersSilent(host, silence),
        12 => Fault::PeersSlow(host),
        13 => Fault::StoreDown,
        14 => Fault::StoreForgets,
        15 => Fault::StoreSilent(silence),
        16 => Fault::StoreSlow,
        17 => Fault::StoreTurnsAway(host),
        18 => Fault::WorkerCrashes(worker),
        19 | 20 => Fault::WorkerDrains(worker),
        21 => Fault::WorkerForgotten(worker),
        22 => Fault::WorkerReset(worker),
        23 => Fault::WorkerSilent(worker, silence),
        24 => Fault::WorkerSlow(worker),
        _ => Fault::WorkerFails(worker, answer_fault(random)),
    }
}

fn answer_fault(random: &mut StdRng) -> workers::Fault {
    match random.random_range(0..6) {
        0 => workers::Fault::AnswerLost,
        1 => workers::Fault::Break(BROKEN_EVENT),
        2 => workers::Fault::Extra,
        3 => workers::Fault::Full,
        4 => workers::Fault::Other,
        _ => workers::Fault::Unproven,
    }
}
