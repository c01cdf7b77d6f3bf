//! Prompts must wait at the balancing host while no engine has room, start in the order
//! of their urgency, and be refused if they cannot start in time.

use {
    persimmoncleat::state::{
        clock::Time,
        id,
        serving::{
            balance::{Answer, Balancer, Choice, Limits, Occupancy, Part, Prompt, Report, Terms},
            piece::JobId,
            quarantine::Quarantine,
            roster::Entry,
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

const LIMITS: Limits = Limits {
    capacity: 527_066,
    slots: 24,
};

/// A balancing host and its engines.
struct Service {
    balancer: Balancer,
    entries: Vec<Arc<Entry>>,
}

impl Service {
    fn new(engines: u16, limits: Limits) -> Self {
        let entries = (0..engines).map(entry).collect::<Vec<Arc<Entry>>>();
        let mut balancer = Balancer::default();
        balancer.count_room(Some(limits));
        balancer.update(entries.iter(), limits.capacity);
        Self { balancer, entries }
    }

    fn ask(&mut self, millis: u64, prompt: &Prompt) -> Answer {
        self.balancer
            .answer(at(millis), self.entries.iter(), prompt)
    }

    fn report(&mut self, millis: u64, prompt: &Prompt, report: Report) {
        let quarantine = Quarantine::default();
        self.balancer
            .report(at(millis), &prompt.id, report, &quarantine);
    }

    fn end(&mut self, millis: u64, prompt: &Prompt) {
        self.report(millis, prompt, Report::Started);
        self.report(millis, prompt, Report::Ended);
    }

    fn occupancy(&self) -> Occupancy {
        self.balancer.occupancy().unwrap()
    }

    /// Asks for prompts until one has to wait, and returns those that got engines.
    fn fill(&mut self, millis: u64, prompt: impl Fn(u64) -> Prompt) -> Vec<Prompt> {
        let mut placed = Vec::new();

        for number in 0.. {
            let prompt = prompt(number);

            match self.ask(millis, &prompt).choice {
                Choice::Engine(_) => placed.push(prompt),
                Choice::Wait(_) => break,
                other => panic!("{other:?}"),
            }
        }

        placed
    }

    /// Lets ten requests end that held their room for a second, so that the rate at which
    /// room becomes free is known.
    fn learn(&mut self) {
        for number in 0..10 {
            let prompt = prompt(1_000_000 + number, 10);
            assert!(is_engine(&self.ask(0, &prompt)));
            self.end(1000, &prompt);
        }
    }
}

fn is_engine(answer: &Answer) -> bool {
    matches!(answer.choice, Choice::Engine(_))
}

fn is_wait(answer: &Answer) -> bool {
    matches!(answer.choice, Choice::Wait(_))
}

const fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
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

/// Returns a prompt that shares no part with others, and has 6 s and a goal of 1 s.
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
        parts: vec![part(2 * number, 0), part(2 * number + 1, tokens)],
        service: "s".into(),
        terms: Terms {
            output_tokens: 0,
            priority: 1,
            remaining: Duration::from_secs(6),
            team: None,
            urgency: Duration::from_millis(1000),
            waits: true,
        },
    }
}

fn small(number: u64) -> Prompt {
    prompt(number, 100)
}

/// Guards against engines that queue requests, where none can be reordered and the
/// newest one is preempted.
#[test]
fn burst_fills_all_slots_and_waits() {
    let mut service = Service::new(4, LIMITS);
    let placed = service.fill(0, small);
    assert_eq!(placed.len(), 4 * 24);
    let occupancy = service.occupancy();
    assert_eq!(
        (occupancy.full, occupancy.held, occupancy.waiting),
        (4, 96, 1)
    );
    service.end(100, &placed[0]);
    assert!(is_engine(&service.ask(101, &small(96))));
    assert_eq!(service.occupancy().waiting, 0);
}

/// Guards against memory that is filled before the slots are.
#[test]
fn prompts_wait_when_memory_is_full_before_the_slots() {
    let limits = Limits {
        slots: 64,
        ..LIMITS
    };
    let mut service = Service::new(2, limits);
    let placed = service.fill(0, |number| prompt(number, 9190));
    assert_eq!(placed.len(), 2 * 57);
}

/// Guards against shared parts that are counted once for each request.
#[test]
fn shared_parts_and_expected_answers_take_memory() {
    let limits = Limits {
        capacity: 10_000,
        slots: 64,
    };
    let mut service = Service::new(1, limits);
    let placed = service.fill(0, |number| {
        let mut prompt = prompt(number, 100);
        prompt.parts[0] = Part {
            id: 7,
            prefix: 7,
            tokens: 5000,
        };
        prompt.terms.output_tokens = 400;
        prompt
    });
    // (10,000 - 5000) / 500
    assert_eq!(placed.len(), 10);
}

#[test]
fn prompt_larger_than_an_engine_is_refused_at_once() {
    let mut service = Service::new(2, LIMITS);
    let answer = service.ask(0, &prompt(0, 527_067));
    assert!(matches!(answer.choice, Choice::Refused(_)), "{answer:?}");
    assert!(is_engine(&service.ask(0, &prompt(1, 527_066))));
}

/// Guards against an estimate of the answer that excludes its request from an empty
/// engine.
#[test]
fn expected_answer_larger_than_an_engine_is_no_reason_to_refuse() {
    let mut service = Service::new(1, LIMITS);
    let mut prompt = small(0);
    prompt.terms.output_tokens = 100_000_000;
    assert!(is_engine(&service.ask(0, &prompt)));
}

/// Guards against urgent prompts that start after others that arrived before them.
#[test]
fn waiting_prompts_start_by_their_urgency() {
    let mut service = Service::new(1, LIMITS);
    let placed = service.fill(0, small);
    let mut urgent = small(100);
    urgent.terms.urgency = Duration::from_millis(500);
    assert!(is_wait(&service.ask(10, &urgent)));
    service.end(30, &placed[0]);
    // The next prompt that is not as urgent keeps waiting while there is room for one.
    assert!(is_wait(&service.ask(31, &small(24))));
    assert!(is_engine(&service.ask(35, &urgent)));
    assert!(is_wait(&service.ask(36, &small(24))));
    service.end(40, &placed[1]);
    assert!(is_engine(&service.ask(45, &small(24))));
}

/// Guards against less urgent requests that are on time at the expense of others.
#[test]
fn lower_priority_is_late_when_not_all_can_be_on_time() {
    let mut service = Service::new(1, LIMITS);
    service.learn();
    let placed = service.fill(2000, small);
    let waiting = (0..80).map(|number| {
        let mut prompt = small(100 + number);
        prompt.terms.priority = if number % 2 == 0 { 2 } else { 0 };
        prompt
    });
    let mut waiting = waiting.collect::<Vec<Prompt>>();
    let mut started = BTreeMap::<u8, u32>::new();

    for step in 0..100 {
        let now = 2010 + step * 10;
        waiting.retain(|prompt| {
            let answer = service.ask(now, prompt);
            let is_started = is_engine(&answer);
            *started.entry(prompt.terms.priority).or_default() += u32::from(is_started);
            !is_started && is_wait(&answer)
        });

        // 24 slots with requests of 1 s.
        if let Some(prompt) = placed.get(step as usize / 4) {
            service.end(now, prompt);
        }
    }

    assert!(started[&0] >= 18, "{started:?}");
    assert!(started[&0] > started[&2] * 3, "{started:?}");
}

/// Guards against callers that wait until their deadline for an answer that cannot come.
#[test]
fn prompt_that_cannot_start_in_time_is_refused_at_once() {
    let mut service = Service::new(1, LIMITS);
    service.learn();
    service.fill(2000, small);
    let mut hosts = Vec::new();
    let mut refused = Vec::new();

    for millis in 2020..2920 {
        if millis < 2420 {
            hosts.push((millis, small(100 + millis)));
        }

        hosts.retain_mut(|(next, prompt)| {
            if *next > millis {
                return true;
            }

            match service.ask(millis, prompt).choice {
                Choice::Wait(time) => *next = millis + time.as_millis() as u64,
                Choice::Refused(time) => refused.push(time),
                other => panic!("{other:?}"),
            }

            *next > millis
        });
    }

    // 24 slots become free each second, half of them for late prompts, for 6 s.
    assert!((70..=145).contains(&hosts.len()), "{}", hosts.len());
    assert_eq!(refused.len() + hosts.len(), 400);
    let distinct = refused.iter().collect::<BTreeSet<&Duration>>();
    assert!(distinct.len() > 1, "refused callers would return together");
}

#[test]
fn backlog_is_zero_while_there_is_room() {
    let mut service = Service::new(1, LIMITS);
    service.learn();
    assert_eq!(service.ask(1500, &small(500)).backlog, Duration::ZERO);
    service.fill(2000, small);
    let answer = service.ask(2001, &small(501));
    assert!(!answer.backlog.is_zero(), "{answer:?}");
}

#[test]
fn host_of_an_earlier_version_gets_an_engine_at_once() {
    let mut service = Service::new(2, LIMITS);
    service.fill(0, small);
    let mut old = small(200);
    old.terms = Terms::default();
    assert!(is_engine(&service.ask(10, &old)));
}

/// Guards against a resumed stream, whose work was already done once, that waits behind
/// new prompts.
#[test]
fn resumed_stream_does_not_wait() {
    let mut service = Service::new(2, LIMITS);
    let placed = service.fill(0, small);
    service.report(10, &placed[0], Report::Started);
    let Choice::Engine(engine) = service.ask(11, &resumed(300)).choice else {
        panic!("a resumed stream waits");
    };
    // The broken stream leaves room, and the one that continues takes it first.
    service.report(20, &placed[0], Report::Ended);
    service.report(20, &resumed(300), Report::Abandoned);
    let answer = service.ask(21, &resumed(301));
    assert!(is_engine(&answer), "{engine} {answer:?}");
    assert!(is_wait(&service.ask(22, &small(400))));
}

fn resumed(number: u64) -> Prompt {
    let mut prompt = small(number);
    prompt.terms.waits = false;
    prompt
}

macro_rules! ends {
    ($($name:ident: $reports:expr, $millis:expr => $free:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut service = Service::new(1, LIMITS);
                let placed = service.fill(0, small);

                for report in $reports {
                    service.report(10, &placed[0], report);
                }

                assert_eq!(is_engine(&service.ask($millis, &small(500))), $free);
            }
        )*
    };
}

