//! Tests of the scheduler's components for rules that its oracle cannot check.

use {
    persimmoncleat::state::{
        action::Action,
        affinity,
        class::Class,
        clock::Time,
        ejection::Ejection,
        endpoint::{CacheEvent, CacheEventKind, Endpoint, Phase},
        event::{Demand, Event},
        fair_queue::{FairQueue, Flow, Item},
        fleet::hints::Hints,
        limit::{Decision, Limits},
        pipeline::Stage,
        request::Request,
        scheduler::Scheduler,
        tuning::Tuning,
    },
    std::time::Duration,
};

macro_rules! cases {
  ($($name:ident: $test:expr,)*) => {
    $(
      #[test]
      fn $name() {
        $test();
      }
    )*
  };
}

cases! {
    // A stalled first call in a pool without latency samples must not use up
    // the whole deadline.
    cold_stall_is_hedged: cold_stall,
    // The removal of an endpoint must not move the prefixes of the others.
    affinity_moves_only_prefixes_of_the_removed_endpoint: affinity_is_stable,
    // The ejection time of an endpoint that keeps failing must double up to its
    // maximum.
    ejections_double: ejections,
    // A gap in the cache events must drop the endpoint's hints, which may be
    // stale.
    gap_drops_hints: gap,
    // An idle host must be able to start a request while its peers use the
    // whole limit.
    limit_allows_one_request_on_an_idle_host: idle_host,
    // A host without peers must be able to use the whole limit, and no more.
    limit_is_used_in_full_without_peers: no_peers,
    // Requests of higher priority must not starve a class with a share.
    share_is_served_beside_higher_priority: share,
    // A large team must not starve a small one.
    teams_are_served_by_weight: weights,
}

fn affinity_is_stable() {
    let hashes: Vec<u64> = (0..20)
        .map(|index| affinity::hash(&format!("e{index}")))
        .collect();

    for prefix in 0..200 {
        let before = affinity::ranked(prefix, &hashes, 1)[0];
        let after = affinity::ranked(prefix, &hashes[..19], 1)[0];
        assert!(before == after || before == 19, "prefix {prefix}");
    }
}

fn cold_stall() {
    let mut scheduler = Scheduler::new("is-1".into(), 1);
    let mut actions = Vec::new();
    let endpoints = ["e1", "e2"].map(|endpoint| Endpoint {
        address: "127.0.0.1:9".parse().expect("the address is valid"),
        domain: "is-1".into(),
        endpoint: endpoint.into(),
        phase: Phase::Live,
        pool: "encode".into(),
    });
    let request = Request {
        arrived: Time::ZERO,
        class: "urgent".into(),
        deadline: Time::from_millis(8000),
        max_tokens: 0,
        pipeline: "note".into(),
        prefix: None,
        repeatable: true,
        request: "h1.1.1".into(),
        stages: vec![Stage {
            name: "encode".into(),
            pool: "encode".into(),
        }],
        team: "hvarfdal".into(),
    };
    let ready = Event::Ready {
        request: request.request.clone(),
        stage: 0,
    };

    for event in [
        Event::Endpoints(endpoints.to_vec()),
        Event::Arrived(request),
        ready,
    ] {
        scheduler.handle(Time::ZERO, event, &mut actions);
    }

    // Half of the time to the deadline must remain for the second call.
    scheduler.handle(Time::from_millis(4000), Event::Tick, &mut actions);
    let sent: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Dispatched {
                endpoint, hedge, ..
            } => Some((endpoint, *hedge)),
            _ => None,
        })
        .collect();
    assert_eq!(sent.len(), 2, "{actions:?}");
    assert!(sent[1].1 && sent[0].0 != sent[1].0, "{actions:?}");
}

fn ejections() {
    let tuning = Tuning::default();
    let mut ejection = Ejection::default();
    assert!(!ejection.record_failure(&tuning) && !ejection.record_failure(&tuning));
    assert!(ejection.record_failure(&tuning));

    for seconds in [5, 10, 20, 40, 60, 60] {
        ejection.eject(Time::ZERO, &tuning);
        assert!(ejection.is_ejected(Time::from_millis(seconds * 1000 - 1)));
        assert!(!ejection.is_ejected(Time::from_millis(seconds * 1000)));
    }
}

fn gap() {
    let mut hints = Hints::default();
    let stored = |prefix, sequence| CacheEvent {
        change: CacheEventKind::Stored,
        prefix,
        sequence,
    };
    hints.apply(3, stored(1, 1), 64);
    hints.apply(3, stored(2, 2), 64);
    assert_eq!(hints.holders(1), [3]);
    hints.apply(3, stored(5, 4), 64);
    assert!(hints.holders(1).is_empty() && hints.holders(2).is_empty());
    assert_eq!(hints.holders(5), [3]);
}

fn admitted(limits: &mut Limits, concurrency: u32) -> u32 {
    let settings = Class {
        concurrency,
        ..Class::default()
    };
    let (team, class) = ("t".into(), "c".into());
    let mut count = 0;

    while limits.admit(&team, &class, &settings, None) == Decision::Allowed {
        limits.begin(Time::ZERO, &team, &class);
        count += 1;
    }

    count
}

fn idle_host() {
    let mut limits = Limits::default();
    limits.report(vec![Demand::from([("t".into(), 1000)])]);
    assert_eq!(admitted(&mut limits, 10), 1);
}

fn no_peers() {
    assert_eq!(admitted(&mut Limits::default(), 10), 10);
}

/// Pushes 100 items of a class and team, each with a cost of 100 ms.
fn push(queue: &mut FairQueue, class: &str, team: &str, priority: u8, share: u8, weight: u32) {
    let flow = Flow {
        class: class.into(),
        priority,
        share,
        team: team.into(),
        weight,
    };

    for number in 0..100 {
        let item = Item {
            cost: Duration::from_millis(100),
            enqueued: Time::ZERO,
            request: format!("{class}.{team}.{number}").into(),
            stage: 0,
        };
        queue.push(&flow, (Time::ZERO, number), item);
    }
}

fn served(queue: &mut FairQueue, prefix: &str) -> usize {
    let taken = (0..100).filter_map(|_| queue.pop());
    taken
        .filter(|item| item.request.as_str().starts_with(prefix))
        .count()
}

fn share() {
    let mut queue = FairQueue::default();
    push(&mut queue, "urgent", "a", 9, 0, 100);
    push(&mut queue, "volume", "a", 1, 20, 100);
    let count = served(&mut queue, "volume");
    assert!((18..=22).contains(&count), "{count} of 100");
}

fn weights() {
    let mut queue = FairQueue::default();
    push(&mut queue, "c", "large", 5, 0, 300);
    push(&mut queue, "c", "small", 5, 0, 100);
    let count = served(&mut queue, "c.small");
    assert!((24..=26).contains(&count), "{count} of 100");
}
