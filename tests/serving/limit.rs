//! All hosts together must keep to the rate that an endpoint names, although none of
//! them knows what the others send, and must use most of it.

use {
    persimmoncleat::state::{
        clock::Time,
        serving::{
            health::{Health, Notice},
            limit::Limit,
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{collections::VecDeque, time::Duration},
};

const START: Time = Time::from_millis(100_000);

/// Span over which the requests of an endpoint are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which hosts have requests.
const DURATION: Duration = Duration::from_secs(120);

/// Time for which hosts have no requests.
const PAUSE: Duration = Duration::from_secs(60);

/// When each host has requests for the endpoint.
#[derive(Clone, Copy)]
enum Demand {
    /// All the time.
    Always,
    /// All hosts at once, after a pause.
    AfterPause,
}

struct Load {
    demand: Demand,
    hosts: usize,
    rate: f64,
}

impl Load {
    /// Returns the times at which the endpoint receives requests in two minutes.
    fn requests(&self, seed: u64) -> Vec<Time> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let start = match self.demand {
            Demand::Always => START,
            Demand::AfterPause => START + PAUSE,
        };

        for _ in 0..self.hosts {
            let mut limit = Limit::new(START, self.rate, self.hosts, random.random());
            let mut now = start;

            while now < START + DURATION {
                now = now.max(limit.next(now));
                assert!(limit.allows(now));
                limit.record_request(now);
                limit.renew(now, self.rate, self.hosts);
                requests.push(now);
            }
        }

        requests.sort_unstable();
        requests
    }
}

/// Returns the highest number of requests within a window.
fn most(requests: &[Time]) -> usize {
    let mut recent = VecDeque::new();
    let mut most = 0;

    for request in requests {
        recent.push_back(*request);

        while request.since(recent[0]) > WINDOW {
            recent.pop_front();
        }

        most = most.max(recent.len());
    }

    most
}

macro_rules! loads {
    ($($(#[$doc:meta])* $name:ident: $load:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let load = $load;
                let allowed = (load.rate * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize;

                for seed in 0..100 {
                    let requests = load.requests(seed);
                    assert!(most(&requests) <= allowed, "seed {seed}: {}", most(&requests));

                    if matches!(load.demand, Demand::Always) {
                        let taken = requests.len() as f64 / DURATION.as_secs_f64();
                        assert!(taken >= load.rate * 0.5, "seed {seed}: {taken} a second");
                    }
                }
            }
        )*
    };
}

loads! {
    one_host_keeps_to_a_limit: Load { demand: Demand::Always, hosts: 1, rate: 2.0 };
    eight_hosts_keep_to_a_limit: Load { demand: Demand::Always, hosts: 8, rate: 1.0 };
    eight_hosts_keep_to_a_high_limit: Load { demand: Demand::Always, hosts: 8, rate: 60.0 };
    /// Guards against a limit that most hosts of a large fleet use at about the same
    /// time, since the share of each is one request a minute.
    many_hosts_keep_to_a_limit: Load { demand: Demand::Always, hosts: 91, rate: 1.5 };
    many_hosts_keep_to_a_high_limit: Load { demand: Demand::Always, hosts: 295, rate: 40.0 };
    twelve_hosts_keep_to_a_limit: Load { demand: Demand::Always, hosts: 12, rate: 1.6 };
    thirteen_hosts_keep_to_a_limit: Load { demand: Demand::Always, hosts: 13, rate: 1.6 };
    /// Guards against hosts that save their shares while an endpoint is not used.
    eight_hosts_save_no_share: Load { demand: Demand::AfterPause, hosts: 8, rate: 1.0 };
    /// Guards against the same in a large fleet.
    many_hosts_save_no_share: Load { demand: Demand::AfterPause, hosts: 91, rate: 2.0 };
}

/// Guards against an endpoint that takes nothing for a moment and is never asked
/// again.
#[test]
fn endpoint_with_a_limit_of_zero_is_asked_now_and_then() {
    let load = Load {
        demand: Demand::Always,
        hosts: 8,
        rate: 0.0,
    };
    let requests = load.requests(1);
    assert!(!requests.is_empty());
    assert!(most(&requests) <= 5, "{}", most(&requests));
}

/// Guards against a rate that overflows a time.
#[test]
fn any_rate_is_accepted() {
    for rate in [0.0, f64::MIN_POSITIVE, 1e-300, 1e300, f64::MAX] {
        let mut limit = Limit::new(START, rate, 295, 0.5);
        limit.record_request(START);
        limit.renew(START + WINDOW, 1.0, 1);
        limit.renew(START + WINDOW, rate, 0);
        assert_eq!(limit.rate(), rate);
        limit.next(START + WINDOW);
    }
}

/// Guards against a limit that is lifted by the answer to a request that was sent
/// before the limit was named, and against one that is never lifted.
#[test]
fn limit_ends_with_the_answer_to_a_later_request() {
    let notice = |rate, sent| Notice {
        hosts: 1,
        rate,
        sent,
    };
    let second = Duration::from_secs(1);
    let mut health = Health::default();
    assert!(health.record_notice(START + second, notice(Some(1.0), START)));
    assert!(!health.record_notice(START + second * 2, notice(None, START)));
    assert!(health.max_rate().is_some());
    assert!(health.record_notice(START + second * 3, notice(None, START + second * 2)));
    assert!(health.max_rate().is_none());
    assert!(!health.is_deferred(START + second * 3));
}
