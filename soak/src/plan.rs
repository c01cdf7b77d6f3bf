//! Generates the schedule of faults of one run from its seed.

use {
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    stand_ins::{platform::workers, relay::Direction},
    std::time::Duration,
};

/// Fault-free time at the beginning of a run, in which the hosts start.
const STARTUP: Duration = Duration::from_secs(2);

/// Shortest and longest time between the starts of two series of faults, in
/// milliseconds.
const SERIES_PAUSE_MS: (u64, u64) = (200, 1200);

/// Shortest and longest duration of a fault, in milliseconds. Faults without
/// a duration, such as a configuration change, ignore their end.
const FAULT_LENGTH_MS: (u64, u64) = (200, 4000);

/// Shortest and longest pause between two faults of a series, in
/// milliseconds.
const FAULT_GAP_MS: (u64, u64) = (100, 1500);

/// Shortest and longest age of a process that a series of restarts hits, in
/// milliseconds. Callers fetch its address up to a second after its start.
const YOUNG_PROCESS_MS: (u64, u64) = (700, 1800);

/// Shortest and longest time between a restore of the store and its next copy, in
/// milliseconds.
const RESTORE_PAUSE_MS: (u64, u64) = (500, 6000);

/// Shortest and longest age of the copy from which the store is restored, in
/// milliseconds.
const COPY_AGE_MS: (u64, u64) = (300, 8000);

/// Maximum number of repetitions of a fault in one series.
const MAX_SERIES_FAULTS: u32 = 3;

/// Number of requests that fail once a worker is set to fail.
pub const FAULTY_REQUESTS: u32 = 4;

/// Index of the event within which a worker breaks off a stream.
const BROKEN_EVENT: usize = 3;

/// A fault that is injected from outside the hosts. Indices are those of hosts
/// and workers.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A new configuration version is published.
    Configure,
    EveryHostKilled,
    HostKilled(usize),
    HostPaused(usize),
    HostReloaded(usize),
    /// The host is killed and started again at once. A series of it hits processes in
    /// the first second of their traffic.
    HostRestarted(usize),
    HostStopped(usize),
    /// The link to the host's peer address is cut.
    PeersCut(usize),
    /// Bytes on open peer connections are dropped without a reset.
    PeersForgotten(usize),
    /// Bytes to or from the host's peer address are held back.
    PeersSilent(usize, Direction),
    PeersSlow(usize),
    /// The store answers every call with 503.
    StoreDown,
    /// The store discards its change history.
    StoreForgets,
    /// The store comes back from a copy of the time at which the fault began.
    StoreRestored,
    /// Bytes between the hosts and the store are held back.
    StoreSilent(Direction),
    StoreSlow,
    /// The link between one host and the store is cut.
    StoreTurnsAway(usize),
    WorkerCrashes(usize),
    WorkerDrains(usize),
    WorkerFails(usize, workers::Fault),
    /// Bytes on open connections to the worker are dropped without a reset.
    WorkerForgotten(usize),
    WorkerReset(usize),
    /// Bytes to or from the worker are held back.
    WorkerSilent(usize, Direction),
    WorkerSlow(usize),
}

/// The start or the end of a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    Begin,
    End,
}

/// One step of the plan, at a time since the start of the load.
#[derive(Clone, Debug)]
pub struct Step {
    pub at: Duration,
    pub transition: Transition,
    pub fault: Fault,
}

/// The parameters that determine the plan of a run.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    pub hosts: usize,
    /// Time during which faults may begin.
    pub length: Duration,
    /// Whether the store is restored from copies. The first seeds that ever failed are
    /// older than this fault.
    pub restores: bool,
    pub seed: u64,
    pub workers: usize,
}

