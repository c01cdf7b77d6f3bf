//! Measures the latency that a host adds to calls.

use {
    crate::{
        caller::{Caller, Outcome, body},
        deployment,
        sample::Sample,
    },
    stand_ins::fleet::{ALMANAC, Fleet},
};

const ONE_STAGE_CALLS: usize = 300;
const FIVE_STAGE_CALLS: usize = 80;

/// Compares calls through one host with direct calls. The two alternate, so that
/// the load of the machine affects both equally.
pub fn run() {
    println!("\n## 1. Latency that a host adds\n");
    println!(
        "| stages | calls | direct median ms | direct p99 ms | through a host median ms | through a host p99 ms | ratio of medians | ratio of p99 | added median ms | added p99 ms |"
    );
    println!("|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
    let fleet = deployment::start(1);
    compare(&fleet, "fast", &["encode"], ONE_STAGE_CALLS);
    compare(&fleet, "almanac", &ALMANAC, FIVE_STAGE_CALLS);
}

fn compare(fleet: &Fleet, pipeline: &str, stages: &[&str], calls: usize) {
    let host = Caller::new(fleet.host_named("h1").caller_address());
    let endpoints: Vec<(&str, Caller)> = stages
        .iter()
        .map(|stage| {
            let endpoint = &fleet.endpoints[&format!("{stage}-1")];
            (*stage, Caller::new(endpoint.address()))
        })
        .collect();
    let direct = |number: usize| {
        endpoints.iter().fold(None, |input, (stage, endpoint)| {
            Some(endpoint.call(stage, &format!("direct.{pipeline}.{number}"), input))
        })
    };

    deployment::warm_up(&host, pipeline);
    direct(calls);
    let (mut direct_times, mut host_times) = (Sample::default(), Sample::default());

    for number in 0..calls {
        direct_times.time(|| direct(number));
        let outcome = host_times.time(|| host.post(pipeline, &body()));
        assert_eq!(outcome, Outcome::Answered);
    }

    println!(
        "| {} | {calls} | {:.2} | {:.2} | {:.2} | {:.2} | {:.3} | {:.3} | {:.2} | {:.2} |",
        stages.len(),
        direct_times.median(),
        direct_times.p99(),
        host_times.median(),
        host_times.p99(),
        host_times.median() / direct_times.median(),
        host_times.p99() / direct_times.p99(),
        host_times.median() - direct_times.median(),
        host_times.p99() - direct_times.p99(),
    );
}
