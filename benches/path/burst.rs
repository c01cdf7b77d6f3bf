//! Measures bursts of new connections.

use {
    crate::{
        caller::{Caller, Outcome, body},
        deployment,
        sample::Sample,
    },
    stand_ins::fleet::Fleet,
    std::{collections::BTreeMap, net::SocketAddr, sync::Barrier, thread, time::Duration},
};

/// Number of connections of one burst.
const CONNECTIONS: usize = 500;
/// Number of bursts of each kind.
const BURSTS: usize = 4;

/// Pause after a burst, in which the threads that served it end.
const BURST_INTERVAL: Duration = Duration::from_millis(500);

/// The results of all bursts of one kind.
#[derive(Default)]
struct Tally {
    answers: Sample,
    broken: usize,
    refused: usize,
}

/// Alternates between bursts to one host and bursts to the hosts that the list
/// of entry points ranks first.
pub fn run() {
    println!("\n## 5. Burst of {CONNECTIONS} new connections\n");
    println!(
        "| connections go to | bursts | median ms | p99 ms | max ms | refused | broken | most connections to one host |"
    );
    println!("|---|--:|--:|--:|--:|--:|--:|--:|");
    let fleet = deployment::start(3);
    let (mut one, mut spread) = (Tally::default(), Tally::default());
    let mut max_per_host = 0;

    for host in &fleet.hosts {
        deployment::warm_up(&Caller::new(host.caller_address()), "fast");
    }

    for _ in 0..BURSTS {
        let first = fleet.host_named("h1").caller_address();
        burst(&vec![first; CONNECTIONS], &mut one);
        let listed = entrypoints(&fleet);
        max_per_host = max_per_host.max(max_connections_per_host(&listed));
        burst(&listed, &mut spread);
    }

    print("one host", &one, CONNECTIONS);
    print("three hosts", &spread, max_per_host);
}

fn entrypoints(fleet: &Fleet) -> Vec<SocketAddr> {
    let caller = Caller::new(fleet.host_named("h1").caller_address());
    (0..CONNECTIONS)
        .map(|number| caller.entrypoint(number))
        .collect()
}

fn max_connections_per_host(addresses: &[SocketAddr]) -> usize {
    let mut counts = BTreeMap::new();

    for address in addresses {
        *counts.entry(address).or_insert(0) += 1;
    }

    counts.into_values().max().unwrap_or(0)
}

fn burst(addresses: &[SocketAddr], tally: &mut Tally) {
    let body = body();
    let start = Barrier::new(addresses.len());
    let ends: Vec<(Outcome, Sample)> = thread::scope(|scope| {
        let callers: Vec<_> = addresses
            .iter()
            .map(|address| {
                scope.spawn(|| {
                    let caller = Caller::new(*address);
                    let mut sample = Sample::default();
                    start.wait();
                    let outcome = sample.time(|| caller.post("fast", &body));
                    (outcome, sample)
                })
            })
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().expect("callers do not panic"))
            .collect()
    });

    for (outcome, sample) in ends {
        match outcome {
            Outcome::Answered => tally.answers.extend(sample),
            Outcome::Broken => tally.broken += 1,
            Outcome::Refused => tally.refused += 1,
        }
    }

    thread::sleep(BURST_INTERVAL);
}

fn print(target: &str, tally: &Tally, max_per_host: usize) {
    println!(
        "| {target} | {BURSTS} | {:.1} | {:.1} | {:.1} | {} | {} | {max_per_host} |",
        tally.answers.median(),
        tally.answers.p99(),
        tally.answers.max(),
        tally.refused,
        tally.broken,
    );
}
