//! Measures the upkeep of endpoints: lists, load reports and ticks.

use {
    crate::meter::{measure_bytes, measure_cpu, micros_per, to_f64},
    persimmoncleat::state::{
        clock::Time,
        endpoint::{Endpoint, LoadReport, Phase},
        event::Event,
        scheduler::Scheduler,
    },
    std::{net::SocketAddr, time::Duration},
};

const POOLS: usize = 14;
/// Length of the measurement in virtual time.
const SECONDS: u64 = 5;
/// Number of ticks per second.
const TICKS: u64 = 50;
/// Number of endpoint lists, and of load reports of each endpoint, per second.
const REPORTS: u64 = 2;

fn endpoints(count: usize) -> Vec<Endpoint> {
    (0..count)
        .map(|index| Endpoint {
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            domain: format!("region{}-{}", index % 5, index % 17).into(),
            endpoint: format!("endpoint-{index:05}").into(),
            phase: Phase::Live,
            pool: format!("pool-{}", index % POOLS).into(),
        })
        .collect()
}

/// Passes the events of one second to the scheduler.
fn run_second(scheduler: &mut Scheduler, number: u64, list: &[Endpoint]) {
    let mut actions = Vec::new();

    for tick in 0..TICKS {
        let now = Time::from_millis(number * 1000 + tick * 20);

        if tick % (TICKS / REPORTS) == 0 {
            scheduler.handle(now, Event::Endpoints(list.to_vec()), &mut actions);

            for endpoint in list {
                let event = Event::Load {
                    endpoint: endpoint.endpoint.clone(),
                    load: LoadReport {
                        age: Duration::from_millis(500),
                        capacity: 16,
                        queued: 1,
                        running: 9,
                    },
                };
                scheduler.handle(now, event, &mut actions);
            }
        }

        scheduler.handle(now, Event::Tick, &mut actions);
        actions.clear();
    }
}

/// Prints the cost of the upkeep for several numbers of endpoints.
pub fn print(sizes: &[usize]) {
    println!(
        "endpoints in use, per host ({REPORTS} lists and load reports, {TICKS} ticks a second)"
    );
    println!("{:>9} {:>10} {:>10}", "endpoints", "us/s", "KB");

    for count in sizes {
        let list = endpoints(*count);
        let (mut scheduler, bytes) = measure_bytes(|| {
            let mut scheduler = Scheduler::new("region0-0".into(), 1);
            run_second(&mut scheduler, 0, &list);
            scheduler
        });
        let ((), time) = measure_cpu(|| {
            for number in 1..=SECONDS {
                run_second(&mut scheduler, number, &list);
            }
        });
        let seconds = Duration::from_secs(SECONDS).as_secs_f64();

        println!(
            "{count:>9} {:>10.0} {:>10}",
            micros_per(time, seconds),
            bytes / 1000
        );
    }

    println!("at {:.0} pools", to_f64(POOLS));
    println!();
}
