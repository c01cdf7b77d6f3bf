//! Draws fleets of engines, sound requests and requests with a part that crashes engines,
//! and checks that this part is found in time and no other one is blamed.

use {
    crate::prompts::{engines, id, prompt},
    persimmoncleat::state::{
        clock::Time,
        serving::{
            balance::{Balancer, Finding, Report},
            quarantine::Quarantine,
            roster::Entry,
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Number of fleets, unless `PERSIMMON_FUZZ_CASES` has another one.
const CASES: u64 = 300;

const ENGINES: u16 = 12;

/// Number of sessions, each with a part of its own.
const SESSIONS: u64 = 20;

/// The part that all sound requests share, and the one that crashes engines.
const COMMON: u64 = 1;
const HARMFUL: u64 = 2;

/// Time after which an engine is back.
const BACK: u64 = 2000;

/// Time for which a request is placed again while it has to wait.
const PATIENCE: u64 = 4000;

/// Number of crashes after which the part has to be known, and the time after them.
const KNOWN_CRASHES: usize = 5;
const KNOWN_TIME: u64 = 3000;

/// Number of requests with the part that may reach engines after that.
const MAX_LATE: usize = 3;

/// Length of a run, in milliseconds.
const LENGTH: u64 = 40_000;

const fn at(millis: u64) -> Time {
    Time::from_millis(60_000 + millis)
}

/// Why an engine crashes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Cause {
    Other,
    Part,
}

/// What happens next.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrives(u64),
    /// An engine crashes, if it is still in this incarnation.
    Crashes(u64, u64, Cause),
    Ends(u64),
    IsBack(u64),
    Reports(u64, u8),
}

/// A request and, once it was placed, its engine and incarnation.
#[derive(Clone, Debug)]
struct Request {
    arrived: u64,
    engine: Option<(u64, u64)>,
    harmful: bool,
    parts: Vec<u64>,
}

/// How a drawn fleet differs from others.
#[derive(Clone, Copy, Debug)]
struct Traits {
    /// Whether the part was answered before.
    answered: bool,
    /// Longest time from the beginning of an answer until the crash.
    delay: u64,
    /// Time between two groups of requests with the part.
    gap: u64,
    /// Number of requests of a group.
    group: u64,
    /// Position of the part in its prompts.
    position: usize,
    /// Whether other engines crash, too.
    random_crashes: bool,
    /// Longest time between two sound requests.
    sound_gap: u64,
    /// Length of a shared part. Long ones draw all requests to the same engines.
    tokens: u32,
}

impl Traits {
    fn draw(random: &mut StdRng) -> Self {
        let group = random.random_range(1..=6);
        Self {
            answered: random.random_bool(0.3),
            delay: random.random_range(0..=100),
            gap: random.random_range(600..=1500) * group,
            group,
            position: random.random_range(0..=2),
            random_crashes: random.random_bool(0.3),
            sound_gap: random.random_range(20..800),
            tokens: if random.random_bool(0.5) { 300 } else { 20_000 },
        }
    }
}

struct Fleet {
    balancer: Balancer,
    /// When the part crashed engines.
    crashes: Vec<u64>,
    down: BTreeSet<u64>,
    entries: Vec<Arc<Entry>>,
    events: BTreeSet<(u64, Event)>,
    found: Vec<u64>,
    now: u64,
    random: StdRng,
    requests: BTreeMap<u64, Request>,
    /// When requests with the part reached engines.
    runs: Vec<u64>,
    traits: Traits,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let traits = Traits::draw(&mut random);
        let mut fleet = Self {
            balancer: Balancer::default(),
            crashes: Vec::new(),
            down: BTreeSet::new(),
            entries: engines(ENGINES),
            events: BTreeSet::new(),
            found: Vec::new(),
            now: 0,
            random,
            requests: BTreeMap::new(),
            runs: Vec::new(),
            traits,
        };
        fleet.balancer.update(fleet.entries.iter(), 300_000);
        fleet.draw_requests();
        fleet
    }

    fn draw_requests(&mut self) {
        let mut time = 0;

        while time < LENGTH {
            time += self.random.random_range(10..self.traits.sound_gap);
            let session = 100 + self.random.random_range(0..SESSIONS);
            self.add(time, vec![COMMON, session], false);
        }

        if self.traits.answered {
            self.add(10, self.parts(0), false);
        }

        for group in 1.. {
            let time = group * self.traits.gap;

            if time >= LENGTH {
                break;
            }

            for _ in 0..self.traits.group {
                let session = self.random.random_range(0..SESSIONS);
                self.add(time, self.parts(session), true);
            }
        }

        for number in 1..5 {
            if self.traits.random_crashes {
                let engine = u64::from(self.random.random_range(0..ENGINES));
                self.at(number * 7000, Event::Crashes(engine, 1, Cause::Other));
            }
        }
    }

    /// Returns the parts of a prompt with the harmful one.
    fn parts(&self, session: u64) -> Vec<u64> {
        match self.traits.position {
            0 => vec![HARMFUL, COMMON],
            1 => vec![COMMON, HARMFUL],
            _ => vec![COMMON, 100 + session, HARMFUL],
        }
    }

    fn add(&mut self, time: u64, parts: Vec<u64>, harmful: bool) {
        let number = self.requests.len() as u64;
        let request = Request {
            arrived: time,
            engine: None,
            harmful,
            parts,
        };
        self.requests.insert(number, request);
        self.at(time, Event::Arrives(number));
    }

    fn at(&mut self, time: u64, event: Event) {
        self.events.insert((time, event));
    }

    /// Delivers a report after the latency of the links and hosts.
    fn report(&mut self, number: u64, report: Report) {
        let report = Report::ALL.iter().position(|other| *other == report);
        let latency = self.random.random_range(2..40);
        let event = Event::Reports(number, report.unwrap() as u8);
        self.at(self.now + latency, event);
    }

    /// Plays the events until the end or until the part is found.
    fn run(&mut self) {
        while let Some((time, event)) = self.events.pop_first() {
            if time > LENGTH || self.found.contains(&HARMFUL) {
                return;
            }

            self.now = time;

            match event {
                Event::Arrives(number) => self.place(number),
                Event::Crashes(engine, incarnation, cause) => {
                    self.crash(engine, incarnation, cause);
                }
                Event::Ends(number) => {
                    if self.is_running(number) {
                        self.report(number, Report::Ended);
                        self.requests.get_mut(&number).unwrap().engine = None;
                    }
                }
                Event::IsBack(engine) => {
                    self.down.remove(&engine);
                    let entry = &mut self.entries[engine as usize];
                    Arc::make_mut(entry).incarnation += 1;
                    self.balancer.update(self.entries.iter(), 300_000);
                }
                Event::Reports(number, report) => {
                    let report = Report::ALL[usize::from(report)];
                    let quarantine = Quarantine::default();
                    let finding = self
                        .balancer
                        .report(at(time), &id(number), report, &quarantine);

                    if let Finding::Harmful(part) = finding {
                        self.found.push(part);
                    }
                }
            }
        }
    }

    fn is_running(&self, number: u64) -> bool {
        let engine = self.requests[&number].engine;
        engine.is_some_and(|(engine, incarnation)| {
            !self.down.contains(&engine) && self.entries[engine as usize].incarnation == incarnation
        })
    }

    fn place(&mut self, number: u64) {
        let request = self.requests[&number].clone();
        let prompt = prompt(number, &request.parts, self.traits.tokens);

        if self.balancer.part_on_trial(at(self.now), &prompt).is_some() {
            if self.now < request.arrived + PATIENCE {
                self.at(self.now + 50, Event::Arrives(number));
            }

            return;
        }

        let entries = self.entries.iter();
        let placed = self.balancer.place(at(self.now), entries, &prompt);
        let engine = placed.unwrap().endpoint.as_str()[1..]
            .parse::<u64>()
            .unwrap();

        if self.down.contains(&engine) {
            self.report(number, Report::Unreachable);
            self.at(self.now + 50, Event::Arrives(number));
            return;
        }

        let incarnation = self.entries[engine as usize].incarnation;
        self.requests.get_mut(&number).unwrap().engine = Some((engine, incarnation));
        let begins = self.now + self.random.random_range(20..300);

        if request.harmful {
            self.runs.push(self.now);
            let crash = begins + self.random.random_range(0..=self.traits.delay);
            self.at(crash, Event::Crashes(engine, incarnation, Cause::Part));
        } else {
            let ends = begins + self.random.random_range(100..3000);
            self.at(ends, Event::Ends(number));
        }

        let started = Report::ALL
            .iter()
            .position(|report| *report == Report::Started);
        self.at(begins + 10, Event::Reports(number, started.unwrap() as u8));
    }

    fn crash(&mut self, engine: u64, incarnation: u64, cause: Cause) {
        let entry = &self.entries[engine as usize];

        if self.down.contains(&engine) || entry.incarnation != incarnation {
            return;
        }

        let lost = self.requests.iter();
        let lost = lost.filter(|(_, request)| request.engine == Some((engine, incarnation)));
        let lost = lost.map(|(number, _)| *number).collect::<Vec<u64>>();

        for number in lost {
            self.report(number, Report::Lost);
            self.requests.get_mut(&number).unwrap().engine = None;
        }

        self.down.insert(engine);

        if cause == Cause::Part {
            self.crashes.push(self.now);
        }

        self.at(self.now + BACK, Event::IsBack(engine));
    }

    /// Returns the number of requests with the part that reached engines too late.
    fn late(&self) -> usize {
        let Some(fifth) = self.crashes.get(KNOWN_CRASHES - 1) else {
            return 0;
        };
        let late = self.runs.iter().filter(|run| **run > fifth + KNOWN_TIME);
        late.count()
    }
}

/// Guards against a harmful part that is found too late, or not at all, and against sound
/// ones that are blamed for its crashes.
#[test]
fn only_the_harmful_part_is_found_in_time() {
    let cases = std::env::var("PERSIMMON_FUZZ_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(CASES);
    let failures = (0..cases).filter_map(|seed| {
        let mut fleet = Fleet::new(seed);
        fleet.run();
        let late = fleet.late();
        let fails = late > MAX_LATE || fleet.found != [HARMFUL];
        fails.then(|| {
            let (found, traits) = (&fleet.found, fleet.traits);
            format!("seed {seed}: {late} late, found {found:?}, {traits:?}")
        })
    });
    let failures = failures.collect::<Vec<String>>();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
