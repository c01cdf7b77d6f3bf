//! Measures the time that the product's scheduler takes per event.

use {
    persimmoncleat::state::{
        action::Action,
        attempt::{End, Report},
        class::Class,
        clock::Time,
        endpoint::{Endpoint, Phase},
        event::Event,
        id,
        pipeline::Stage,
        policy::{Policy, Team},
        pool::{Kind, Pool},
        request::Request,
        scheduler::Scheduler,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Number of requests of a measurement.
const REQUESTS: u64 = 6000;
/// Number of requests in progress in the measurement with a queue.
const BACKLOG: usize = 2000;

/// Returns the microseconds per event for requests that are served at once, and
/// for requests behind a queue.
pub fn measure(endpoints: usize, teams: usize) -> (f64, f64) {
    (drive(endpoints, teams, 0), drive(endpoints, teams, BACKLOG))
}

fn drive(endpoints: usize, teams: usize, backlog: usize) -> f64 {
    let mut scheduler = scheduler(endpoints, teams, backlog > 0);
    let mut actions = Vec::new();
    let mut running = VecDeque::new();
    let mut events = 0u64;
    let started = Instant::now();
    let depth = backlog.max(endpoints.min(64));

    for number in 0..REQUESTS {
        let now = Time::from_micros(1_000_000 + number * 100);
        let request = request(number, teams, now);
        let id = request.request.clone();
        scheduler.handle(now, Event::Arrived(request), &mut actions);
        scheduler.handle(
            now,
            Event::Ready {
                request: id,
                stage: 0,
            },
            &mut actions,
        );
        events += 2;
        record_dispatches(&mut actions, &mut running);

        if number as usize > depth
            && let Some((attempt, request)) = running.pop_front()
        {
            let report = Report {
                elapsed: Duration::from_millis(20),
                end: End::Done { tokens: 1 },
            };
            scheduler.handle(now, Event::Finished { attempt, report }, &mut actions);
            scheduler.handle(now, Event::Ended { request }, &mut actions);
            events += 2;
            record_dispatches(&mut actions, &mut running);
        }

        if number % 200 == 0 {
            scheduler.handle(now, Event::Tick, &mut actions);
            events += 1;
            record_dispatches(&mut actions, &mut running);
        }
    }

    started.elapsed().as_secs_f64() * 1e6 / events as f64
}

fn record_dispatches(
    actions: &mut Vec<Action>,
    running: &mut VecDeque<(id::Attempt, id::Request)>,
) {
    for action in actions.drain(..) {
        if let Action::Dispatched {
            attempt, request, ..
        } = action
        {
            running.push_back((attempt, request));
        }
    }
}

fn request(number: u64, teams: usize, now: Time) -> Request {
    Request {
        arrived: now,
        class: if number.is_multiple_of(3) {
            "volume"
        } else {
            "urgent"
        }
        .into(),
        deadline: now + Duration::from_secs(8),
        max_tokens: 100,
        pipeline: "p".into(),
        prefix: Some(number % 97),
        repeatable: true,
        request: format!("h.1.{number}").into(),
        stages: vec![Stage {
            name: "generate".into(),
            pool: "generate".into(),
        }],
        team: format!("team-{}", number as usize * 7919 % teams).into(),
    }
}

fn scheduler(endpoints: usize, teams: usize, full: bool) -> Scheduler {
    let mut scheduler = Scheduler::new("d0".into(), 1);
    let mut actions = Vec::new();
    let pool = Pool {
        concurrency_limit: if full { 1 } else { 8 },
        kind: Kind::Engine,
        ..Pool::default()
    };
    let policy = Policy {
        pools: BTreeMap::from([("generate".into(), pool)]),
        teams: (0..teams)
            .map(|team| {
                let volume = Class {
                    priority: 1,
                    share: 20,
                    ..Class::default()
                };
                let team_settings = Team {
                    classes: BTreeMap::from([("volume".into(), volume)]),
                    ..Team::default()
                };
                (format!("team-{team}").into(), team_settings)
            })
            .collect(),
        ..Policy::default()
    };
    let list = (0..endpoints)
        .map(|index| Endpoint {
            address: SocketAddr::from(([127, 0, 0, 1], 9000)),
            domain: format!("d{}", index % 17).into(),
            endpoint: format!("generate-{index}").into(),
            phase: Phase::Live,
            pool: "generate".into(),
        })
        .collect();
    scheduler.handle(Time::ZERO, Event::Policy(Arc::new(policy)), &mut actions);
    scheduler.handle(Time::ZERO, Event::Endpoints(list), &mut actions);
    scheduler
}
