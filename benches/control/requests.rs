//! Measures the cost of requests in the scheduler.

use {
    crate::meter::{measure_cpu, micros_per},
    persimmoncleat::state::{
        action::Action,
        attempt::{End, Report},
        clock::Time,
        endpoint::{Endpoint, Phase},
        event::Event,
        id,
        pipeline::Stage,
        policy::{Policy, Team},
        request::Request,
        scheduler::Scheduler,
    },
    std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration},
};

const STAGES: usize = 5;
/// Length of the measurement in virtual time.
const SECONDS: u64 = 20;
/// Service time of one stage.
const SERVICE_MS: u64 = 400;

/// Runs `rate` requests per second and returns the number of answered ones.
fn run(scheduler: &mut Scheduler, rate: u64) -> u64 {
    let mut running: VecDeque<(u64, id::Attempt, id::Request, usize)> = VecDeque::new();
    let mut actions = Vec::new();
    let mut answered = 0;
    let mut arrived = 0;

    for millis in (0..SECONDS * 1000).step_by(10) {
        let now = Time::from_millis(1000 + millis);

        while arrived * 1000 / rate <= millis {
            arrived += 1;
            scheduler.handle(now, Event::Arrived(request(arrived, now)), &mut actions);
        }

        while running.front().is_some_and(|(due, ..)| *due <= millis) {
            let Some((_, attempt, request, stage)) = running.pop_front() else {
                break;
            };
            let report = Report {
                elapsed: Duration::from_millis(SERVICE_MS),
                end: End::Done { tokens: 80 },
            };
            scheduler.handle(now, Event::Finished { attempt, report }, &mut actions);

            let event = if stage + 1 == STAGES {
                answered += 1;
                Event::Ended { request }
            } else {
                Event::Ready {
                    request,
                    stage: stage + 1,
                }
            };
            scheduler.handle(now, event, &mut actions);
        }

        while let Some(action) = actions.pop() {
            match action {
                Action::Admitted { request } => {
                    let event = Event::Ready { request, stage: 0 };
                    scheduler.handle(now, event, &mut actions);
                }
                Action::Dispatched {
                    attempt,
                    request,
                    stage,
                    ..
                } => running.push_back((millis + SERVICE_MS, attempt, request, stage)),
                _ => {}
            }
        }
    }

    answered
}

fn request(number: u64, now: Time) -> Request {
    Request {
        arrived: now,
        class: "urgent".into(),
        deadline: now + Duration::from_secs(8),
        max_tokens: 80,
        pipeline: "almanac".into(),
        prefix: Some(number % 50),
        repeatable: true,
        request: format!("h1.1.{number}").into(),
        stages: (0..STAGES)
            .map(|stage| Stage {
                name: format!("stage-{stage}").into(),
                pool: format!("pool-{stage}").into(),
            })
            .collect(),
        team: format!("team-{}", number % 100).into(),
    }
}

fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::new("region0-0".into(), 1);
    let policy = Policy {
        teams: (0..100)
            .map(|team| (format!("team-{team}").into(), Team::default()))
            .collect(),
        version: 1,
        ..Policy::default()
    };
    let endpoints = (0..STAGES * 64)
        .map(|index| Endpoint {
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            domain: "region0-0".into(),
            endpoint: format!("endpoint-{index}").into(),
            phase: Phase::Live,
            pool: format!("pool-{}", index % STAGES).into(),
        })
        .collect();
    let mut actions = Vec::new();
    scheduler.handle(Time::ZERO, Event::Policy(Arc::new(policy)), &mut actions);
    scheduler.handle(Time::ZERO, Event::Endpoints(endpoints), &mut actions);
    scheduler
}

/// Prints the cost of requests at several rates per second.
pub fn print(rates: &[u64]) {
    println!("requests of {STAGES} stages, per host");
    println!(
        "{:>10} {:>10} {:>10} {:>12}",
        "requests/s", "answered", "us/s", "us/request"
    );

    for rate in rates {
        let mut scheduler = scheduler();
        let (answered, time) = measure_cpu(|| run(&mut scheduler, *rate));
        let seconds = Duration::from_secs(SECONDS).as_secs_f64();
        let requests = Duration::from_secs(SECONDS * rate).as_secs_f64();

        println!(
            "{rate:>10} {answered:>10} {:>10.0} {:>12.1}",
            micros_per(time, seconds),
            micros_per(time, requests)
        );
    }

    println!();
}
