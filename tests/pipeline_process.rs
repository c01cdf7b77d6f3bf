//! Process tests of pipelines whose endpoints cross, repeat, delay, truncate or
//! lose answers: every caller gets its own complete answer or a refusal.

use {
    serde_json::json,
    stand_ins::{
        faults::FaultSwitches,
        fleet::{ALMANAC, Fleet},
        outcome::Outcome,
        synthetic,
    },
    std::thread,
};

const CALLERS: usize = 24;
const TOKENS: u32 = 12;

/// Posts one request for each caller, at all hosts in turn, and returns how
/// many were answered; half of them are streamed.
fn post_all(fleet: &Fleet) -> usize {
    let post_one = |number: usize| {
        let host = &fleet.hosts[number % fleet.hosts.len()];
        let prompt = format!("mark-{number} volume for harbour {number}");
        let body = json!({ "prompt": prompt, "max_tokens": TOKENS }).to_string();
        let caller = fleet.team(host);

        let outcome = if number.is_multiple_of(2) {
            Outcome::buffered(&caller.post("almanac", &body))
        } else {
            let path = "/v1/pipelines/almanac/requests?stream=true";
            Outcome::streamed(&caller.send("POST", path, &body))
        };

        match outcome {
            Outcome::Answered(output) => {
                assert_eq!(output, synthetic::pipeline(&ALMANAC, &prompt, TOKENS));
                true
            }
            Outcome::NotRun => {
                let marker = synthetic::marker(&prompt);
                assert_eq!(
                    fleet.calls_where(|call| call.marker == marker),
                    [],
                    "ran after not_run"
                );
                false
            }
            Outcome::Failed | Outcome::Unknown => false,
            Outcome::Lost => panic!("caller {number} got neither an answer nor a refusal"),
        }
    };

    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| scope.spawn(move || post_one(number)))
            .collect();
        callers
            .into_iter()
            .map(|caller| usize::from(caller.join().expect("the caller's checks passed")))
            .sum()
    })
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $change:expr, at least $answered:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let fleet = Fleet::start(env!("CARGO_BIN_EXE_persimmoncleatd"), 2);

                for pool in ALMANAC {
                    fleet.set_faults(pool, &$change);
                }

                let answered = post_all(&fleet);
                assert!(answered >= $answered, "only {answered} answers");
            }
        )*
    };
}

cases! {
    /// Guards against answers that are lost although no endpoint is faulty.
    requests_without_faults_are_answered: FaultSwitches::default(), at least CALLERS;
    /// Guards against an answer that belongs to another request.
    crossed_answers_never_reach_a_caller:
        FaultSwitches { cross: Some(1), ..FaultSwitches::default() }, at least CALLERS / 2;
    /// Guards against a repeated answer that is read as the next request's answer.
    repeated_answers_are_read_once:
        FaultSwitches { repeat: Some(3), ..FaultSwitches::default() }, at least CALLERS / 2;
    /// Guards against a late answer that is dropped or delivered twice.
    late_answers_are_delivered_once:
        FaultSwitches { late_ms: Some(400), ..FaultSwitches::default() }, at least CALLERS / 2;
    /// Guards against a truncated answer that is forwarded as complete.
    truncated_answers_are_not_forwarded:
        FaultSwitches { truncate: Some(1), truncate_at: Some(5), ..FaultSwitches::default() }, at least CALLERS / 2;
    /// Guards against one stalled call that makes its request fail.
    stalled_calls_are_retried:
        FaultSwitches { stall: Some(1), ..FaultSwitches::default() }, at least CALLERS / 2;
    /// Guards against a request that fails because a connection closed after the run
    /// without an answer.
    calls_on_closed_connections_are_retried:
        FaultSwitches { die: Some(1), ..FaultSwitches::default() }, at least CALLERS / 2;
    /// Guards against a request that fails because one endpoint refused the call.
    refused_calls_are_retried_elsewhere:
        FaultSwitches { refuse: Some(1), ..FaultSwitches::default() }, at least CALLERS / 2;
}

/// Guards against failures that occur only when several kinds of faults coincide.
#[test]
fn combined_faults_cause_no_wrong_outcome() {
    let fleet = Fleet::start(env!("CARGO_BIN_EXE_persimmoncleatd"), 2);
    fleet.warm_up("almanac", TOKENS);
    let change = FaultSwitches {
        break_stream_at: Some(4),
        cross: Some(1),
        die: Some(1),
        late_ms: Some(50),
        refuse: Some(1),
        repeat: Some(1),
        stall: Some(1),
        truncate: Some(1),
        ..FaultSwitches::default()
    };

    for pool in ALMANAC {
        fleet.set_faults(pool, &change);
    }

    assert!(post_all(&fleet) > 0, "no answer");
}
