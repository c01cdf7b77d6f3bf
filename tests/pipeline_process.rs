//! Every caller gets exactly its own whole answer or a refusal, whatever the
//! endpoints do to the answers.

use {
    serde_json::json,
    stand_ins::{
        faults::Change,
        fleet::{ALMANAC, Fleet},
        outcome::Outcome,
        work,
    },
    std::thread,
};

const CALLERS: usize = 24;
const TOKENS: u32 = 12;

/// Posts one request for each caller, at all hosts in turn, and returns how
/// many were answered; half of them are streamed.
fn run(fleet: &Fleet) -> usize {
    let one = |number: usize| {
        let host = &fleet.hosts[number % fleet.hosts.len()];
        let prompt = format!("mark-{number} volume for harbour {number}");
        let body = json!({ "prompt": prompt, "max_tokens": TOKENS }).to_string();
        let caller = fleet.team(host);

        let outcome = if number.is_multiple_of(2) {
            Outcome::whole(&caller.post("almanac", &body))
        } else {
            let path = "/v1/pipelines/almanac/requests?stream=true";
            Outcome::streamed(&caller.send("POST", path, &body))
        };

        match outcome {
            Outcome::Answered(output) => {
                assert_eq!(output, work::pipeline(&ALMANAC, &prompt, TOKENS));
                true
            }
            Outcome::NotRun => {
                let marker = work::marker(&prompt);
                assert_eq!(
                    fleet.ran(|row| row.marker == marker),
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
            .map(|number| scope.spawn(move || one(number)))
            .collect();
        callers
            .into_iter()
            .map(|caller| usize::from(caller.join().expect("the caller was content")))
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
                    fleet.faults(pool, &$change);
                }

                let answered = run(&fleet);
                assert!(answered >= $answered, "only {answered} answers");
            }
        )*
    };
}

cases! {
    /// Guards against answers lost without any fault.
    undisturbed_requests_are_answered: Change::default(), at least CALLERS;
    /// Guards against an answer that belongs to another request.
    crossed_answers_never_reach_a_caller:
        Change { cross: Some(1), ..Change::default() }, at least CALLERS / 2;
    /// Guards against a second copy of an answer that is read as the next request's answer.
    repeated_answers_are_read_once:
        Change { repeat: Some(3), ..Change::default() }, at least CALLERS / 2;
    /// Guards against a late answer that is given up or delivered twice.
    late_answers_arrive_once:
        Change { late_ms: Some(400), ..Change::default() }, at least CALLERS / 2;
    /// Guards against a truncated answer that passes for a whole one.
    truncated_answers_are_not_passed_on:
        Change { truncate: Some(1), truncate_at: Some(5), ..Change::default() }, at least CALLERS / 2;
    /// Guards against one stalled call that takes its request along.
    stalled_calls_are_replaced:
        Change { stall: Some(1), ..Change::default() }, at least CALLERS / 2;
    /// Guards against a connection that closes after the run without an answer.
    dead_connections_are_replaced:
        Change { die: Some(1), ..Change::default() }, at least CALLERS / 2;
    /// Guards against refusals by endpoints that end the request.
    refused_calls_go_elsewhere:
        Change { refuse: Some(1), ..Change::default() }, at least CALLERS / 2;
}

/// Guards against faults that only mix badly.
#[test]
fn mixed_faults_confuse_nobody() {
    let fleet = Fleet::start(env!("CARGO_BIN_EXE_persimmoncleatd"), 2);
    fleet.warm_up("almanac", TOKENS);
    let change = Change {
        break_stream_at: Some(4),
        cross: Some(1),
        die: Some(1),
        late_ms: Some(50),
        refuse: Some(1),
        repeat: Some(1),
        stall: Some(1),
        truncate: Some(1),
        ..Change::default()
    };

    for pool in ALMANAC {
        fleet.faults(pool, &change);
    }

    assert!(run(&fleet) > 0, "no answer");
}
