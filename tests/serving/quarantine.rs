//! A part of prompts that crashes every engine must be kept away from the engines
//! after a few losses, and no other part.

use {
    persimmoncleat::state::{
        clock::Time,
        id,
        serving::quarantine::{Entry, Evidence, Lost, Quarantine, Status, shared},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

/// The part that crashes engines, a part that it shares with sound requests, and a
/// session's part.
const HARMFUL: u64 = 1;
const COMMON: u64 = 2;
const SESSION: u64 = 3;

const MINUTE: Duration = Duration::from_secs(60);

fn at(millis: u64) -> Time {
    Time::from_micros((60_000 + millis) * 1000)
}

/// Returns a request that was lost before its answer began.
fn waiting(fingerprint: u64, parts: &[u64]) -> Lost {
    Lost {
        began: None,
        fingerprint,
        parts: parts.to_vec(),
        placed: at(0),
    }
}

/// Records the loss of an engine with one request, which is lost nowhere else.
fn lose(evidence: &mut Evidence, millis: u64, engine: u64, parts: &[u64]) -> Option<u64> {
    lose_with(evidence, millis, engine, waiting(1000 + millis, parts))
}

fn lose_with(evidence: &mut Evidence, millis: u64, engine: u64, lost: Lost) -> Option<u64> {
    let endpoint = id::Endpoint::from(format!("e{engine}").as_str());
    evidence.record_loss(at(millis), &endpoint, 1, &[lost], &Quarantine::default())
}

/// A report about an engine's request: the time, the engine and its parts.
enum Report {
    Answer(&'static [u64]),
    Loss(u64, u64, &'static [u64]),
    /// The same as a loss, but of a request that was sent at the second time.
    Sent(u64, u64, u64, &'static [u64]),
    /// The same as a loss, but always of the same request.
    Again(u64, u64, &'static [u64]),
    /// The engine is lost with several requests: each with its parts and the time for
    /// which it was answered.
    Crash(u64, u64, &'static [(&'static [u64], u64)]),
}

use Report::{Again, Answer, Crash, Loss, Sent};

/// Records the loss of an engine with several requests.
fn crash(
    evidence: &mut Evidence,
    millis: u64,
    engine: u64,
    requests: &[(&[u64], u64)],
) -> Option<u64> {
    let endpoint = id::Endpoint::from(format!("e{engine}").as_str());
    let lost = (0..).zip(requests).map(|(index, (parts, age))| Lost {
        began: Some(at(millis - age)),
        ..waiting(millis * 10 + index, parts)
    });
    let lost = lost.collect::<Vec<Lost>>();
    evidence.record_loss(at(millis), &endpoint, 1, &lost, &Quarantine::default())
}

macro_rules! quarantined {
    ($($(#[$doc:meta])* $name:ident: [$($report:expr),* $(,)?] => $part:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut evidence = Evidence::default();
                let mut found = Vec::new();
                for report in [$($report),*] {
                    match report {
                        Answer(parts) => evidence.record_answer(parts),
                        Loss(millis, engine, parts) => {
                            found.extend(lose(&mut evidence, millis, engine, parts));
                        }
                        Again(millis, engine, parts) => {
                            let lost = waiting(1, parts);
                            found.extend(lose_with(&mut evidence, millis, engine, lost));
                        }
                        Sent(millis, placed, engine, parts) => {
                            let mut lost = waiting(1000 + millis, parts);
                            lost.placed = at(placed);
                            found.extend(lose_with(&mut evidence, millis, engine, lost));
                        }
                        Crash(millis, engine, requests) => {
                            found.extend(crash(&mut evidence, millis, engine, requests));
                        }
                    }
                }
                let expected: Option<u64> = $part;
                assert_eq!(found, expected.into_iter().collect::<Vec<u64>>());
            }
        )*
    };
}

quarantined! {
    /// Guards against requests of one kind that end one engine after the other.
    part_that_crashes_every_engine: [
        Loss(0, 1, &[COMMON, HARMFUL, 10]), Answer(&[COMMON, SESSION]),
        Loss(700, 2, &[COMMON, HARMFUL, 11]), Answer(&[COMMON, SESSION]),
        Loss(1400, 3, &[COMMON, HARMFUL, 12]),
    ] => Some(HARMFUL);
    /// Guards against the refusal of sound requests that were at an engine when
    /// it was lost.
    part_of_requests_that_are_answered_elsewhere: [
        Loss(0, 1, &[COMMON, SESSION]), Loss(700, 2, &[COMMON, SESSION]),
        Answer(&[COMMON, SESSION]),
        Loss(1400, 3, &[COMMON, SESSION]), Loss(2100, 4, &[COMMON, SESSION]),
    ] => None;
    /// Guards against the refusal of a popular part because a rack was lost.
    part_at_many_engines_lost_at_one_moment: [
        Loss(0, 1, &[COMMON]), Loss(20, 2, &[COMMON]), Loss(40, 3, &[COMMON]),
        Loss(60, 4, &[COMMON]), Loss(80, 5, &[COMMON]), Loss(150, 6, &[COMMON]),
    ] => None;
    /// Guards against groups of requests that crash engines at the same moment and count
    /// once each.
    part_of_requests_that_follow_the_losses_of_a_group: [
        Loss(10, 1, &[HARMFUL]), Loss(20, 2, &[HARMFUL]), Loss(30, 3, &[HARMFUL]),
        Sent(5040, 5000, 4, &[HARMFUL]), Sent(5090, 5050, 5, &[HARMFUL]),
    ] => Some(HARMFUL);
    /// Guards against the refusal of a session all of whose requests were at one
    /// engine.
    part_of_many_requests_at_one_engine: [
        Loss(0, 1, &[SESSION]), Loss(300, 1, &[SESSION]), Loss(600, 1, &[SESSION]),
        Loss(900, 1, &[SESSION]), Loss(1200, 1, &[SESSION]),
    ] => None;
    /// Guards against the refusal of all requests of a rare caller: of parts that
    /// occur together, only one is refused.
    last_of_parts_that_occur_together: [
        Loss(0, 1, &[COMMON, HARMFUL]), Loss(700, 2, &[COMMON, HARMFUL]),
        Loss(1400, 3, &[COMMON, HARMFUL]), Loss(2100, 5, &[COMMON]),
    ] => Some(HARMFUL);
    /// Guards against the refusal of a session that was answered before, since its
    /// sound requests wait at the engines that a harmful one crashes and are reported
    /// first.
    session_at_engines_that_a_harmful_request_crashes: [
        Answer(&[COMMON, SESSION]),
        Loss(0, 1, &[COMMON, SESSION]), Loss(1, 1, &[COMMON, SESSION, HARMFUL]),
        Loss(700, 2, &[COMMON, SESSION]), Loss(701, 2, &[COMMON, SESSION, HARMFUL]),
        Loss(1400, 3, &[COMMON, SESSION]), Loss(1401, 3, &[COMMON, SESSION, HARMFUL]),
        Loss(2100, 4, &[COMMON, SESSION]),
    ] => Some(HARMFUL);
    /// Guards against a part that crashes engines only since their last change.
    answered_part_that_crashes_engines_now: [
        Answer(&[COMMON, HARMFUL]),
        Loss(0, 1, &[COMMON, HARMFUL, 10]), Answer(&[COMMON]),
        Loss(700, 2, &[COMMON, HARMFUL, 11]), Answer(&[COMMON]),
        Loss(1400, 3, &[COMMON, HARMFUL, 12]), Answer(&[COMMON]),
        Loss(2100, 4, &[COMMON, HARMFUL, 13]),
    ] => Some(HARMFUL);
    /// Guards against the refusal of a part that engines have answered before, in
    /// place of a harmful one that precedes it.
    part_never_answered_among_parts_that_occur_together: [
        Answer(&[SESSION]),
        Loss(0, 1, &[HARMFUL, SESSION]), Loss(700, 2, &[HARMFUL, SESSION]),
        Loss(1400, 3, &[HARMFUL, SESSION]),
    ] => Some(HARMFUL);
    /// Guards against the refusal of a session because one of its requests crashes
    /// engines by itself, and comes again.
    part_of_one_request_that_comes_again: [
        Again(0, 1, &[SESSION]), Again(700, 2, &[SESSION]), Again(1400, 3, &[SESSION]),
        Loss(2100, 4, &[SESSION]), Again(2800, 5, &[SESSION]),
    ] => None;
    /// Guards against a harmful part that is excused because each of its requests is
    /// tried at two engines.
    part_of_requests_that_are_tried_twice: [
        Again(0, 1, &[HARMFUL]), Again(10, 2, &[HARMFUL]),
        Loss(700, 3, &[HARMFUL]), Loss(1400, 4, &[HARMFUL]),
    ] => Some(HARMFUL);
    /// Guards against the refusal of the part that all requests share, if none of them
    /// is answered in full because all are at the engines that crash.
    part_of_all_requests_at_engines_that_a_harmful_part_crashes: [
        Crash(1000, 1, &[(&[COMMON, 20], 900), (&[COMMON, HARMFUL], 5), (&[COMMON, 21], 0)]),
        Crash(2000, 2, &[(&[COMMON, 22], 0), (&[COMMON, HARMFUL], 5), (&[COMMON, 23], 400)]),
        Crash(3000, 3, &[(&[COMMON, 24], 700), (&[COMMON, 25], 10), (&[COMMON, HARMFUL], 5)]),
    ] => Some(HARMFUL);
    /// Guards against the refusal of a session that loses its engine three times long
    /// after an answer has begun.
    session_whose_answers_had_begun_long_before: [
        Crash(1000, 1, &[(&[COMMON, SESSION], 990), (&[COMMON, HARMFUL], 5)]),
        Crash(2000, 2, &[(&[COMMON, SESSION], 600), (&[COMMON, HARMFUL], 5)]),
        Crash(3000, 3, &[(&[COMMON, SESSION], 800), (&[COMMON, HARMFUL], 5)]),
    ] => Some(HARMFUL);
    /// Guards against the refusal of a rare session that loses three engines by chance, each
    /// in the middle of an answer.
    session_that_loses_its_engines_in_the_middle_of_answers: [
        Crash(1000, 1, &[(&[SESSION], 300)]), Crash(7000, 2, &[(&[SESSION], 545)]),
        Crash(20_000, 3, &[(&[SESSION], 320)]),
    ] => None;
    /// Guards against a part that crashes engines some time after the beginning of an
    /// answer and is never recognised.
    part_that_crashes_engines_in_the_middle_of_answers: [
        Crash(1000, 1, &[(&[HARMFUL], 400)]), Crash(2000, 2, &[(&[HARMFUL], 400)]),
        Crash(3000, 3, &[(&[HARMFUL], 400)]), Crash(4000, 4, &[(&[HARMFUL], 400)]),
    ] => Some(HARMFUL);
    /// Guards against the refusal of a part because engines are lost while they have
    /// been answering requests with it for a while.
    part_of_long_answers: [
        Crash(2000, 1, &[(&[COMMON], 1500)]), Crash(4000, 2, &[(&[COMMON], 1200)]),
        Crash(6000, 3, &[(&[COMMON], 3000)]), Crash(9000, 4, &[(&[COMMON], 1000)]),
    ] => None;
}

/// Guards against sound sessions that are refused during trouble: one request in
/// fifty loses its engine before its answer begins.
#[test]
fn lost_requests_of_sound_sessions_are_no_series() {
    let mut random = StdRng::seed_from_u64(7);
    let mut evidence = Evidence::default();

    for step in 0..2000 {
        let parts = [random.random_range(0..4), 100 + random.random_range(0..200)];

        if random.random_bool(0.02) {
            let engine = random.random_range(0..60);
            assert_eq!(lose(&mut evidence, step * 20, engine, &parts), None);
        } else {
            evidence.record_answer(&parts);
        }
    }
}

#[test]
fn own_part_of_a_request_is_never_quarantined() {
    assert_eq!(shared(&[COMMON, SESSION, 9]), [COMMON, SESSION]);
    assert!(shared(&[9]).is_empty());
    assert!(shared::<u64>(&[]).is_empty());
}

/// Guards against a part that stays refused for good, and against one that crashes
/// three more engines each time its quarantine has passed.
#[test]
fn quarantine_ends_and_one_more_loss_renews_it_for_longer() {
    let mut quarantine = Quarantine::default();
    let first = quarantine.add(at(0), HARMFUL);
    assert_eq!(quarantine.find(at(0), [COMMON, HARMFUL]), Some(HARMFUL));
    let end = at(0) + first;
    assert_eq!(quarantine.find(end, [HARMFUL]), None);
    assert_eq!(quarantine.status(end, HARMFUL), Status::Probation);
    let endpoint = id::Endpoint::from("e1");
    let mut evidence = Evidence::default();
    let lost = [waiting(1, &[COMMON, HARMFUL, SESSION])];
    let harmful = evidence.record_loss(end, &endpoint, 1, &lost, &quarantine);
    assert_eq!(harmful, Some(HARMFUL));
    assert!(quarantine.add(end, HARMFUL) > first);
}

/// Guards against a part that stays on probation although it no longer crashes
/// engines.
#[test]
fn released_part_is_quarantined_only_after_a_new_series() {
    let mut quarantine = Quarantine::default();
    let end = at(0) + quarantine.add(at(0), HARMFUL);
    quarantine.release(HARMFUL);
    assert_eq!(quarantine.status(end, HARMFUL), Status::Clear);
    let endpoint = id::Endpoint::from("e1");
    let mut evidence = Evidence::default();
    let harmful = evidence.record_loss(end, &endpoint, 1, &[waiting(1, &[HARMFUL])], &quarantine);
    assert_eq!(harmful, None);
}

/// Guards against a host that sends requests on which another one has already
/// learnt not to, and against entries that hosts renew for each other forever.
#[test]
fn hosts_learn_from_each_other_until_the_quarantine_ends() {
    let mut first = Quarantine::default();
    let duration = first.add(at(0), HARMFUL);
    let mut second = Quarantine::default();
    assert_eq!(second.merge(at(100), &first.entries(at(50))), [HARMFUL]);
    assert!(second.merge(at(200), &first.entries(at(150))).is_empty());
    let mut now = at(0);

    while now < at(0) + duration + MINUTE {
        first.merge(now, &second.entries(now));
        second.merge(now, &first.entries(now));
        now = now + Duration::from_millis(500);
    }

    assert_eq!(first.find(now, [HARMFUL]), None);
    assert_eq!(second.find(now, [HARMFUL]), None);
}

/// Guards against memory that grows with what other hosts send.
#[test]
fn number_of_entries_is_bounded() {
    let mut quarantine = Quarantine::default();
    let entries = (0..1000).map(|part| Entry {
        part,
        remaining: MINUTE,
    });
    quarantine.merge(at(0), &entries.collect::<Vec<Entry>>());
    assert!(quarantine.entries(at(0)).len() <= 64);
}
