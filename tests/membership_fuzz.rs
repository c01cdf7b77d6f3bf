//! State machine test of the membership: random faults in a small simulated
//! fleet.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/fuzz.rs"]
mod fuzz;
#[path = "support/simulation.rs"]
mod simulation;

use {
    persimmoncleat::state::{fleet::member::Phase, fleet::membership::PERIOD},
    proptest::prelude::*,
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    simulation::Simulation,
};

const CASES: u32 = 20;
const HOSTS: usize = 5;

/// Number of probe periods after the last fault within which all views must
/// agree.
const CONVERGENCE_PERIODS: u64 = 40;

/// Lag of a restarted host's wall clock, in milliseconds.
const CLOCK_LAG_MILLIS: u64 = 600_000;

#[derive(Clone, Debug)]
enum Step {
    CheckViews,
    Cut(usize, usize),
    Freeze(usize),
    Heal(usize, usize),
    Kill(usize),
    Leave(usize),
    Loss(u8),
    Restart { clock_lags: bool, host: usize },
    Run(u64),
    Wake(usize),
}

/// Generator of steps in any order. The reference state is the seed of the
/// message delays and losses.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let host = || 0..HOSTS;
        let millis = prop::sample::select(vec![100, 100, 300, 500, 1_000, 3_000, 8_000]);

        prop_oneof![
            1 => Just(Step::CheckViews),
            8 => (host(), host()).prop_map(|(a, b)| Step::Cut(a, b)),
            4 => host().prop_map(Step::Freeze),
            8 => (host(), host()).prop_map(|(a, b)| Step::Heal(a, b)),
            4 => host().prop_map(Step::Kill),
            1 => host().prop_map(Step::Leave),
            4 => (0u8..60).prop_map(Step::Loss),
            8 => (any::<bool>(), host())
                .prop_map(|(clock_lags, host)| Step::Restart { clock_lags, host }),
            30 => millis.prop_map(Step::Run),
            6 => host().prop_map(Step::Wake),
        ]
        .boxed()
    }

    fn apply(seed: u64, _: &Step) -> u64 {
        seed
    }
}

struct Fleet(Simulation);

impl Fleet {
    /// Ends all faults except killed hosts, and checks the views after
    /// `CONVERGENCE_PERIODS`: a running host must list every other running host,
    /// in its current incarnation and phase, and no killed host.
    fn check_views(&mut self) {
        let Self(fleet) = self;
        fleet.heal_all();
        fleet.loss = 0.0;
        fleet.nodes.iter_mut().for_each(|node| node.frozen = false);
        fleet.run(CONVERGENCE_PERIODS * u64::try_from(PERIOD.as_millis()).unwrap());

        for observer in 0..HOSTS {
            for host in (0..HOSTS).filter(|host| *host != observer) {
                if !fleet.nodes[observer].up {
                    continue;
                }

                if fleet.nodes[host].up {
                    let phase = fleet.nodes[host].local.phase;
                    let listed = fleet.phase(observer, host);
                    assert_eq!(
                        listed,
                        Some(phase),
                        "host {host} as listed by host {observer}"
                    );
                    assert_ne!(
                        phase,
                        Phase::Gone,
                        "host {host} is gone although it is running"
                    );
                } else {
                    assert!(
                        !fleet.lists(observer, host),
                        "host {observer} still lists killed host {host}",
                    );
                }
            }
        }
    }
}

impl StateMachineTest for Fleet {
    type Reference = Steps;
    type SystemUnderTest = Self;

    fn init_test(seed: &u64) -> Self {
        Self(Simulation::new(HOSTS, *seed))
    }

    fn apply(mut fleet: Self, _: &u64, step: Step) -> Self {
        let Self(simulation) = &mut fleet;

        match step {
            Step::CheckViews => fleet.check_views(),
            Step::Cut(a, b) => simulation.cut(a, b),
            Step::Freeze(host) => simulation.nodes[host].frozen = true,
            Step::Heal(a, b) => simulation.heal(a, b),
            Step::Kill(host) => simulation.nodes[host].up = false,
            Step::Leave(host) => simulation.leave(host),
            Step::Loss(percent) => simulation.loss = f64::from(percent) / 100.0,
            Step::Restart { clock_lags, host } => {
                if !simulation.nodes[host].up {
                    simulation.restart(host, if clock_lags { CLOCK_LAG_MILLIS } else { 0 });
                }
            }
            Step::Run(millis) => simulation.run(millis),
            Step::Wake(host) => simulation.nodes[host].frozen = false,
        }

        fleet
    }

    fn teardown(mut fleet: Self, _: u64) {
        fleet.check_views();
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(CASES))]

    fn run_membership_steps(sequential fuzz::TRANSITIONS => Fleet);
}

/// Guards against a running host that stays listed as gone, a killed host that
/// stays listed, an old incarnation that reappears, and a lost leaving phase.
#[test]
fn views_agree_after_faults() {
    fuzz::announce(&fuzz::config(CASES));
    run_membership_steps();
}
