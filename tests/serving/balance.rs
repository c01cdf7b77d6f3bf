//! Prompts of all hosts must spread over the engines by the tokens that the
//! engines have to read, and prefer engines that have read their prefix.

use {
    persimmoncleat::state::{
        clock::Time,
        id,
        serving::{
            balance::{Balancer, Part, Prompt, Report, Terms},
            cold::Cold,
            piece::JobId,
            quarantine::Quarantine,
            roster::Entry,
        },
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// Tokens that fit into an engine's memory.
const CAPACITY: u64 = 300_000;

const ENGINES: u16 = 8;

fn entries() -> Vec<Arc<Entry>> {
    (0..ENGINES)
        .map(|number| {
            Arc::new(Entry {
                address: ([127, 0, 0, 1], 1000 + number).into(),
                cold: Cold::default(),
                domain: if number % 2 == 0 { "a" } else { "b" }.into(),
                endpoint: format!("e{number}").into(),
                incarnation: 1,
                leaving: false,
                service: "s".into(),
                slots: 64,
            })
        })
        .collect()
}

fn balancer(entries: &[Arc<Entry>]) -> Balancer {
    let mut balancer = Balancer::default();
    balancer.update(entries.iter(), CAPACITY);
    balancer
}

/// Returns a prompt with a prefix that its session shares and an own part.
fn prompt(number: u64, session: u64, shared: u32, own: u32) -> Prompt {
    Prompt {
        domain: None,
        exclude: Vec::new(),
        fingerprint: 0,
        id: JobId {
            home: "h".into(),
            number,
        },
        parts: vec![
            Part {
                id: session,
                prefix: session,
                tokens: shared,
            },
            Part {
                id: 1_000_000 + number,
                prefix: 1_000_000 + number,
                tokens: own,
            },
        ],
        service: "s".into(),
        terms: Terms {
            remaining: Duration::from_secs(5),
            ..Terms::default()
        },
    }
}

fn place(
    balancer: &mut Balancer,
    millis: u64,
    entries: &[Arc<Entry>],
    prompt: &Prompt,
) -> id::Endpoint {
    let entry = balancer.place(at(millis), entries.iter(), prompt);
    entry.unwrap().endpoint.clone()
}

fn report(balancer: &mut Balancer, millis: u64, number: u64, report: Report) {
    let home = "h".into();
    let quarantine = Quarantine::default();
    balancer.report(at(millis), &JobId { home, number }, report, &quarantine);
}

const fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// Guards against long prompts of one burst that queue behind one another while
/// other engines are idle: by their hashes, 8 sessions use about 5 engines.
#[test]
fn long_prompts_of_a_burst_get_engines_of_their_own() {
    let entries = entries();
    let mut balancer = balancer(&entries);
    let engines = (0..u64::from(ENGINES))
        .map(|number| {
            place(
                &mut balancer,
                0,
                &entries,
                &prompt(number, number, 0, 40_000),
            )
        })
        .collect::<BTreeSet<id::Endpoint>>();
    assert_eq!(engines.len(), usize::from(ENGINES));
}

#[test]
fn session_stays_at_its_engine_while_that_is_not_busy() {
    let entries = entries();
    let mut balancer = balancer(&entries);
    let first = place(&mut balancer, 0, &entries, &prompt(0, 7, 6000, 1000));
    report(&mut balancer, 200, 0, Report::Started);
    let other = place(&mut balancer, 300, &entries, &prompt(1, 8, 6000, 1000));
    report(&mut balancer, 500, 1, Report::Started);

    for number in 2..6 {
        let millis = number * 1000;
        let again = prompt(number, 7, 6000, 1000);
        assert_eq!(place(&mut balancer, millis, &entries, &again), first);
        report(&mut balancer, millis + 100, number, Report::Started);
        let again = prompt(number + 100, 8, 6000, 1000);
        assert_eq!(place(&mut balancer, millis, &entries, &again), other);
        report(&mut balancer, millis + 100, number + 100, Report::Started);
    }
}

/// The prefixes are still at the engines when another host takes over, so a
/// balancer without knowledge must not scatter the sessions by its load.
/// Guards against a balancer that panics, or forgets all prefixes, because a caller
/// gives a part another size than the one before it.
#[test]
fn part_may_change_its_size() {
    let entries = &entries()[..1];
    let mut balancer = balancer(entries);

    for (number, session, shared, own) in [(0, 7, 0, 10), (1, 7, 200_000, 10), (2, 9, 0, 180_000)] {
        let prompt = prompt(number, session, shared, own);
        place(&mut balancer, number, entries, &prompt);
    }
}

#[test]
fn new_balancer_sends_a_session_where_the_one_before_did() {
    let entries = entries();
    let mut before = balancer(&entries);
    let mut after = balancer(&entries);

    for number in 0..20 {
        let prompt = prompt(number, number, 6000, 1000);
        let first = place(&mut before, number * 1000, &entries, &prompt);
        report(&mut before, number * 1000 + 100, number, Report::Started);
        // All prompts are still pending at the new one.
        assert_eq!(place(&mut after, 0, &entries, &prompt), first);
    }
}

/// Guards against one session that is sent far more often than usual: its
/// engine alone cannot read all of the prompts.
#[test]
fn hot_session_uses_more_engines() {
    let entries = entries();
    let mut balancer = balancer(&entries);
    let engines = (0..40)
        .map(|number| place(&mut balancer, 0, &entries, &prompt(number, 7, 6000, 3000)))
        .collect::<BTreeSet<id::Endpoint>>();
    assert!(engines.len() > 2, "{engines:?}");
}

#[test]
fn slow_engine_gets_fewer_prompts() {
    let entries = entries();
    let mut balancer = balancer(&entries);
    let slow = place(&mut balancer, 0, &entries, &prompt(0, 0, 0, 1000));
    report(&mut balancer, 100, 0, Report::Started);
    let mut count = 0;

    for number in 1..200 {
        let millis = number * 1000;
        let prompt = prompt(number, number, 0, 1000);
        let endpoint = place(&mut balancer, millis, &entries, &prompt);
        let slowness = if endpoint == slow { 1000 } else { 100 };
        count += u32::from(endpoint == slow);
        report(&mut balancer, millis + slowness, number, Report::Started);
    }

    // An even share is 25.
    assert!(count < 10, "{count}");
}

macro_rules! pauses {
    ($($name:ident: $report:expr, $count:expr => $paused:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let entries = entries();
                let mut balancer = balancer(&entries);
                let mut used = BTreeSet::new();

                for number in 0..$count {
                    let prompt = prompt(number, 7, 6000, 1000);
                    used.insert(place(&mut balancer, 10, &entries, &prompt));
                    report(&mut balancer, 10, number, $report);
                }

                assert_eq!(used.len(), 1);
                let next = place(&mut balancer, 20, &entries, &prompt(99, 7, 6000, 1000));
                assert_eq!(!used.contains(&next), $paused);
            }
        )*
    };
}

pauses! {
    unreachable_engine_is_paused_for_all_hosts: Report::Unreachable, 1 => true;
    full_engine_is_paused: Report::Full, 1 => true;
    engine_that_fails_twice_is_paused: Report::Failed, 2 => true;
    departed_caller_says_nothing_about_its_engine: Report::Abandoned, 4 => false;
}

/// A host that ended sends no reports; its prompts must not count forever.
#[test]
fn prompt_without_a_report_is_forgotten() {
    let entries = entries();
    let mut balancer = balancer(&entries);
    place(&mut balancer, 0, &entries, &prompt(0, 7, 6000, 1000));
    place(&mut balancer, 1000, &entries, &prompt(1, 7, 6000, 1000));
    place(&mut balancer, 6500, &entries, &prompt(2, 7, 6000, 1000));
    assert_eq!(balancer.pending(), 2);
}

/// A restarted host numbers its prompts from the start again.
#[test]
fn reused_number_replaces_the_prompt_before() {
    let entries = entries();
    let mut balancer = balancer(&entries);
    let first = place(&mut balancer, 0, &entries, &prompt(0, 7, 6000, 1000));
    let again = prompt(0, 7, 6000, 1000);
    assert_eq!(place(&mut balancer, 10, &entries, &again), first);
    assert_eq!(balancer.pending(), 1);
    report(&mut balancer, 100, 0, Report::Started);
    assert_eq!(balancer.pending(), 0);
}

#[test]
fn excluded_and_leaving_engines_are_not_chosen() {
    let mut entries = entries();
    let leaving = Arc::make_mut(&mut entries[0]);
    leaving.leaving = true;
    let mut balancer = balancer(&entries);
    let mut prompt = prompt(0, 7, 6000, 1000);
    prompt.exclude = (1..ENGINES)
        .map(|number| format!("e{number}").into())
        .collect();
    assert!(balancer.place(at(0), entries.iter(), &prompt).is_none());
}
