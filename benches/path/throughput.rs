//! Measures the requests per second that one host serves.

use {
    crate::{
        caller::{Caller, Outcome, body},
        deployment,
        process::Usage,
        sample::Sample,
    },
    std::{
        net::SocketAddr,
        process, thread,
        time::{Duration, Instant},
    },
};

const CALLERS: [usize; 4] = [1, 16, 64, 128];
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(3);

/// The results of one or more callers.
#[derive(Default)]
struct Tally {
    answered: Sample,
    broken: usize,
    refused: usize,
}

/// Measures increasing numbers of callers. Each sends its next request once it
/// has the answer to the previous one.
pub fn run() {
    println!("\n## 2. Requests a second of one host\n");
    println!(
        "| callers | answered/s | median ms | p99 ms | refused | broken | daemon processor ms per request | daemon cores | bench and stand-ins cores | daemon threads |"
    );
    println!("|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
    let fleet = deployment::start(1);
    let host = fleet.host_named("h1");
    deployment::warm_up(&Caller::new(host.caller_address()), "fast");

    for callers in CALLERS {
        measure(host.caller_address(), host.pid(), callers);
    }
}

fn measure(address: SocketAddr, daemon: u32, callers: usize) {
    let (before, own_before) = (Usage::of(daemon), Usage::of(process::id()));
    let started = Instant::now();
    let end = started + MEASUREMENT_PERIOD;
    let (tally, threads) = thread::scope(|scope| {
        let callers: Vec<_> = (0..callers)
            .map(|_| scope.spawn(move || post_until(address, end)))
            .collect();
        thread::sleep(MEASUREMENT_PERIOD / 2);
        let threads = Usage::of(daemon).threads;
        let mut sum = Tally::default();

        for caller in callers {
            let tally = caller.join().expect("callers do not panic");
            sum.answered.extend(tally.answered);
            sum.broken += tally.broken;
            sum.refused += tally.refused;
        }

        (sum, threads)
    });
    let elapsed = started.elapsed().as_secs_f64();
    let spent = |since: Usage, process| {
        let spent = Usage::of(process).processor - since.processor;
        spent.as_secs_f64()
    };
    let (daemon, own) = (spent(before, daemon), spent(own_before, process::id()));
    let answered = tally.answered.len() as f64;
    let sent = answered + (tally.refused + tally.broken) as f64;

    println!(
        "| {callers} | {:.0} | {:.2} | {:.2} | {:.2}% | {} | {:.3} | {:.2} | {:.2} | {threads} |",
        answered / elapsed,
        tally.answered.median(),
        tally.answered.p99(),
        100.0 * tally.refused as f64 / sent,
        tally.broken,
        1e3 * daemon / sent,
        daemon / elapsed,
        own / elapsed,
    );
}

fn post_until(address: SocketAddr, end: Instant) -> Tally {
    let caller = Caller::new(address);
    let body = body();
    let mut tally = Tally::default();

    while Instant::now() < end {
        let mut sample = Sample::default();

        match sample.time(|| caller.post("fast", &body)) {
            Outcome::Answered => tally.answered.extend(sample),
            Outcome::Broken => tally.broken += 1,
            Outcome::Refused => tally.refused += 1,
        }
    }

    tally
}
