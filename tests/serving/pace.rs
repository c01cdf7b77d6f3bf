//! Reports of an endpoint's load must count while they are fresh, and must not count
//! against what its calls take.

use {
    persimmoncleat::state::{
        clock::Time,
        serving::pace::{
            Load, Pace,
            response::{Responses, Usual},
        },
    },
    std::time::Duration,
};

const CALL: Duration = Duration::from_millis(300);

const fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

const fn load(waiting: u32, pace: Option<f64>) -> Load {
    Load {
        pace,
        running: 1,
        slots: 1,
        waiting,
    }
}

fn reported(pace: f64) -> Pace {
    let mut reported = Pace::default();
    reported.record_report(at(0), load(0, Some(pace)), 1);
    reported
}

#[test]
fn endpoint_without_reports_has_no_pace() {
    let mut pace = Pace::default();
    pace.record_call(at(0), 3.0, 1.0);
    assert_eq!(pace.ratio(at(0), CALL), None);
    assert_eq!(pace.expected(at(0), CALL), 1.0);
}

#[test]
fn report_loses_half_of_its_weight_in_300_ms() {
    let pace = reported(2.5);
    let ratio = |millis| pace.ratio(at(millis), CALL).unwrap();
    assert_eq!(ratio(0), 2.5);
    assert_eq!(ratio(300), 1.75);
    assert!(ratio(3000) < 1.01);
}

/// Guards against equal endpoints that are told apart by the noise of their calls.
#[test]
fn usual_calls_change_nothing() {
    let mut pace = reported(1.0);

    for (millis, ratio) in [(0, 1.02), (300, 0.97), (600, 1.1), (900, 1.2)] {
        pace.record_call(at(millis), ratio, 1.0);
    }

    assert_eq!(pace.ratio(at(900), CALL), Some(1.0));
    assert_eq!(pace.expected(at(900), CALL), 1.0);
}

/// Guards against a report that is counted twice, as reported and as measured.
#[test]
fn call_that_took_what_was_reported_corrects_nothing() {
    let mut pace = reported(2.5);
    pace.record_call(at(0), 2.5, 2.5);
    assert_eq!(pace.ratio(at(0), CALL), Some(2.5));
    // The neighbour came or went during the call.
    pace.record_call(at(0), 1.7, 1.0);
    assert_eq!(pace.ratio(at(0), CALL), Some(2.5));
}

macro_rules! lies {
    ($($(#[$doc:meta])* $name:ident: $reported:expr, $measured:expr => $range:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut pace = Pace::default();

            for call in 0..12 {
                let now = at(call * 300);
                let before = pace.known(now, CALL);
                pace.record_report(now, load(0, Some($reported)), 1);
                pace.record_call(now, $measured, before);
            }

            let ratio = pace.ratio(at(11 * 300), CALL).unwrap();
            assert!($range.contains(&ratio), "{ratio}");
        }
    )*};
}

lies! {
    /// Guards against an endpoint that gets all work because it says that it is fast.
    slow_endpoint_that_reports_the_usual_pace_is_slow: 1.0, 2.5 => 1.9..2.6;
    usual_endpoint_that_reports_hurry_is_usual: 0.01, 1.0 => 0.8..1.2;
    /// Guards against an endpoint that gets no work because it says that it is slow.
    usual_endpoint_that_reports_the_slowest_pace_is_usual: 1000.0, 1.0 => 0.8..1.7;
    slow_endpoint_that_reports_it_is_slow: 2.5, 2.5 => 2.4..2.6;
}

/// Guards against calls that are never repeated elsewhere, or always.
#[test]
fn expected_duration_is_bounded() {
    assert_eq!(reported(1000.0).expected(at(0), CALL), 5.0);
    assert_eq!(reported(0.01).expected(at(0), CALL), 1.0);
}

/// Guards against an endpoint that delays the repetition of its calls by being slower
/// than it reports.
#[test]
fn expected_duration_does_not_grow_with_the_measured_one() {
    let mut pace = reported(1.0);

    for call in 0..10 {
        pace.record_report(at(call * 300), load(0, Some(1.0)), 1);
        pace.record_call(at(call * 300), 4.0, 1.0);
    }

    assert_eq!(pace.expected(at(3000), CALL), 1.0);
}

#[test]
fn waiting_calls_of_others_count_until_they_have_begun() {
    let mut pace = Pace::default();
    pace.record_report(at(0), load(2, None), 1);
    assert_eq!(pace.ratio(at(0), CALL), Some(3.0));
    assert_eq!(pace.ratio(at(300), CALL), Some(2.0));
    assert_eq!(pace.ratio(at(900), CALL), Some(1.0));
    assert!(pace.is_full(at(0)));
    assert!(!pace.is_full(at(900)));
}

/// Guards against an endpoint with one slot that is avoided after each of its answers,
/// since it counts the answered call as running.
#[test]
fn endpoint_without_waiting_calls_is_not_full() {
    assert!(!reported(1.0).is_full(at(0)));
}

#[test]
fn own_waiting_calls_are_not_those_of_others() {
    let mut pace = Pace::default();
    pace.record_report(at(0), load(2, None), 3);
    assert_eq!(pace.ratio(at(0), CALL), Some(1.0));
}

#[test]
fn implausible_numbers_of_waiting_calls_are_bounded() {
    let mut pace = Pace::default();
    pace.record_report(at(0), load(u32::MAX, None), 1);
    assert!(pace.ratio(at(0), CALL).unwrap() <= 9.0);
    assert_eq!(pace.ratio(at(10_000), CALL), Some(1.0));
}

/// Records the responses of twenty endpoints, four a second for each, of which the
/// first one has another ratio, and returns its responses.
fn observed(seconds: u64, ratio: impl Fn(u64) -> f64) -> Responses {
    let mut usual = Usual::default();
    let mut first = Responses::default();
    let respond = |ratio: f64| Duration::from_millis(80).mul_f64(ratio);

    for tick in 0..seconds * 4 {
        for _ in 1..20 {
            usual.record(respond(1.0));
        }

        let ratio = usual.record(respond(ratio(tick)));
        first.record(at(tick * 250), ratio);
    }

    first
}

#[test]
fn response_times_of_equal_endpoints_change_nothing() {
    let responses = observed(30, |tick| if tick % 2 == 0 { 0.9 } else { 1.1 });
    assert!((responses.ratio(at(29_750)) - 1.0).abs() < 0.15);
}

#[test]
fn two_slow_responses_tell_that_an_endpoint_is_slow_at_present() {
    let responses = observed(30, |tick| if tick >= 118 { 2.5 } else { 1.0 });
    let last = 119 * 250;
    assert!(responses.ratio(at(last)) > 1.8);
    assert!(responses.ratio(at(last + 1500)) < 1.2);
}

/// Guards against an endpoint that is slow for good and counts as usual after each
/// pause.
#[test]
fn slow_endpoint_is_known_for_seconds_and_not_for_good() {
    let responses = observed(30, |_| 1.6);
    let last = 119 * 250;
    assert!(responses.ratio(at(last + 3000)) > 1.4);
    assert!(responses.ratio(at(last + 60_000)) < 1.2);
}
