//! Regression tests of the dispatcher: batching, order, output storage, retries
//! and admission.

use {
    persimmoncleat::state::{
        clock::Time,
        serving::{
            batch::{Action, CallId, CallOutcome, Dispatcher, Item, Origin},
            budget::Bounds,
            cold::Cold,
            config::Pool,
            piece::{self, Failure, Input, Job, JobId, Outcome},
            roster::Entry,
        },
    },
    std::{sync::Arc, time::Duration},
};

fn pool() -> Pool {
    Pool {
        batch: 8,
        call: Duration::from_millis(150),
        item: Duration::from_millis(16),
        queue: 2,
        retention: Duration::from_secs(4),
        storage_bytes: 36_000_000,
        slots: 1,
    }
}

const BOUNDS: Bounds = Bounds {
    ratio: 0.2,
    slack: 52.0,
    window: Duration::from_secs(10),
};

pub fn entry(number: u16) -> Arc<Entry> {
    Arc::new(Entry {
        address: ([127, 0, 0, 1], 1000 + number).into(),
        cold: Cold::default(),
        domain: format!("d{number}").into(),
        endpoint: format!("e{number}").into(),
        incarnation: 1,
        leaving: false,
        service: "s".into(),
        slots: 1,
    })
}

fn dispatcher(endpoints: u16) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(pool(), BOUNDS);
    let entries = (0..endpoints).map(entry).collect::<Vec<Arc<Entry>>>();
    dispatcher.update(&pool(), entries.iter(), 1);
    dispatcher
}

pub fn job(number: u64, pieces: u16) -> Job {
    Job {
        domain: None,
        first: true,
        id: JobId {
            home: "h".into(),
            number,
        },
        input: Input::Key("k".into()),
        output_bytes: 8000,
        pieces: (0..pieces).collect(),
        priority: 1,
        remaining: Duration::from_secs(8),
        request: format!("r{number}"),
        service: "s".into(),
        stage: 0,
        team: None,
        urgency: Duration::from_secs(1),
    }
}

const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn sent(actions: &[Action]) -> Vec<(CallId, String, Vec<Item>)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Send {
                call, entry, items, ..
            } => Some((*call, entry.endpoint.to_string(), items.clone())),
            _ => None,
        })
        .collect()
}

fn outcomes(actions: &[Action]) -> Vec<(u64, Outcome)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Finish { job, outcome } => Some((job.number, outcome.clone())),
            _ => None,
        })
        .collect()
}

fn done(items: &[Item]) -> CallOutcome {
    let handles = items.iter();
    CallOutcome::Answered(
        handles
            .map(|item| piece::Result::Done(format!("{}/{}", item.request, item.piece)))
            .collect(),
    )
}

#[test]
fn pieces_of_many_requests_share_a_call() {
    let mut dispatcher = dispatcher(1);
    let mut actions = Vec::new();

    for number in 0..4 {
        dispatcher.add(at(0), job(number, 2), &mut actions);
    }

    let first = sent(&actions);
    assert_eq!(first.len(), 1);
    actions.clear();
    dispatcher.finish(at(200), first[0].0, done(&first[0].2), &mut actions);
    assert_eq!(sent(&actions)[0].2.len(), 6);
}

macro_rules! deferred_and_listed_again {
    ($($(#[$doc:meta])* $name:ident: $is_listed:expr, $incarnation:expr, $millis:expr => $calls:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut dispatcher = dispatcher(1);
                let unlisted: [Arc<Entry>; 0] = [];

                if !$is_listed {
                    dispatcher.update(&pool(), unlisted.iter(), 1);
                }

                dispatcher.defer(at(0), &entry(0), Duration::from_millis(500));
                dispatcher.update(&pool(), unlisted.iter(), 1);
                let listed = Entry { incarnation: $incarnation, ..(*entry(0)).clone() };
                dispatcher.update(&pool(), [Arc::new(listed)].iter(), 1);
                let mut actions = Vec::new();
                dispatcher.add(at($millis), job(0, 1), &mut actions);
                assert_eq!(sent(&actions).len(), $calls);
            }
        )*
    };
}

deferred_and_listed_again! {
    /// Guards against calls to an endpoint that wants none, since its entry has lapsed
    /// and come back.
    deferral_outlasts_a_lapsed_entry: true, 1, 499 => 0;
    /// Guards against the same if the refusal arrives while the entry is missing.
    deferral_of_an_unlisted_endpoint_is_kept: false, 1, 499 => 0;
    deferral_ends: true, 1, 500 => 1;
    new_incarnation_is_not_deferred: true, 2, 0 => 1;
}