/// Returns the plan for a seed as steps in chronological order.
pub fn steps(parameters: &Parameters) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(parameters.seed);
    let mut steps = Vec::new();
    let mut at = STARTUP;

    while at < parameters.length {
        let fault = random_fault(&mut random, parameters);
        let mut next = at;

        for _ in 0..random.random_range(1..=MAX_SERIES_FAULTS) {
            let length = match fault {
                Fault::HostRestarted(_) => random_duration(&mut random, YOUNG_PROCESS_MS),
                _ => random_duration(&mut random, FAULT_LENGTH_MS),
            };
            steps.push(Step {
                at: next,
                transition: Transition::Begin,
                fault: fault.clone(),
            });
            steps.push(Step {
                at: next + length,
                transition: Transition::End,
                fault: fault.clone(),
            });
            next += length;

            if !matches!(fault, Fault::HostRestarted(_)) {
                next += random_duration(&mut random, FAULT_GAP_MS);
            }

            if next >= parameters.length {
                break;
            }
        }

        at += random_duration(&mut random, SERIES_PAUSE_MS);
    }

    if parameters.restores {
        steps.extend(restores(parameters));
    }

    steps.sort_by_key(|step| step.at);
    steps
}

/// Returns the restores of the store. They have random numbers of their own, so that a
/// seed has the same other faults with and without them.
fn restores(parameters: &Parameters) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(!parameters.seed);
    let mut steps = Vec::new();
    let mut at = STARTUP;

    while at < parameters.length {
        at += random_duration(&mut random, RESTORE_PAUSE_MS);
        let age = random_duration(&mut random, COPY_AGE_MS);
        let step = |at, transition| Step {
            at,
            transition,
            fault: Fault::StoreRestored,
        };
        steps.push(step(at, Transition::Begin));
        steps.push(step(at + age, Transition::End));
        at += age;
    }

    steps
}

fn random_duration(random: &mut StdRng, (shortest, longest): (u64, u64)) -> Duration {
    Duration::from_millis(random.random_range(shortest..=longest))
}

fn random_fault(random: &mut StdRng, parameters: &Parameters) -> Fault {
    let host = random.random_range(0..parameters.hosts);
    let worker = random.random_range(0..parameters.workers);
    let direction = *[Direction::Both, Direction::ToCaller, Direction::ToTarget]
        .choose(random)
        .unwrap_or(&Direction::Both);

    match random.random_range(0..28) {
        0..3 => Fault::Configure,
        3 => Fault::EveryHostKilled,
        4 => Fault::HostKilled(host),
        5 => Fault::HostPaused(host),
        6 => Fault::HostReloaded(host),
        7 | 8 => Fault::HostStopped(host),
        9 => Fault::PeersCut(host),
        10 => Fault::PeersForgotten(host),
        11 => Fault::PeersSilent(host, direction),
        12 => Fault::PeersSlow(host),
        13 => Fault::StoreDown,
        14 => Fault::StoreForgets,
        15 => Fault::StoreSilent(direction),
        16 => Fault::StoreSlow,
        17 => Fault::StoreTurnsAway(host),
        18 => Fault::WorkerCrashes(worker),
        19 | 20 => Fault::WorkerDrains(worker),
        21 => Fault::WorkerForgotten(worker),
        22 => Fault::WorkerReset(worker),
        23 => Fault::WorkerSilent(worker, direction),
        24 => Fault::WorkerSlow(worker),
        25 | 26 => Fault::HostRestarted(host),
        _ => Fault::WorkerFails(worker, random_answer_fault(random)),
    }
}

fn random_endless(random: &mut StdRng) -> workers::Endless {
    use workers::Endless;

    let parts = [
        Endless::Body,
        Endless::Chunks,
        Endless::Event,
        Endless::Head,
        Endless::Interim,
    ];
    *parts.choose(random).unwrap_or(&Endless::Body)
}

fn random_answer_fault(random: &mut StdRng) -> workers::Fault {
    match random.random_range(0..8) {
        0 => workers::Fault::AnswerLost,
        1 => workers::Fault::Break(BROKEN_EVENT),
        2 => workers::Fault::Extra,
        3 => workers::Fault::Full,
        4 => workers::Fault::Other,
        5 | 6 => workers::Fault::Endless(random_endless(random)),
        _ => workers::Fault::Unproven,
    }
}
