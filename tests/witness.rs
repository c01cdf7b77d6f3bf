//! Tests of the witness's table of permits and voids, and of the control
//! thread's handling of calls to it.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/view.rs"]
mod view;

use {
    fleet::member,
    persimmoncleat::{
        coordination::claims::{Claims, Event},
        state::{
            claims::witness::{Subject, Witness, WitnessAnswer},
            clock::Time,
            id::Incarnation,
        },
    },
    tokio::sync::oneshot,
    view::view,
};

enum Operation {
    Expire(u64),
    Permit(u64, &'static str, u64),
    Restart,
    Void(u64, &'static str),
}

use Operation::{Expire, Permit, Restart, Void};

fn subject(request: &str) -> Subject {
    Subject {
        host: "w".into(),
        incarnation: Incarnation(1),
        request: request.into(),
        stamp: Time::ZERO,
    }
}

fn run(operations: &[Operation]) -> Vec<WitnessAnswer> {
    let mut witness = Witness::new("w".into(), Incarnation(1), 2);
    let mut answers = Vec::new();

    for operation in operations {
        match *operation {
            Expire(now) => witness.expire(Time::from_millis(now)),
            Permit(now, request, nonce) => {
                let now = Time::from_millis(now);
                answers.push(witness.permit(now, &subject(request), nonce));
            }
            Restart => witness.restart(Incarnation(2)),
            Void(now, request) => {
                answers.push(witness.void(Time::from_millis(now), &subject(request)));
            }
        }
    }

    answers
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $operations:expr => $answers:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(run(&$operations), $answers);
            }
        )*
    };
}

cases! {
    /// Guards against a permit that is granted to two holders.
    permit_is_granted_to_one_nonce_only:
        [Permit(0, "a", 1), Permit(0, "a", 2), Permit(0, "a", 1)]
        => [WitnessAnswer::Granted, WitnessAnswer::Taken, WitnessAnswer::Granted];
    /// Guards against a ticket that is both permitted and voided.
    first_answer_is_final:
        [Permit(0, "a", 1), Void(0, "a"), Void(0, "b"), Permit(0, "b", 1), Void(0, "b")]
        => [
            WitnessAnswer::Granted,
            WitnessAnswer::MayHaveRun,
            WitnessAnswer::Voided,
            WitnessAnswer::Voided,
            WitnessAnswer::Voided,
        ];
    /// Guards against a full table that drops records or exceeds its capacity.
    full_table_refuses_new_records:
        [Permit(0, "a", 1), Void(0, "b"), Permit(0, "c", 1), Void(0, "d"), Void(0, "a")]
        => [
            WitnessAnswer::Granted,
            WitnessAnswer::Voided,
            WitnessAnswer::Full,
            WitnessAnswer::Full,
            WitnessAnswer::MayHaveRun,
        ];
    /// Guards against a record that is removed while the witness still answers
    /// for its ticket.
    records_are_kept_for_the_retention:
        [
            Permit(0, "a", 1),
            Expire(119_999),
            Void(119_999, "a"),
            Expire(120_000),
            Void(120_000, "a"),
            Permit(120_000, "b", 1),
        ]
        => [
            WitnessAnswer::Granted,
            WitnessAnswer::MayHaveRun,
            WitnessAnswer::Expired,
            WitnessAnswer::Expired,
        ];
    /// Guards against answers for tickets of an earlier incarnation, whose records
    /// are lost.
    restart_expires_earlier_tickets:
        [Permit(0, "a", 1), Restart, Void(0, "a"), Permit(0, "b", 1)]
        => [WitnessAnswer::Granted, WitnessAnswer::Expired, WitnessAnswer::Expired];
}

/// Guards against records that survive a new incarnation of the host.
#[test]
fn new_incarnation_drops_the_records() {
    let mut view = view(member("w", "is-1", 7001), Vec::new());
    let mut claims = Claims::new(&view, 10);
    let mut void = |view: &mut _| {
        let (reply, mut answer) = oneshot::channel();
        let subject = subject("a");
        claims.handle(Time::ZERO, Event::Void { reply, subject }, view);
        answer.try_recv().unwrap()
    };

    assert_eq!(void(&mut view), WitnessAnswer::Voided);
    view.local.incarnation = Incarnation(2);
    assert_eq!(void(&mut view), WitnessAnswer::Expired);
}
