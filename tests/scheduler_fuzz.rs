//! State machine test of the scheduler, checked by its oracle.

use {
    persimmoncleat::state::{
        endpoint::Phase,
        replay::scheduler_fixture::ENDPOINTS,
        replay::scheduler_trace::{Ending, Simulation, Step},
        tuning::Tuning,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    std::sync::atomic::{AtomicU64, Ordering},
};

const SEED: u64 = 7;
const DEFAULT_CASES: u32 = 64;
/// Number of transitions between two progress lines.
const REPORT_INTERVAL: u64 = 10_000;

static TRANSITIONS: AtomicU64 = AtomicU64::new(0);

fn config() -> ProptestConfig {
    let cases = std::env::var("PERSIMMON_FUZZ_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(DEFAULT_CASES);
    println!("seed {SEED}, {cases} cases");

    ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_iters: 4000,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

fn ending() -> impl Strategy<Value = Ending> {
    prop_oneof![
        8 => Just(Ending::Done),
        2 => Just(Ending::Failed),
        1 => Just(Ending::Leaving),
        1 => Just(Ending::NotRun),
        1 => Just(Ending::TimedOut),
    ]
}

fn phase() -> impl Strategy<Value = Option<Phase>> {
    prop_oneof![
        3 => Just(Some(Phase::Live)),
        1 => Just(Some(Phase::Leaving)),
        1 => Just(None),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let arrive = (
        20u16..4000,
        proptest::option::of(0u64..4),
        any::<bool>(),
        any::<bool>(),
        0u8..3,
        any::<bool>(),
    );

    prop_oneof![
        6 => (1u16..300).prop_map(|ms| Step::Advance { ms }),
        10 => arrive.prop_map(|(deadline_ms, prefix, repeatable, two_stages, team, urgent)| {
            Step::Arrive { deadline_ms, prefix, repeatable, two_stages, team, urgent }
        }),
        1 => (0..ENDPOINTS, 0u64..4, 0u64..6, any::<bool>()).prop_map(
            |(endpoint, prefix, sequence, stored)| Step::Cache { endpoint, prefix, sequence, stored }
        ),
        1 => any::<u8>().prop_map(|request| Step::End { request }),
        12 => (any::<u8>(), ending()).prop_map(|(attempt, ending)| Step::Finish { attempt, ending }),
        2 => (0..ENDPOINTS, phase()).prop_map(|(endpoint, phase)| Step::List { endpoint, phase }),
        2 => (0u16..3000, 0..ENDPOINTS, 0u8..4, 0u8..4).prop_map(
            |(age_ms, endpoint, queued, running)| Step::Load { age_ms, endpoint, queued, running }
        ),
        1 => proptest::collection::vec(0u8..20, 0..4).prop_map(|demand| Step::Peers { demand }),
        1 => Just(Step::Settle),
    ]
}

#[derive(Clone, Debug)]
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Replay;

impl StateMachineTest for Replay {
    type Reference = Steps;
    type SystemUnderTest = Simulation;

    fn init_test((): &()) -> Simulation {
        Simulation::new(SEED, Tuning::default()).expect("an empty simulation violates no rule")
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        if let Err(violation) = simulation.step(&step) {
            panic!("{violation}");
        }

        let count = TRANSITIONS.fetch_add(1, Ordering::Relaxed) + 1;

        if count.is_multiple_of(REPORT_INTERVAL) {
            println!("{count} transitions");
        }

        simulation
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Guards against an order of arrivals, ends of attempts, host lists and
    /// reports that violates a rule of the oracle.
    #[test]
    fn actions_satisfy_every_rule_of_the_oracle(sequential 1..200 => Replay);
}
