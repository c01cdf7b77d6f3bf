//! State machine test of settings replicas with a faulty store, checked against
//! the rules of `replay::settings_violation`.
//!
//! `PERSIMMON_FUZZ_CASES` sets the number of cases, for longer runs.

use {
    persimmoncleat::state::replay::settings_trace::{Fault, HOSTS, Simulation, Step},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed, TestError, TestRunner},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::{
        env,
        sync::atomic::{AtomicU64, Ordering::Relaxed},
    },
};

const CASES: u32 = 100;
const SEED: u64 = 20_261_204;
const STEPS: usize = 300;

static ACCEPTED: AtomicU64 = AtomicU64::new(0);
static TRANSITIONS: AtomicU64 = AtomicU64::new(0);

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let call = 0..8_usize;
        let host = 0..HOSTS;
        let fault = prop_oneof![
            2 => Just(Fault::None),
            1 => Just(Fault::Lost),
            1 => Just(Fault::Refused),
            1 => Just(Fault::Reordered),
        ];
        let submit = (host.clone(), 0..60_u16, any::<bool>());
        let seldom = prop::bool::weighted(0.2);

        prop_oneof![
            30 => call.clone().prop_map(|call| Step::Finish { call }),
            8 => (call.clone(), 1..4_u8).prop_map(|(call, parts)| Step::Run { call, parts }),
            8 => (call.clone(), fault).prop_map(|(call, fault)| Step::Answer { call, fault }),
            4 => call.prop_map(|call| Step::Late { call }),
            20 => (host.clone(), 0..700_u64).prop_map(|(host, millis)| Step::Tick { host, millis }),
            16 => submit.prop_map(|(host, operation, names_old_value)| Step::Submit { host, operation, names_old_value }),
            1 => host.clone().prop_map(|host| Step::Crash { host }),
            2 => (host.clone(), seldom).prop_map(|(host, on)| Step::Cut { host, on }),
            3 => (host.clone(), prop::bool::weighted(0.3)).prop_map(|(host, on)| Step::Freeze { host, on }),
            30 => host.clone().prop_map(|host| Step::Round { host }),
            2 => (host, seldom).prop_map(|(host, on)| Step::Leave { host, on }),
            2 => seldom.prop_map(|on| Step::Outage { on }),
            1 => Just(Step::Settle),
        ]
        .boxed()
    }

    fn apply((): (), _step: &Step) {}
}

struct Replicas;

impl StateMachineTest for Replicas {
    type SystemUnderTest = Simulation;
    type Reference = Steps;

    fn init_test((): &()) -> Simulation {
        Simulation::default()
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        TRANSITIONS.fetch_add(1, Relaxed);
        if let Err(violation) = simulation.step(&step) {
            panic!("{violation}");
        }
        simulation
    }

    fn teardown(mut simulation: Simulation, (): ()) {
        if let Err(violation) = simulation.step(&Step::Settle) {
            panic!("{violation}");
        }
        ACCEPTED.fetch_add(simulation.accepted(), Relaxed);
    }
}

/// Guards against a replica that differs from the accepted changes, returns to
/// an older version or stays behind, a lost update, a change that is applied
/// twice, and a reply that is missing or contradicts the store.
#[test]
fn replicas_agree_with_the_store() {
    let cases = env::var("PERSIMMON_FUZZ_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(CASES);
    let config = Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let strategy = Steps::sequential_strategy(STEPS / 2..STEPS);
    let result = runner.run(&strategy, |(initial, steps, seen)| {
        Replicas::test_sequential(config.clone(), initial, steps, seen);
        Ok(())
    });
    println!(
        "seed {SEED}, {cases} cases, {} transitions, {} accepted changes",
        TRANSITIONS.load(Relaxed),
        ACCEPTED.load(Relaxed)
    );

    if let Err(TestError::Fail(reason, (_, steps, _))) = &result {
        panic!("{reason}\n{}", serde_json::to_string(steps).unwrap());
    }

    result.unwrap();
}
