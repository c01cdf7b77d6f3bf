//! A planned stop must answer every request before the process ends, and refuse
//! those that no endpoint can finish while their callers can still go elsewhere.

use {
    persimmoncleat::state::serving::stop::{Next, Step, Stop},
    std::time::Duration,
};

const GRACE: Duration = Duration::from_secs(8);

const fn at(millis: u64) -> Stop {
    Stop::new(Duration::from_millis(millis), GRACE)
}

const fn wait(millis: u64) -> Step {
    Step::Wait(Duration::from_millis(millis))
}

macro_rules! moments {
    ($($name:ident: $actual:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!($actual, $expected);
            }
        )*
    };
}

moments! {
    host_without_work_waits_for_callers_that_know_its_address: at(2499).next(0) => Next::Wait;
    host_without_work_closes_its_connections: at(2500).next(0) => Next::Close;
    host_with_work_waits: at(7699).next(1) => Next::Wait;
    host_with_work_ends_before_it_is_killed: at(7700).next(1) => Next::End;
    request_without_an_endpoint_waits_for_the_last_start: at(1000).step(false) => wait(4700);
    request_without_an_endpoint_is_refused_if_it_could_not_end: at(5700).step(false)
        => Step::Answer;
    request_at_an_endpoint_is_left_there: at(5700).step(true) => wait(50);
    request_at_an_endpoint_is_answered_before_the_end: at(7500).step(true) => Step::Answer;
    first_requests_are_accepted_even_if_they_may_last_too_long:
        at(2400).accepts(Duration::from_secs(8)) => true;
    later_requests_that_may_last_too_long_are_not_accepted:
        at(2500).accepts(Duration::from_secs(8)) => false;
    later_requests_that_end_in_time_are_accepted: at(2500).accepts(Duration::from_secs(5))
        => true;
    host_accepts_requests_until_a_stream_could_not_end: (at(3500).is_open(), at(3501).is_open())
        => (true, false);
    short_grace_period_leaves_time_for_waiting_requests:
        Stop::new(Duration::ZERO, Duration::from_secs(2)).step(false) => wait(1200);
    stop_without_a_grace_period_answers_at_once: Stop::new(Duration::ZERO, Duration::ZERO).step(true)
        => Step::Answer;
}
