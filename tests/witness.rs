//! The witness's table and the part of the control thread that serves it.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/view.rs"]
mod view;

use {
    fleet::member,
    persimmoncleat::{
        coordination::claims::{Claims, Event},
        state::{
            claims::witness::{Subject, Verdict, Witness},
            clock::Time,
            id::Incarnation,
        },
    },
    tokio::sync::oneshot,
    view::view,
};

enum Ask {
    Expire(u64),
    Permit(u64, &'static str, u64),
    Restart,
    Void(u64, &'static str),
}

use Ask::{Expire, Permit, Restart, Void};

fn subject(request: &str) -> Subject {
    Subject {
        host: "w".into(),
        incarnation: Incarnation(1),
        request: request.into(),
        stamp: Time::ZERO,
    }
}

fn run(asks: &[Ask]) -> Vec<Verdict> {
    let mut witness = Witness::new("w".into(), Incarnation(1), 2);
    let mut verdicts = Vec::new();

    for ask in asks {
        match *ask {
            Expire(now) => witness.expire(Time::from_millis(now)),
            Permit(now, request, nonce) => {
                let now = Time::from_millis(now);
                verdicts.push(witness.permit(now, &subject(request), nonce));
            }
            Restart => witness.restart(Incarnation(2)),
            Void(now, request) => {
                verdicts.push(witness.void(Time::from_millis(now), &subject(request)));
            }
        }
    }

    verdicts
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $asks:expr => $verdicts:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(run(&$asks), $verdicts);
            }
        )*
    };
}

cases! {
    /// Guards against two holders of one permit.
    only_one_nonce_is_granted:
        [Permit(0, "a", 1), Permit(0, "a", 2), Permit(0, "a", 1)]
        => [Verdict::Granted, Verdict::Taken, Verdict::Granted];
    /// Guards against a void after a permit, and the other way round.
    first_answer_stands:
        [Permit(0, "a", 1), Void(0, "a"), Void(0, "b"), Permit(0, "b", 1), Void(0, "b")]
        => [
            Verdict::Granted,
            Verdict::MayHaveRun,
            Verdict::Voided,
            Verdict::Voided,
            Verdict::Voided,
        ];
    /// Guards against a full table that forgets, or records without room.
    full_table_refuses:
        [Permit(0, "a", 1), Void(0, "b"), Permit(0, "c", 1), Void(0, "d"), Void(0, "a")]
        => [
            Verdict::Granted,
            Verdict::Voided,
            Verdict::Full,
            Verdict::Full,
            Verdict::MayHaveRun,
        ];
    /// Guards against records dropped while the witness still attests.
    records_outlive_attestation:
        [
            Permit(0, "a", 1),
            Expire(119_999),
            Void(119_999, "a"),
            Expire(120_000),
            Void(120_000, "a"),
            Permit(120_000, "b", 1),
        ]
        => [
            Verdict::Granted,
            Verdict::MayHaveRun,
            Verdict::Expired,
            Verdict::Expired,
        ];
    /// Guards against attesting for an earlier life.
    restart_attests_nothing_old:
        [Permit(0, "a", 1), Restart, Void(0, "a"), Permit(0, "b", 1)]
        => [Verdict::Granted, Verdict::Expired, Verdict::Expired];
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

    assert_eq!(void(&mut view), Verdict::Voided);
    view.local.incarnation = Incarnation(2);
    assert_eq!(void(&mut view), Verdict::Expired);
}
