//! Generates the requests of one run, which are the same for every policy.

use {
    crate::{
        deployment::{Deployment, HOSTS, TEAMS},
        scenario::{BURST_END_S, FAULT_S, Scenario},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
};

/// Number of prompt prefixes of one team.
const PREFIXES_PER_TEAM: f64 = 30.0;
/// Number of drafts of an overnight backlog, which arrive within one second.
const BACKLOG_DRAFTS: usize = 300;
const BACKLOG_DEADLINE_MS: f64 = 60_000.0;
/// Fraction of stages whose first attempt fails.
const FAILURE_RATE: f64 = 0.001;
/// Standard deviation of the logarithm of the service times of stages that
/// generate no tokens.
const SERVICE_TIME_SIGMA: f64 = 0.5;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub at_ms: f64,
    pub deadline_ms: f64,
    /// Whether the first attempt of each stage fails at its end.
    pub faulty: Vec<bool>,
    pub host: usize,
    pub prefix: u64,
    /// Number of times that the caller may resend the request.
    pub resends: u32,
    /// Whether this is the first time the request is sent.
    pub original: bool,
    /// Service time of each stage; ignored for stages that generate tokens.
    pub service_ms: Vec<f64>,
    pub team: usize,
    pub kind_index: usize,
}

/// Returns the calls in order of arrival.
pub fn calls(deployment: &Deployment, scenario: Scenario, seed: u64) -> Vec<Call> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    let mut now_s = 0.0;

    loop {
        let uniform: f64 = rng.random_range(1e-9..1.0);
        now_s -= uniform.ln() / scenario.arrival_rate(deployment, now_s);

        if now_s > scenario.end_s() {
            break;
        }

        let burst = scenario.has_burst() && (FAULT_S..BURST_END_S).contains(&now_s);
        let extra = burst && rng.random_bool(0.7);
        let team = if extra { 0 } else { random_team(&mut rng) };
        let kind_index = random_kind(&mut rng, deployment);
        let call = random_call(&mut rng, deployment, now_s, team, kind_index);
        calls.push(Call {
            resends: scenario.resends(),
            ..call
        });
    }

    if scenario == Scenario::Overnight {
        let volume = deployment
            .request_kinds
            .iter()
            .position(|kind| kind.class == "volume");

        for _ in 0..BACKLOG_DRAFTS {
            let at_s = FAULT_S + rng.random_range(0.0..1.0);
            let team = random_team(&mut rng);
            let mut call = random_call(&mut rng, deployment, at_s, team, volume.unwrap_or(0));
            call.deadline_ms = BACKLOG_DEADLINE_MS;
            calls.push(call);
        }

        calls.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    }

    calls
}

fn random_call(
    rng: &mut StdRng,
    deployment: &Deployment,
    at_s: f64,
    team: usize,
    kind_index: usize,
) -> Call {
    let kind = &deployment.request_kinds[kind_index];
    let skewed = rng.random_range(0.0..1.0f64).powi(2) * PREFIXES_PER_TEAM;
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
            mean * ((sum - 6.0) * SERVICE_TIME_SIGMA).exp()
        })
        .collect();

    let faulty = kind.stages.iter().map(|_| rng.random_bool(FAILURE_RATE));

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
        kind_index,
    }
}

fn random_team(rng: &mut StdRng) -> usize {
    let mut left: f64 = rng.random_range(0.0..1.0);

    TEAMS
        .iter()
        .position(|(_, fraction)| {
            left -= fraction;
            left < 0.0
        })
        .unwrap_or(0)
}

fn random_kind(rng: &mut StdRng, deployment: &Deployment) -> usize {
    let mut left: f64 = rng.random_range(0.0..1.0);

    deployment
        .request_kinds
        .iter()
        .position(|kind| {
            left -= kind.fraction;
            left < 0.0
        })
        .unwrap_or(0)
}
