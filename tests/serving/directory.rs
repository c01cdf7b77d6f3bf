//! The directory must list all hosts that accept requests, and no others.

use persimmoncleat::state::{
    clock::Time,
    fleet::member::{Member, Phase},
    serving::directory,
};

fn member(host: u8, domain: &str, phase: Phase) -> Member {
    Member {
        caller_address: ([10, 0, 0, host], 80).into(),
        capacity: 1,
        clock: Time::ZERO,
        demand: Default::default(),
        domain: domain.into(),
        endpoints: 0,
        era: 0,
        evacuations: 0,
        host: format!("h{host}").into(),
        incarnation: Default::default(),
        outstanding: 0,
        peer_address: ([10, 0, 0, host], 81).into(),
        phase,
        settings: 0,
    }
}

#[test]
fn hosts_of_the_callers_domain_come_first() {
    let members = [
        member(1, "a", Phase::Alive),
        member(2, "b", Phase::Alive),
        member(3, "b", Phase::Leaving),
        member(4, "b", Phase::Suspect),
        member(5, "b", Phase::Gone),
    ];
    let addresses = directory::addresses(members.iter(), Some(&"b".into()));
    let expected = ["10.0.0.2:80", "10.0.0.1:80"].map(|address| address.parse().unwrap());
    assert_eq!(addresses, expected);
}

#[test]
fn number_of_addresses_is_bounded() {
    let members = (0..200).map(|host| member(host, "a", Phase::Alive));
    let members = members.collect::<Vec<Member>>();
    assert_eq!(directory::addresses(members.iter(), None).len(), 64);
}