ends! {
    running_request_holds_its_room: [Report::Started], 200 => false;
    ended_request_frees_its_room: [Report::Started, Report::Ended], 200 => true;
    failed_attempt_frees_its_room: [Report::Failed], 200 => true;
    refused_attempt_frees_its_room: [Report::Full], 200 => true;
    departed_caller_frees_its_room: [Report::Abandoned], 200 => true;
    end_that_is_reported_twice_frees_room_once:
        [Report::Started, Report::Ended, Report::Ended], 200 => true;
    room_of_a_lost_report_is_kept_before_the_deadline: [Report::Started], 5900 => false;
    room_of_a_lost_report_is_freed_after_the_deadline: [Report::Started], 6600 => true;
}

/// Guards against a queue that keeps prompts whose callers have left, and room for them.
#[test]
fn prompt_that_is_not_asked_for_again_is_dropped() {
    let mut service = Service::new(1, LIMITS);
    let placed = service.fill(0, small);
    assert!(is_wait(&service.ask(1, &small(100))));
    assert!(is_wait(&service.ask(2, &small(101))));
    service.end(900, &placed[0]);
    assert!(is_engine(&service.ask(2000, &small(101))));
}

/// Guards against a successor that refuses or delays prompts because it knows nothing
/// of those at the engines.
#[test]
fn successor_of_the_balancing_host_places_waiting_prompts() {
    let mut before = Service::new(2, LIMITS);
    let placed = before.fill(0, small);
    let mut after = Service::new(2, LIMITS);
    assert!(is_engine(&after.ask(100, &small(48))));

    // Reports about prompts of the one before are ignored.
    for prompt in &placed {
        after.end(200, prompt);
    }

    assert_eq!(after.occupancy().held, 1);
}