/// Returns the item of a request's piece, and a result with a handle.
fn returned(request: &str, piece: u16, handle: &str) -> (Item, piece::Result) {
    let item = Item {
        input: Input::Key("k".into()),
        piece,
        remaining: Duration::from_secs(1),
        request: request.into(),
        stage: 0,
    };
    (item, piece::Result::Done(handle.into()))
}

macro_rules! response_after {
    ($($(#[$doc:meta])* $name:ident: $earlier:expr, $millis:expr, $later:expr => $origin:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut dispatcher = dispatcher(1);
                let mut origin = |millis, (item, result)| {
                    let endpoint = &entry(0).endpoint;
                    dispatcher.origin(at(millis), endpoint, &[item], &[result])
                };
                assert_eq!(origin(0, $earlier), Origin::ThisCall);
                assert_eq!(origin($millis, $later), $origin);
            }
        )*
    };
}

response_after! {
    /// Guards against a request that gets the outputs of another one, since an endpoint
    /// wrote an earlier response again.
    handle_of_another_request_shows_an_earlier_response:
        returned("r1", 0, "h1"), 14_000, returned("r2", 0, "h1") => Origin::EarlierCall;
    handle_of_another_piece_shows_an_earlier_response:
        returned("r1", 0, "h1"), 10, returned("r1", 1, "h1") => Origin::EarlierCall;
    new_handle_belongs_to_the_call:
        returned("r1", 0, "h1"), 10, returned("r2", 0, "h2") => Origin::ThisCall;
    /// An endpoint may name its outputs after their pieces.
    handle_of_a_piece_that_ran_again_belongs_to_the_call:
        returned("r1", 0, "h1"), 10, returned("r1", 0, "h1") => Origin::ThisCall;
    /// Guards against memory that grows with the number of pieces.
    handle_is_forgotten:
        returned("r1", 0, "h1"), 15_000, returned("r2", 0, "h1") => Origin::ThisCall;
}

#[test]
fn urgent_jobs_go_before_late_and_less_urgent_ones() {
    let mut dispatcher = dispatcher(1);
    let mut actions = Vec::new();
    dispatcher.add(at(0), job(0, 1), &mut actions);
    let first = sent(&actions);
    let late = Job {
        urgency: Duration::ZERO,
        priority: 0,
        ..job(1, 4)
    };
    let less_urgent = Job {
        priority: 2,
        ..job(2, 4)
    };
    dispatcher.add(at(1), late, &mut actions);
    dispatcher.add(at(1), less_urgent, &mut actions);
    dispatcher.add(at(1), job(3, 4), &mut actions);
    actions.clear();
    dispatcher.finish(at(200), first[0].0, done(&first[0].2), &mut actions);
    let items = &sent(&actions)[0].2;
    let requests = items.iter().map(|item| item.request.as_str());
    assert_eq!(
        requests.collect::<Vec<&str>>(),
        ["r3", "r3", "r3", "r3", "r2", "r2", "r2", "r2"]
    );
}

#[test]
fn call_is_limited_by_the_free_output_storage() {
    let mut dispatcher = dispatcher(1);
    let mut actions = Vec::new();
    let large = Job {
        output_bytes: 10_000_000,
        ..job(0, 5)
    };
    dispatcher.add(at(0), large, &mut actions);
    let first = sent(&actions);
    assert_eq!(first[0].2.len(), 3);
    actions.clear();
    dispatcher.finish(at(200), first[0].0, done(&first[0].2), &mut actions);
    assert!(
        sent(&actions).is_empty(),
        "the outputs still occupy the storage"
    );
    let freed = ["r0/0".to_owned(), "r0/1".to_owned()];
    dispatcher.mark_freed(at(250), &"e0".into(), &freed, &mut actions);
    assert_eq!(sent(&actions)[0].2.len(), 2);
}

#[test]
fn lack_of_output_storage_uses_up_no_attempt() {
    let mut dispatcher = dispatcher(1);
    let mut actions = Vec::new();
    dispatcher.add(at(0), job(0, 1), &mut actions);

    for turn in 1..10 {
        let call = sent(&actions).pop().expect("the piece is sent again");
        actions.clear();
        let now = at(turn * 500);
        let full = CallOutcome::Answered(vec![piece::Result::NoSpace]);
        dispatcher.finish(now, call.0, full, &mut actions);
        assert!(outcomes(&actions).is_empty());
        dispatcher.tick(at(turn * 500 + 100), &mut actions);
    }
}

