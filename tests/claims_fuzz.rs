//! State machine test of at-most-once execution: random steps with faults in a
//! simulated fleet.

#[path = "support/fuzz.rs"]
mod fuzz;

use {
    persimmoncleat::state::{
        claims::refusal::Outcome,
        replay::claims_simulation::Simulation,
        replay::claims_trace::{Endpoint, Step},
    },
    proptest::prelude::*,
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    std::{
        collections::BTreeMap,
        sync::{Mutex, PoisonError},
    },
};

const CASES: u32 = 300;
const HOSTS: usize = 3;
const MAX_INDEX: usize = 1000;

static ANSWERS: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());

/// Generator of steps in any order. The only reference state is the capacity of
/// a witness's table. Indexes of tickets and messages are taken modulo their
/// number; a host of `HOSTS` or more stands for the ticket's home.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = usize;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<usize> {
        (1usize..4).boxed()
    }

    fn transitions(_: &usize) -> BoxedStrategy<Step> {
        let host = || 0..HOSTS;
        let pick = || 0..MAX_INDEX;
        let between = || [host(), host()];
        let endpoint = prop_oneof![
            Just(Endpoint::Dies),
            Just(Endpoint::Refuses),
            Just(Endpoint::Runs)
        ];
        let millis = prop::sample::select(vec![1, 5_000, 29_999, 30_000, 90_000, 119_999, 121_000]);

        prop_oneof![
            1 => between().prop_map(|between| Step::Cut { between }),
            16 => (any::<bool>(), pick())
                .prop_map(|(again, message)| Step::Deliver { again, message }),
            2 => host().prop_map(|host| Step::Expire { host }),
            1 => host().prop_map(|host| Step::Freeze { host }),
            2 => between().prop_map(|between| Step::Heal { between }),
            3 => (host(), host()).prop_map(|(host, peer)| Step::ReceiveState { host, peer }),
            3 => (host(), prop::option::weighted(0.9, host()))
                .prop_map(|(home, witness)| Step::Issue { home, witness }),
            1 => host().prop_map(|host| Step::Kill { host }),
            2 => pick().prop_map(|message| Step::Lose { message }),
            3 => (prop::option::of(host()), millis)
                .prop_map(|(host, millis)| Step::Advance { host, millis }),
            10 => (any::<bool>(), 0..2 * HOSTS, pick()).prop_map(|(home_up, host, ticket)| {
                Step::Post { home_up, host, ticket }
            }),
            1 => host().prop_map(|host| Step::Renew { host }),
            2 => host().prop_map(|host| Step::Restart { host }),
            8 => (endpoint, pick())
                .prop_map(|(endpoint, ticket)| Step::Send { endpoint, ticket }),
            3 => (0..2 * HOSTS, pick()).prop_map(|(host, ticket)| Step::TimeOut { host, ticket }),
            2 => host().prop_map(|host| Step::Wake { host }),
        ]
        .boxed()
    }

    fn apply(records: usize, _: &Step) -> usize {
        records
    }
}

struct Fleet {
    homes: Vec<usize>,
    steps: Vec<Step>,
    simulation: Simulation,
}

impl Fleet {
    /// Replaces the generated numbers by indexes of existing tickets, messages
    /// and hosts.
    fn resolve(&self, mut step: Step) -> Step {
        match &mut step {
            Step::Deliver { message, .. } | Step::Lose { message } => {
                let count = self.simulation.messages().count().max(1);
                let index = self.simulation.messages().nth(*message % count);
                *message = index.unwrap_or_default();
            }
            Step::Post { host, ticket, .. } | Step::TimeOut { host, ticket } => {
                *ticket %= self.homes.len().max(1);
                if *host >= HOSTS {
                    *host = self.homes.get(*ticket).copied().unwrap_or_default();
                }
            }
            Step::Send { ticket, .. } => *ticket %= self.homes.len().max(1),
            _ => {}
        }

        step
    }
}

impl StateMachineTest for Fleet {
    type Reference = Steps;
    type SystemUnderTest = Self;

    fn init_test(records: &usize) -> Self {
        Self {
            homes: Vec::new(),
            steps: Vec::new(),
            simulation: Simulation::new(HOSTS, *records),
        }
    }

    fn apply(mut fleet: Self, _: &usize, step: Step) -> Self {
        let step = fleet.resolve(step);
        fleet.steps.push(step);

        if let Err(violation) = fleet.simulation.step(&step) {
            let steps = serde_json::to_string(&fleet.steps).unwrap();
            panic!("{violation}; steps: {steps}");
        }

        if let Step::Issue { home, .. } = step
            && fleet.simulation.runs().len() > fleet.homes.len()
        {
            fleet.homes.push(home);
        }

        fleet
    }

    fn teardown(fleet: Self, _: usize) {
        let mut answers = ANSWERS.lock().unwrap_or_else(PoisonError::into_inner);

        for answer in fleet.simulation.answers() {
            *answers.entry(format!("{:?}", answer.outcome)).or_default() += 1;
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(CASES))]

    fn run_claims_steps(sequential fuzz::TRANSITIONS => Fleet);
}

/// Guards against a second run of a request, and against a run of a request for
/// which a caller was answered that it never runs. Also checks that every kind
/// of answer occurred, so that the steps reach the code under test.
#[test]
fn requests_run_at_most_once() {
    fuzz::announce(&fuzz::config(CASES));
    run_claims_steps();
    let answers = ANSWERS.lock().unwrap_or_else(PoisonError::into_inner);
    println!("answers: {answers:?}");

    for outcome in [None, Some(Outcome::NotRun), Some(Outcome::Unknown)] {
        let outcome = format!("{outcome:?}");
        assert!(
            answers.contains_key(&outcome),
            "no caller was answered {outcome}"
        );
    }
}
