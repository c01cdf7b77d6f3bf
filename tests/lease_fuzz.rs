//! State machine test of a pool's lease. Guards against two hosts that may send
//! orders to the pool's engines at the same time.

use {
    persimmoncleat::state::{
        pool::Fencing,
        replay::lease_trace::{Simulation, Step, Write},
    },
    proptest::{prelude::*, test_runner::Config},
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
};

const HOSTS: usize = 3;

fn config() -> Config {
    let cases = std::env::var("PERSIMMON_FUZZ_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(64);

    Config {
        cases,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..Config::default()
    }
}

fn step() -> BoxedStrategy<Step> {
    let host = 0..HOSTS;
    let write = prop_oneof![
        6 => Just(Write::Answered),
        1 => Just(Write::Dropped),
        1 => Just(Write::Late),
        1 => Just(Write::Lost),
    ];

    prop_oneof![
        8 => (200..1200u64).prop_map(|millis| Step::Advance { millis }),
        1 => (4000..14_000u64).prop_map(|millis| Step::Advance { millis }),
        16 => (host.clone(), write).prop_map(|(host, write)| Step::Send { host, write }),
        16 => host.clone().prop_map(|host| Step::Answer { host }),
        1 => Just(Step::ApplyLateWrite),
        1 => prop::option::weighted(0.3, Just(Write::Dropped))
            .prop_map(|write| Step::ForceResult { write }),
        1 => host.clone().prop_map(|host| Step::Freeze { host }),
        2 => host.clone().prop_map(|host| Step::Wake { host }),
        1 => host.clone().prop_map(|host| Step::Restart { host }),
        1 => (host.clone(), any::<bool>())
            .prop_map(|(host, candidate)| Step::Candidate { candidate, host }),
        1 => host.prop_map(|host| Step::Leave { host }),
        1 => any::<bool>().prop_map(|down| Step::Outage { down }),
    ]
    .boxed()
}

macro_rules! fuzz {
    ($($name:ident: $fencing:expr,)*) => {
        $(
            mod $name {
                use super::*;

                struct Reference;

                impl ReferenceStateMachine for Reference {
                    type State = ();
                    type Transition = Step;

                    fn init_state() -> BoxedStrategy<()> {
                        Just(()).boxed()
                    }

                    fn transitions((): &()) -> BoxedStrategy<Step> {
                        step()
                    }

                    fn apply((): (), _step: &Step) {}
                }

                struct Test;

                impl StateMachineTest for Test {
                    type Reference = Reference;
                    type SystemUnderTest = Simulation;

                    fn init_test((): &()) -> Simulation {
                        Simulation::new(HOSTS, $fencing)
                    }

                    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
                        if let Err(violation) = simulation.step(&step) {
                            panic!("{violation}");
                        }
                        simulation
                    }
                }

                proptest_state_machine::prop_state_machine! {
                    #![proptest_config(config())]

                    #[test]
                    fn at_most_one_host_may_send_orders(sequential 100..200 => Test);
                }
            }
        )*
    };
}

fuzz! {
    engines_enforce_the_token: Fencing::Enforced,
    engines_ignore_the_token: Fencing::Ignored,
}
