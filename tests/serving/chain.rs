//! How long the stages of a request may wait.

use {
    persimmoncleat::state::{
        id,
        serving::{
            chain,
            config::{Config, Limits, Pool, Service},
        },
    },
    std::time::Duration,
};

const GOAL: Duration = Duration::from_millis(1500);

fn pool(batch: usize, item_micros: u64) -> Service {
    Service {
        cold: None,
        engine: None,
        max_connections: 100,
        pool: Some(Pool {
            batch,
            call: Duration::from_millis(150),
            item: Duration::from_micros(item_micros),
            queue: 2,
            retention: Duration::from_secs(4),
            storage_bytes: 36_000_000,
            slots: 1,
        }),
    }
}

fn config() -> Config {
    let services = [
        ("first", pool(8, 16_000)),
        ("second", pool(18, 7100)),
        ("third", pool(36, 3600)),
    ];
    let services = services.map(|(name, service)| (id::Pool::from(name), service));
    let limits = Limits {
        body_bytes: 1024,
        header_bytes: 1024,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    Config::new(1, Vec::new(), services.into(), None, limits)
}

macro_rules! latest_starts {
    ($($name:ident: $path:expr, $goal:expr => $latest:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let path = $path.map(|(service, pieces)| (id::Pool::from(service), pieces));
                let latest = chain::latest_start(&config(), &path, $goal);
                assert_eq!(latest.as_micros() / 100, $latest);
            }
        )*
    };
}

latest_starts! {
    // With the time of full calls, a request with three stages counted as late
    // on arrival: it never waited for its own domain, and was served last.
    chain_of_small_jobs_has_time_to_wait:
        [("first", 1), ("second", 8), ("third", 16)], GOAL => 1746;
    large_job_takes_several_calls: [("first", 10)], GOAL => 7250;
    stage_of_an_unknown_service_takes_no_time: [("other", 3)], GOAL => 11_850;
    chain_without_time_starts_at_once:
        [("first", 1), ("second", 8), ("third", 16)], Duration::from_secs(1) => 0;
}

/// Guards against a first stage that ends in time, but too late for the stages
/// after it: the request would take their places in vain.
#[test]
fn first_stage_has_to_end_before_the_later_ones_need_to_start() {
    let path = [("first", 1), ("second", 8), ("third", 16)];
    let path = path.map(|(service, pieces)| (id::Pool::from(service), pieces));
    let end = chain::latest_end(&config(), &path, Duration::from_secs(4));
    assert_eq!(end, Duration::from_micros(3_255_600));
}

/// Guards against first stages that start so late that the queues of later stages make
/// the request miss its goal. A short backlog is within the time reserved for it.
#[test]
fn backlog_of_a_later_stage_counts_where_it_is_longer() {
    let path = [("first", 1), ("second", 8), ("third", 16)];
    let path = path.map(|(service, pieces)| (id::Pool::from(service), pieces));
    let config = config();
    let latest = |backlog: u64| {
        chain::latest_start_with(&config, &path, GOAL * 2, |service| {
            let applies = ["first", "second"].contains(&service.as_str());
            Duration::from_millis(if applies { backlog } else { 0 })
        })
    };
    let usual = chain::latest_start(&config, &path, GOAL * 2);
    assert_eq!(latest(150), usual);
    assert_eq!(latest(700), usual - Duration::from_millis(500));
}
