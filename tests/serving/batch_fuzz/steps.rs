//! The random steps of the dispatcher's state machine test.

use {super::ENDPOINTS, proptest::prelude::*, proptest_state_machine::ReferenceStateMachine};

/// How a call ends. The bits of the number select the result of each item.
#[derive(Clone, Copy, Debug)]
pub enum End {
    Answered(u64),
    Broken,
    Full,
    Replaced,
    Unreachable,
}

#[derive(Clone, Debug)]
pub enum Step {
    Add {
        bytes: u64,
        pieces: u16,
        priority: u8,
        remaining: u64,
        urgency: u64,
    },
    /// Cancels one of the open jobs.
    Cancel(usize),
    /// An endpoint wants no calls for this many milliseconds.
    Defer(usize, u64),
    End(usize, End),
    /// Changes an endpoint's listing: 0 removes it, 1 marks it as leaving, 2
    /// lists it, and 3 lists a new incarnation.
    List(usize, u8),
    /// Releases the outputs of a finished job, as its home does.
    Release(usize),
    /// Lets this many milliseconds pass.
    Wait(u64),
}

pub fn step() -> impl Strategy<Value = Step> {
    let end = prop_oneof![
        8 => any::<u64>().prop_map(End::Answered),
        1 => Just(End::Broken),
        1 => Just(End::Full),
        1 => Just(End::Replaced),
        1 => Just(End::Unreachable),
    ];
    let add = (1u16..10, 1u64..120, 0u8..3, 100u64..6000, 0u64..2000);

    prop_oneof![
        6 => add.prop_map(|(pieces, bytes, priority, remaining, urgency)| Step::Add {
            bytes,
            pieces,
            priority,
            remaining,
            urgency,
        }),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (0..ENDPOINTS, 1u64..800).prop_map(|(endpoint, time)| Step::Defer(endpoint, time)),
        10 => (any::<usize>(), end).prop_map(|(call, end)| Step::End(call, end)),
        2 => (0..ENDPOINTS, 0u8..4).prop_map(|(endpoint, state)| Step::List(endpoint, state)),
        4 => any::<usize>().prop_map(Step::Release),
        4 => (1u64..400).prop_map(Step::Wait),
    ]
}

/// Generates the steps. It has no state, since the oracle is in `Simulation`.
#[derive(Debug)]
pub struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply((): (), _: &Step) {}
}
