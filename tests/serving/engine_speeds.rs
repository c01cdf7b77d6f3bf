//! Prompts must spread over engines by their speeds, and engines that are slowed down
//! for a moment must be avoided for about that moment only.

use {
    persimmoncleat::state::{
        clock::Time,
        serving::{
            balance::{Balancer, Part, Prompt, Report, Terms},
            piece::JobId,
            quarantine::Quarantine,
            roster::Entry,
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::BinaryHeap, sync::Arc},
};

const CAPACITY: u64 = 406_082;

/// Prompt tokens that an engine of speed 1 reads per ms.
const TOKENS_PER_MS: f64 = 51.0;

/// Fixed time of an engine until a first event, in ms.
const FIXED_MS: f64 = 30.0;

/// Engines that read prompts one after the other.
struct Service {
    balancer: Balancer,
    /// Number of prompts that each engine got.
    counts: Vec<u32>,
    entries: Vec<Arc<Entry>>,
    /// Times, in ms, at which the engines have read all their prompts.
    free_at: Vec<f64>,
    /// First events by time in microseconds, with their engine.
    events: BinaryHeap<Reverse<(u64, u64)>>,
    placed: Vec<usize>,
    random: StdRng,
    noise: f64,
}

impl Service {
    /// Creates a service with engines whose times vary by up to the factor `noise`.
    fn new(engines: u16, speeds: bool, noise: f64) -> Self {
        let entries = (0..engines).map(entry).collect::<Vec<Arc<Entry>>>();
        let mut balancer = Balancer::default();
        balancer.update(entries.iter(), CAPACITY);
        balancer.estimate_speeds(speeds);
        Self {
            balancer,
            counts: vec![0; entries.len()],
            free_at: vec![0.0; entries.len()],
            entries,
            events: BinaryHeap::new(),
            placed: Vec::new(),
            random: StdRng::seed_from_u64(7),
            noise,
        }
    }

    /// Places a prompt at a time in ms and returns its engine. `speed` is that of each
    /// engine at that time.
    fn send(&mut self, now: f64, tokens: u32, speed: impl Fn(usize) -> f64) -> usize {
        self.deliver(now);
        let number = self.placed.len() as u64;
        let prompt = prompt(number, tokens);
        let entry = self.balancer.place(at(now), self.entries.iter(), &prompt);
        let endpoint = &entry.unwrap().endpoint;
        let engine = self
            .entries
            .iter()
            .position(|entry| entry.endpoint == *endpoint);
        let engine = engine.unwrap();
        let factor = self.random.random_range(1.0..=self.noise);
        let time = (f64::from(tokens) / TOKENS_PER_MS + FIXED_MS) * factor / speed(engine);
        let end = self.free_at[engine].max(now) + time;
        self.free_at[engine] = end;
        self.events.push(Reverse(((end * 1000.0) as u64, number)));
        self.placed.push(engine);
        self.counts[engine] += 1;
        engine
    }

    /// Reports the first events up to a time in ms.
    fn deliver(&mut self, now: f64) {
        while let Some(Reverse((micros, number))) = self.events.peek().copied()
            && micros as f64 <= now * 1000.0
        {
            self.events.pop();
            let home = "h".into();
            let time = Time::from_micros(START * 1000 + micros);
            let quarantine = Quarantine::default();
            let id = JobId { home, number };
            self.balancer
                .report(time, &id, Report::Started, &quarantine);
        }
    }

    /// Sends prompts of 2000 to 8000 tokens at a rate for a time, both in ms, and
    /// returns how many each engine got.
    fn run(&mut self, from: f64, to: f64, gap: f64, speed: impl Fn(usize, f64) -> f64) -> Vec<u32> {
        self.counts.fill(0);
        let mut now = from;

        while now < to {
            let tokens = self.random.random_range(2000..8000);
            self.send(now, tokens, |engine| speed(engine, now));
            now += gap * self.random.random_range(0.5..1.5);
        }

        self.counts.clone()
    }
}

/// Time of the start on the clock, in ms.
const START: u64 = 10_000;

fn at(millis: f64) -> Time {
    Time::from_micros(START * 1000 + (millis * 1000.0) as u64)
}

fn entry(number: u16) -> Arc<Entry> {
    Arc::new(Entry {
        cold: Default::default(),
        address: ([127, 0, 0, 1], 1000 + number).into(),
        domain: "a".into(),
        endpoint: format!("e{number:03}").into(),
        incarnation: 1,
        leaving: false,
        service: "s".into(),
        slots: 24,
    })
}

/// Returns a prompt of a session of its own.
fn prompt(number: u64, tokens: u32) -> Prompt {
    let part = |id, tokens| Part {
        id,
        prefix: id,
        tokens,
    };
    Prompt {
        domain: None,
        exclude: Vec::new(),
        fingerprint: 0,
        id: JobId {
            home: "h".into(),
            number,
        },
        parts: vec![part(2 * number, 500), part(2 * number + 1, tokens - 500)],
        service: "s".into(),
        terms: Terms::default(),
    }
}

/// Speeds of 0.6, 1.0 and 1.6, a third of the engines each.
fn uneven(engine: usize) -> f64 {
    [0.6, 1.0, 1.6][engine % 3]
}

fn by_speed(counts: &[u32]) -> [f64; 3] {
    let total = f64::from(counts.iter().sum::<u32>());
    let mut shares = [0.0; 3];

    for (engine, count) in counts.iter().enumerate() {
        shares[engine % 3] += f64::from(*count) / total;
    }

    shares
}

/// Gap between prompts, in ms, at which a number of engines of a mean speed of about 1
/// are used at a share of their capacity.
fn gap(engines: f64, noise: f64, utilization: f64) -> f64 {
    let mean = (5000.0 / TOKENS_PER_MS + FIXED_MS) * f64::midpoint(1.0, noise);
    mean / engines / utilization
}

/// Guards against slow engines that get as many prompts as fast ones, so that their
/// callers wait while fast engines are idle.
#[test]
fn uneven_engines_get_prompts_in_proportion_to_their_speeds() {
    let mut service = Service::new(36, true, 2.0);
    let usual = gap(36.0, 2.0, 0.7);
    service.run(0.0, 40_000.0, usual, |engine, _| uneven(engine));
    // All engines are busy: one of speed 0.6 is not the best choice otherwise.
    let busy = gap(36.0, 2.0, 1.4);
    let counts = service.run(40_000.0, 48_000.0, busy, |engine, _| uneven(engine));
    let shares = by_speed(&counts);

    for (share, speed) in shares.into_iter().zip([0.6, 1.0, 1.6]) {
        let proportion = speed / 3.2;
        assert!((share / proportion - 1.0).abs() < 0.15, "{shares:?}");
    }

    assert!(counts.iter().all(|count| *count > 0));
}

/// Guards against a burst whose last prompts wait at the slow engines for several
/// times as long as at the fast ones.
#[test]
fn burst_onto_uneven_engines_ends_everywhere_at_about_the_same_time() {
    let mut service = Service::new(36, true, 1.5);
    let usual = gap(36.0, 1.5, 0.5);
    service.run(0.0, 40_000.0, usual, |engine, _| uneven(engine));
    service.run(40_000.0, 42_000.0, usual / 5.0, |engine, _| uneven(engine));
    let waits = service.free_at.iter().map(|end| end - 42_000.0);
    let waits = waits.collect::<Vec<f64>>();
    let mean = waits.iter().sum::<f64>() / waits.len() as f64;
    assert!(mean > 1000.0, "{mean}");

    for wait in &waits {
        assert!((wait / mean - 1.0).abs() < 0.4, "{mean} {waits:?}");
    }
}

/// Guards against estimates that follow noise: an engine that is avoided for chance
/// loses its sessions, and another one reads their prefixes again.
#[test]
fn equal_engines_with_noisy_times_are_chosen_as_without_speeds() {
    for utilization in [0.3, 0.6, 0.9] {
        let mut with = Service::new(60, true, 2.0);
        let mut without = Service::new(60, false, 2.0);
        let gap = gap(60.0, 2.0, utilization);
        with.run(0.0, 60_000.0, gap, |_, _| 1.0);
        without.run(0.0, 60_000.0, gap, |_, _| 1.0);
        assert_eq!(with.placed, without.placed, "{utilization}");
    }
}

/// Guards against prompts that go to engines whose machines are busy with other work.
#[test]
fn engines_with_noisy_neighbours_are_avoided_for_about_that_time() {
    /// Every seventh engine is slowed down, another group in each period.
    fn slowed(engine: usize, now: f64) -> bool {
        (engine + (now / 600.0) as usize).is_multiple_of(7)
    }

    let speed = |engine: usize, now: f64| if slowed(engine, now) { 0.4 } else { 1.0 };
    let share = |speeds: bool| {
        let mut service = Service::new(56, speeds, 1.5);
        let gap = gap(56.0, 1.5, 0.7);
        let mut late = 0;
        let mut total = 0;

        for period in 0..100 {
            let from = f64::from(period) * 600.0;
            // Before the middle of a period the first answers are still under way.
            service.run(from, from + 300.0, gap, speed);
            let counts = service.run(from + 300.0, from + 600.0, gap, speed);
            let counts = counts.into_iter().enumerate();

            for (engine, count) in counts {
                total += count;
                late += if slowed(engine, from + 300.0) {
                    count
                } else {
                    0
                };
            }
        }

        f64::from(late) / f64::from(total)
    };
    let (with, without) = (share(true), share(false));
    assert!(with < without * 0.6, "{with} {without}");
}

/// Guards against an engine that is never used again because nothing is learnt of it
/// any more.
#[test]
fn slow_engine_that_recovers_gets_its_share_again() {
    let mut service = Service::new(12, true, 1.5);
    let gap = gap(12.0, 1.5, 0.7);
    let speed = |engine: usize, now: f64| match engine {
        3 if now < 30_000.0 => 0.3,
        _ => 1.0,
    };
    let slow = service.run(0.0, 30_000.0, gap, speed);
    let even = slow.iter().sum::<u32>() / 12;
    assert!(slow[3] < even / 2, "{slow:?}");
    assert!(slow[3] > 0, "{slow:?}");
    service.run(30_000.0, 75_000.0, gap, speed);
    let after = service.run(75_000.0, 105_000.0, gap, speed);
    let even = after.iter().sum::<u32>() / 12;
    assert!(after[3] > even * 2 / 3, "{after:?}");
}
