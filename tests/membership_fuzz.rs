//! Random faults against the membership of a small fleet.

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

/// Periods after the last fault within which all views agree.
const BOUND: u64 = 40;

/// How far a restarted host's wall clock may be behind.
const BEHIND_MILLIS: u64 = 600_000;

#[derive(Clone, Debug)]
enum Step {
    Agree,
    Cut(usize, usize),
    Freeze(usize),
    Heal(usize, usize),
    Kill(usize),
    Leave(usize),
    Loss(u8),
    Restart { behind: bool, host: usize },
    Run(u64),
    Wake(usize),
}

/// Any order of steps is allowed; the reference state is the seed of the
/// delays and losses.
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
            1 => Just(Step::Agree),
            8 => (host(), host()).prop_map(|(a, b)| Step::Cut(a, b)),
            4 => host().prop_map(Step::Freeze),
            8 => (host(), host()).prop_map(|(a, b)| Step::Heal(a, b)),
            4 => host().prop_map(Step::Kill),
            1 => host().prop_map(Step::Leave),
            4 => (0u8..60).prop_map(Step::Loss),
            8 => (any::<bool>(), host())
                .prop_map(|(behind, host)| Step::Restart { behind, host }),
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
    /// Ends all faults except killed hosts. After the bound every host that is
    /// up sees every other one that is up, in its incarnation and phase, and
    /// no killed one.
    fn agree(&mut self) {
        let Self(fleet) = self;
        fleet.heal_all();
        fleet.loss = 0.0;
        fleet.nodes.iter_mut().for_each(|node| node.frozen = false);
        fleet.run(BOUND * u64::try_from(PERIOD.as_millis()).unwrap());

        for observer in 0..HOSTS {
            for host in (0..HOSTS).filter(|host| *host != observer) {
                if !fleet.nodes[observer].up {
                    continue;
                }

                if fleet.nodes[host].up {
                    let phase = fleet.nodes[host].local.phase;
                    let seen = fleet.phase(observer, host);
                    assert_eq!(seen, Some(phase), "host {observer} sees host {host}");
                    assert_ne!(phase, Phase::Gone, "host {host} accepts nothing");
                } else {
                    assert!(
                        !fleet.lists(observer, host),
                        "host {observer} still sees killed host {host}",
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
            Step::Agree => fleet.agree(),
            Step::Cut(a, b) => simulation.cut(a, b),
            Step::Freeze(host) => simulation.nodes[host].frozen = true,
            Step::Heal(a, b) => simulation.heal(a, b),
            Step::Kill(host) => simulation.nodes[host].up = false,
            Step::Leave(host) => simulation.leave(host),
            Step::Loss(percent) => simulation.loss = f64::from(percent) / 100.0,
            Step::Restart { behind, host } => {
                if !simulation.nodes[host].up {
                    simulation.restart(host, if behind { BEHIND_MILLIS } else { 0 });
                }
            }
            Step::Run(millis) => simulation.run(millis),
            Step::Wake(host) => simulation.nodes[host].frozen = false,
        }

        fleet
    }

    fn teardown(mut fleet: Self, _: u64) {
        fleet.agree();
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(CASES))]

    fn views_agree(sequential fuzz::TRANSITIONS => Fleet);
}

/// Guards against a live host that stays gone, a killed one that stays
/// present, an incarnation that comes back, and a leaving mark that is lost.
#[test]
fn membership_survives_faults() {
    fuzz::announce(&fuzz::config(CASES));
    views_agree();
}