/// Guards against a large prompt that never starts because small ones always take the
/// memory first.
#[test]
fn large_prompt_is_not_passed_by_small_ones_forever() {
    let limits = Limits {
        capacity: 1000,
        slots: 24,
    };
    let mut service = Service::new(2, limits);
    let mut running = service.fill(0, small);
    let large = prompt(9_000, 900);
    let mut number = 100;
    let mut started = None;

    for step in 1..200 {
        let now = step * 20;

        if is_engine(&service.ask(now, &large)) {
            started = Some(now);
            break;
        }

        // One of the small requests ends and another one arrives.
        if !running.is_empty() {
            let ended = running.remove(0);
            service.end(now + 5, &ended);
        }

        number += 1;
        let next = small(number);

        if is_engine(&service.ask(now + 6, &next)) {
            running.push(next);
        }
    }

    assert!(started.is_some_and(|time| time < 2000), "{started:?}");
}

/// Guards against engines that restart with the room of their former requests taken.
#[test]
fn restarted_engine_is_empty() {
    let mut service = Service::new(1, LIMITS);
    service.fill(0, small);
    Arc::make_mut(&mut service.entries[0]).incarnation = 2;
    let entries = service.entries.clone();
    service.balancer.update(entries.iter(), LIMITS.capacity);
    assert!(is_engine(&service.ask(100, &small(24))));
}

/// Guards against a prefix that draws more requests to its engine than that has slots.
#[test]
fn engines_with_room_are_used_before_those_without() {
    let mut service = Service::new(3, LIMITS);
    let engine = |answer: Answer| match answer.choice {
        Choice::Engine(engine) => engine,
        other => panic!("{other:?}"),
    };
    let mut counts = BTreeMap::<id::Endpoint, u32>::new();

    // All prompts have the same prefix, which one engine has read.
    for number in 0..72 {
        let mut prompt = prompt(number, 10);
        prompt.parts[0] = Part {
            id: 7,
            prefix: 7,
            tokens: 100_000,
        };
        let answer = service.ask(number * 10, &prompt);
        *counts.entry(engine(answer)).or_default() += 1;
        service.report(number * 10 + 5, &prompt, Report::Started);
    }

    assert!(counts.values().all(|count| *count == 24));
}