#[test]
fn pieces_of_a_straggler_are_sent_to_another_endpoint() {
    let mut dispatcher = dispatcher(2);
    let mut actions = Vec::new();
    dispatcher.add(at(0), job(0, 2), &mut actions);
    let first = sent(&actions);
    actions.clear();
    dispatcher.tick(at(300), &mut actions);
    assert!(
        sent(&actions).is_empty(),
        "the call may still finish in time"
    );
    dispatcher.tick(at(600), &mut actions);
    let second = sent(&actions);
    assert_ne!(first[0].1, second[0].1);
    actions.clear();
    dispatcher.finish(at(800), second[0].0, done(&second[0].2), &mut actions);
    assert_eq!(outcomes(&actions).len(), 1);
    actions.clear();
    dispatcher.finish(at(900), first[0].0, done(&first[0].2), &mut actions);
    assert!(outcomes(&actions).is_empty());
    assert!(matches!(&actions[0], Action::Release { outputs } if outputs.len() == 2));
}

#[test]
fn job_that_cannot_end_in_time_is_refused_at_once() {
    /// Full calls that one endpoint ends within two seconds.
    const CALLS: usize = 7;

    let mut dispatcher = dispatcher(1);
    let mut actions = Vec::new();

    for number in 0..40 {
        let short = Job {
            remaining: Duration::from_secs(2),
            ..job(number, 8)
        };
        dispatcher.add(at(0), short, &mut actions);
    }

    let refused = outcomes(&actions);
    assert!(refused.len() >= 40 - CALLS, "{refused:?}");
    assert!(refused.len() < 40, "{refused:?}");

    for (_, outcome) in refused {
        assert_eq!(outcome.failure, Some(Failure::Overloaded));
        assert!(outcome.retry_after >= Duration::from_millis(200));
    }
}

#[test]
fn later_stage_is_never_refused() {
    let mut dispatcher = dispatcher(1);
    let mut actions = Vec::new();

    for number in 0..40 {
        dispatcher.add(at(0), job(number, 8), &mut actions);
    }

    actions.clear();
    let later = Job {
        first: false,
        remaining: Duration::from_secs(2),
        ..job(99, 8)
    };
    dispatcher.add(at(0), later, &mut actions);
    assert!(outcomes(&actions).is_empty());
}

macro_rules! undelivered_calls {
    ($($(#[$doc:meta])* $name:ident: $outcome:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut dispatcher = dispatcher(1);
                let mut actions = Vec::new();
                let patient = Job {
                    remaining: Duration::from_secs(600),
                    ..job(0, 1)
                };
                dispatcher.add(at(0), patient, &mut actions);

                for turn in 1..10 {
                    let call = sent(&actions).pop().expect("the piece is sent again");
                    actions.clear();
                    let now = turn * 5000;
                    dispatcher.finish(at(now), call.0, $outcome, &mut actions);
                    assert!(outcomes(&actions).is_empty());
                    dispatcher.tick(at(now + 4500), &mut actions);
                }
            }
        )*
    };
}

undelivered_calls! {
    unreachable_endpoint_uses_up_no_attempt: CallOutcome::Unreachable;
    /// Guards against jobs that fail within milliseconds because the calls of
    /// other dispatchers occupy all endpoints, as after a start of all hosts.
    full_endpoint_uses_up_no_attempt: CallOutcome::Full;
    endpoint_that_took_over_the_address_uses_up_no_attempt: CallOutcome::Replaced;
}

#[test]
fn failed_piece_is_not_retried_without_retry_budget() {
    let bounds = Bounds {
        ratio: 0.0,
        slack: 0.0,
        ..BOUNDS
    };
    let mut dispatcher = Dispatcher::new(pool(), bounds);
    dispatcher.update(&pool(), [entry(0)].iter(), 1);
    let mut actions = Vec::new();
    dispatcher.add(at(0), job(0, 1), &mut actions);
    let call = sent(&actions).pop().unwrap();
    actions.clear();
    let failed = CallOutcome::Answered(vec![piece::Result::Failed]);
    dispatcher.finish(at(200), call.0, failed, &mut actions);
    dispatcher.tick(at(300), &mut actions);
    assert!(sent(&actions).is_empty());
}

