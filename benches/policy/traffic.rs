//! The requests of one run, the same for every policy.

use {
    crate::{
        deployment::{Deployment, HOSTS, TEAMS},
        scenario::{BURST_END_S, FAULT_S, Scenario},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
};

/// Prompt prefixes of one team.
const PREFIXES: f64 = 30.0;
/// Drafts of an overnight backlog, within one second.
const BACKLOG: usize = 300;
const BACKLOG_DEADLINE_MS: f64 = 60_000.0;
/// Part of stages whose first attempt fails.
const FAILURES: f64 = 0.001;
/// Spread of service times of plain stages: sigma of their logarithm.
const SIGMA: f64 = 0.5;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub at_ms: f64,
    pub deadline_ms: f64,
    /// Stages whose first attempt fails at its end.
    pub faulty: Vec<bool>,
    pub host: usize,
    pub prefix: u64,
    /// How often the caller may send it again.
    pub resends: u32,
    /// Whether it is not itself a resend.
    pub original: bool,
    /// Service time of each stage that is not generation.
    pub service_ms: Vec<f64>,
    pub team: usize,
    pub work: usize,
}

/// Returns the calls in the order of their arrival.
pub fn calls(deployment: &Deployment, scenario: Scenario, seed: u64) -> Vec<Call> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    let mut now_s = 0.0;

    loop {
        let uniform: f64 = rng.random_range(1e-9..1.0);
        now_s -= uniform.ln() / scenario.rate(deployment, now_s);

        if now_s > scenario.end_s() {
            break;
        }

        let burst = scenario.bursts() && (FAULT_S..BURST_END_S).contains(&now_s);
        let extra = burst && rng.random_bool(0.7);
        let team = if extra { 0 } else { team(&mut rng) };
        let work = work(&mut rng, deployment);
        let call = call(&mut rng, deployment, now_s, team, work);
        calls.push(Call {
            resends: scenario.resends(),
            ..call
        });
    }

    if scenario == Scenario::Overnight {
        let volume = deployment
            .works
            .iter()
            .position(|work| work.class == "volume");

        for _ in 0..BACKLOG {
            let at_s = FAULT_S + rng.random_range(0.0..1.0);
            let team = team(&mut rng);
            let mut call = call(&mut rng, deployment, at_s, team, volume.unwrap_or(0));
            call.deadline_ms = BACKLOG_DEADLINE_MS;
            calls.push(call);
        }

        calls.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    }

    calls
}

fn call(rng: &mut StdRng, deployment: &Deployment, at_s: f64, team: usize, work: usize) -> Call {
    let kind = &deployment.works[work];
    let skewed = rng.random_range(0.0..1.0f64).powi(2) * PREFIXES;
    let service_ms = kind
        .stages
        .iter()
        .map(|stage| {
            let mean = match *stage {
                "encode" => 12.0,
                "rerank" => 20.0,
                "retrieve" => 25.0,
                _ => 40.0,
            };
            let sum: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum();
            mean * ((sum - 6.0) * SIGMA).exp()
        })
        .collect();

    let faulty = kind.stages.iter().map(|_| rng.random_bool(FAILURES));

    Call {
        at_ms: at_s * 1000.0,
        deadline_ms: kind.deadline_ms as f64,
        faulty: faulty.collect(),
        host: rng.random_range(0..HOSTS),
        original: true,
        prefix: team as u64 * 1000 + skewed as u64,
        resends: 0,
        service_ms,
        team,
        work,
    }
}

fn team(rng: &mut StdRng) -> usize {
    let mut left: f64 = rng.random_range(0.0..1.0);

    TEAMS
        .iter()
        .position(|(_, part)| {
            left -= part;
            left < 0.0
        })
        .unwrap_or(0)
}

fn work(rng: &mut StdRng, deployment: &Deployment) -> usize {
    let mut left: f64 = rng.random_range(0.0..1.0);

    deployment
        .works
        .iter()
        .position(|work| {
            left -= work.part;
            left < 0.0
        })
        .unwrap_or(0)
}
