//! Tests of issuing and verifying tickets: the choice of the witness and the
//! signature.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/view.rs"]
mod view;

use {
    fleet::member,
    persimmoncleat::{
        coordination::tickets::Tickets,
        protocol::{caller::TicketBody, ticket::Ticket},
        state::{
            clock::Time,
            fleet::member::{Member, Phase},
        },
    },
    std::{collections::BTreeSet, time::Duration},
    view::view,
};

fn issue(members: &[Member]) -> Ticket {
    let body = TicketBody {
        body_sha256: "00".into(),
        class: "urgent".into(),
        deadline: None,
        pipeline: "publish".into(),
        team: "hvarfdal".into(),
    };
    let view = view(member("h", "is-1", 7000), members.to_vec());
    let now = Time::from_millis(9);
    Tickets::new(b"key").issue(&view, now, &body, Duration::from_secs(8))
}

fn witnesses(members: &[Member]) -> BTreeSet<String> {
    (0..200)
        .filter_map(|_| Some(issue(members).witness?.host.to_string()))
        .collect()
}

fn phase(mut member: Member, phase: Phase) -> Member {
    member.phase = phase;
    member
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $members:expr => $witnesses:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let expected: &[&str] = &$witnesses;
                let expected = expected.iter().map(|host| host.to_string());
                assert_eq!(witnesses(&$members), expected.collect());
            }
        )*
    };
}

cases! {
    /// Guards against a witness that is lost together with the home.
    witness_in_another_domain_is_preferred:
        [member("a", "is-1", 1), member("b", "is-2", 2), member("c", "is-3", 3)] => ["b", "c"];
    witness_in_the_own_domain_is_the_fallback: [member("a", "is-1", 1)] => ["a"];
    /// Guards against a witness that is leaving or presumably down.
    suspect_and_leaving_hosts_are_not_chosen:
        [
            phase(member("a", "is-2", 1), Phase::Suspect),
            phase(member("b", "is-2", 2), Phase::Leaving),
            member("c", "is-1", 3),
        ]
        => ["c"];
    ticket_of_a_host_without_peers_has_no_witness: [] => [];
}

/// Guards against a stamp or an address that is not the one of the witness.
#[test]
fn ticket_names_home_and_witness() {
    let witness = member("b", "is-2", 2);
    let ticket = issue(std::slice::from_ref(&witness));
    let named = ticket.witness.unwrap();

    assert_eq!(named.address, witness.peer_address);
    assert_eq!(named.incarnation, witness.incarnation);
    assert_eq!(named.stamp, witness.clock);
    assert_eq!(ticket.request.home(), Some("h"));
    assert_eq!(ticket.issued, Time::from_millis(9));
}

/// Guards against tickets that callers forge or alter.
#[test]
fn only_signed_tickets_are_accepted() {
    let tickets = Tickets::new(b"key");
    let ticket = issue(&[]);
    let text = tickets.sign(&ticket);

    assert_eq!(tickets.verify(&text).unwrap(), ticket);
    assert!(Tickets::new(b"other").verify(&text).is_err());

    for index in 0..text.len() {
        let mut changed = text.clone().into_bytes();
        changed[index] = if changed[index] == b'0' { b'1' } else { b'0' };
        let changed = String::from_utf8(changed).unwrap();
        assert!(tickets.verify(&changed).is_err(), "{changed}");
    }
}