/// The outputs of a started job occupy storage until the job is finished, so
/// its last piece must go before the pieces of other jobs, even when it is
/// late.
#[test]
fn started_job_goes_before_new_ones_even_when_late() {
    let mut dispatcher = dispatcher(1);
    let mut actions = Vec::new();
    let started = Job {
        urgency: Duration::from_millis(100),
        ..job(1, 9)
    };
    dispatcher.add(at(0), started, &mut actions);
    let (call, _, items) = sent(&actions).remove(0);
    assert_eq!(items.len(), 8);
    dispatcher.add(at(10), job(2, 8), &mut actions);
    actions.clear();
    let outputs = (0..8).map(|piece| piece::Result::Done(format!("o{piece}")));
    let call_outcome = CallOutcome::Answered(outputs.collect());
    dispatcher.finish(at(300), call, call_outcome, &mut actions);
    let next = sent(&actions).remove(0).2;
    assert!(next.iter().any(|item| item.request == "r1"), "{next:?}");
}

/// A host that dispatches little has almost no retry budget, so a failed piece
/// would hold its request until the caller leaves.
#[test]
fn job_whose_retry_exceeds_the_budget_fails_soon() {
    let mut dispatcher = dispatcher(2);
    dispatcher.set_budget_bounds(Bounds {
        slack: 0.0,
        ..BOUNDS
    });
    let mut actions = Vec::new();
    dispatcher.add(at(0), job(0, 1), &mut actions);
    let call = sent(&actions)[0].0;
    actions.clear();
    dispatcher.finish(at(200), call, CallOutcome::Broken, &mut actions);
    dispatcher.tick(at(400), &mut actions);
    assert!(actions.is_empty());
    dispatcher.tick(at(600), &mut actions);
    let [(0, outcome)] = &outcomes(&actions)[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(outcome.failure, Some(Failure::Failed));
}

/// A call that is only slow must not be given up because the budget has no
/// second one for its pieces.
#[test]
fn slow_call_is_kept_when_its_hedge_exceeds_the_budget() {
    let mut dispatcher = dispatcher(2);
    dispatcher.set_budget_bounds(Bounds {
        ratio: 0.0,
        slack: 0.0,
        ..BOUNDS
    });
    let mut actions = Vec::new();
    dispatcher.add(at(0), job(0, 1), &mut actions);
    let (call, _, items) = sent(&actions).remove(0);
    actions.clear();

    for millis in (25..2000).step_by(25) {
        dispatcher.tick(at(millis), &mut actions);
    }

    assert!(actions.is_empty(), "{actions:?}");
    dispatcher.finish(at(2000), call, done(&items), &mut actions);
    assert_eq!(outcomes(&actions)[0].1.failure, None);
}

/// What happens to the call of a cancelled job whose id a later job has.
enum CallEnd {
    Answered,
    /// It takes so long that its pieces would go to another endpoint.
    Straggling,
}

macro_rules! calls_of_ended_jobs {
    ($($(#[$doc:meta])* $name:ident: $pieces:expr, $end:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut dispatcher = dispatcher(1);
                let mut actions = Vec::new();
                dispatcher.add(at(0), job(1, 2), &mut actions);
                let call = sent(&actions).remove(0);
                dispatcher.cancel(at(10), &job(1, 2).id, &mut actions);
                actions.clear();
                let later = Job { request: "later".into(), ..job(1, $pieces) };
                dispatcher.add(at(20), later, &mut actions);

                match $end {
                    CallEnd::Answered => {
                        dispatcher.finish(at(200), call.0, done(&call.2), &mut actions);
                    }
                    CallEnd::Straggling => dispatcher.tick(at(2000), &mut actions),
                }

                assert!(outcomes(&actions).is_empty());
                let requests = sent(&actions).into_iter().flat_map(|(_, _, items)| items);
                assert!(requests.clone().all(|item| item.request == "later"));
                assert!(requests.count() <= $pieces);
            }
        )*
    };
}

calls_of_ended_jobs! {
    /// Guards against outputs of an earlier job that become those of a later one.
    call_of_an_ended_job_does_not_answer_a_later_one: 2, CallEnd::Answered;
    /// Guards against a panic, which lost the outputs of all jobs in the call.
    call_of_an_ended_job_may_have_more_pieces_than_a_later_one: 1, CallEnd::Answered;
    /// Guards against a panic that ended the task which ticks all dispatchers.
    straggling_call_of_an_ended_job_may_have_more_pieces_than_a_later_one:
        1, CallEnd::Straggling;
}
