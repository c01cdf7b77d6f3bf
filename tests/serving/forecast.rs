//! The forecast over all stages of a request.

use {
    persimmoncleat::{
        protocol::serving_file::File,
        state::{
            clock::Time,
            id,
            serving::{
                batch::Order,
                forecast::{Backlogs, Forecast, Scope, Term},
            },
        },
    },
    std::time::Duration,
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn forecast<const N: usize>(calls: u64, backlogs: [Option<u64>; N]) -> Forecast {
    Forecast {
        calls: ms(calls),
        terms: backlogs
            .map(|backlog| Term {
                backlog: backlog.map(ms),
                service: "s".into(),
            })
            .into(),
    }
}

macro_rules! forecasts {
    ($($name:ident: $calls:expr, $backlogs:expr, left $left:expr => $retry_after:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let forecast = forecast($calls, $backlogs);
                let retry_after = forecast.retry_after(ms($left), 0.0);
                assert_eq!(retry_after, Option::<u64>::map($retry_after, ms));
            }
        )*
    };
}

forecasts! {
    // Work was done for requests whose later stages could not be done in time.
    backlogs_beyond_the_deadline_refuse: 900, [Some(3000), Some(1500)], left 5000 => Some(400);
    backlogs_within_the_deadline_do_not: 900, [Some(3000), Some(1100)], left 5000 => None;
    // Guards against refusals that rest on no figure.
    unknown_backlogs_refuse_nothing: 900, [None, None], left 500 => None;
    // Guards against refusals while nothing waits.
    idle_stages_refuse_nothing: 900, [Some(0), Some(0)], left 500 => None;
    no_later_stage_refuses_nothing: 900, [], left 500 => None;
}

/// Guards against refused callers that all return at the same time.
#[test]
fn retry_after_has_jitter_of_up_to_half() {
    let forecast = forecast(0, [Some(6000)]);
    assert_eq!(forecast.retry_after(ms(5000), 1.0), Some(ms(1500)));
    assert_eq!(forecast.retry_after(ms(5000), 0.5), Some(ms(1250)));
}

/// Guards against a backlog that is still used when the queue behind it has been done.
#[test]
fn backlog_decreases_with_its_age_until_it_is_old() {
    let service = id::Pool::from("s");
    let mut backlogs = Backlogs::default();
    assert_eq!(backlogs.get(at(0), &service, 0), None);
    backlogs.record(at(1000), &service, 0, ms(3000));
    assert_eq!(backlogs.get(at(1000), &service, 0), Some(ms(3000)));
    assert_eq!(backlogs.get(at(1400), &service, 0), Some(ms(2600)));
    assert_eq!(backlogs.get(at(2000), &service, 0), None);
}

/// Guards against urgent requests that are refused because less urgent ones wait.
#[test]
fn backlog_of_less_urgent_work_does_not_count() {
    let service = id::Pool::from("s");
    let mut backlogs = Backlogs::default();
    backlogs.record(at(0), &service, 2, ms(9000));
    assert_eq!(backlogs.get(at(0), &service, 0), None);
    backlogs.record(at(0), &service, 0, ms(100));
    assert_eq!(backlogs.get(at(0), &service, 0), Some(ms(100)));
    assert_eq!(backlogs.get(at(0), &service, 2), Some(ms(9000)));
}

/// Guards against backlogs of services that no longer exist being kept for ever.
#[test]
fn number_of_backlogs_is_bounded() {
    let mut backlogs = Backlogs::default();

    for number in 0..5000 {
        let service = id::Pool::from(format!("s{number}"));
        backlogs.record(at(number), &service, 0, ms(1));
        assert!(backlogs.get(at(number), &service, 0).is_some());
    }
}

fn settings(overload: &str) -> Result<File, Vec<String>> {
    let text = format!(
        "[host]\nid = h\ndomain = d\nfleet_key = k\ncaller_address = 127.0.0.1:1\n\
         directory_address = 127.0.0.1:2\npeer_address = 127.0.0.1:3\n\
         ready_address = 127.0.0.1:4\n\
         [store]\naddress = 127.0.0.1:5\nkind = hosts\nwait_ms = 1000\n\
         [limits]\nconnections = 10\ngrace_s = 5\nkeep_addresses_ms = 2000\n\
         [retries]\nratio = 0.2\nslack = 10\nwindow_s = 10\n{overload}"
    );
    let faults = |faults: Vec<_>| faults.iter().map(ToString::to_string).collect();
    File::parse(&text).map_err(faults)
}

/// Guards against deployments that change when they do not set the keys.
#[test]
fn keys_that_are_missing_change_nothing() {
    let file = settings("").unwrap();
    assert_eq!((file.order, file.forecast), (Order::Urgency, Scope::Stage));
}

#[test]
fn keys_turn_the_order_and_the_forecast_on() {
    let file = settings("[overload]\norder = value\nforecast = chain\n").unwrap();
    assert_eq!((file.order, file.forecast), (Order::Value, Scope::Chain));
}

#[test]
fn unknown_values_of_the_keys_are_faults() {
    let faults = settings("[overload]\norder = best\nforecast = all\n").unwrap_err();
    assert_eq!(faults.len(), 2, "{faults:?}");
    assert!(faults.iter().any(|fault| fault.contains("chain or stage")));
    assert!(
        faults
            .iter()
            .any(|fault| fault.contains("value or urgency"))
    );
}
