//! Which hosts dispatch the pieces of a service.

use {
    persimmoncleat::state::{
        clock::Time,
        fleet::{
            member::{Member, Phase},
            record::Record,
        },
        serving::dispatchers::{Fleet, rank},
    },
    std::{
        collections::{BTreeSet, HashSet},
        net::SocketAddr,
    },
};

const HOSTS: u16 = 295;

fn member(number: u16) -> Member {
    Member {
        caller_address: ([127, 0, 0, 1], 1000 + number).into(),
        capacity: if number.is_multiple_of(16) { 50 } else { 12 },
        clock: Time::ZERO,
        demand: Default::default(),
        domain: "d".into(),
        endpoints: 0,
        era: 0,
        evacuations: 0,
        host: format!("h{number}").into(),
        incarnation: Default::default(),
        outstanding: 0,
        peer_address: address(number),
        phase: Phase::Alive,
        settings: 0,
    }
}

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 2000 + number).into()
}

fn records() -> Vec<Record> {
    let records = (0..HOSTS).map(member).map(|member| Record {
        capacity: member.capacity,
        host: member.host,
        peer_address: member.peer_address,
    });
    records.collect()
}

/// Returns the first dispatcher that a host chooses.
fn first(local: u16, members: &[Member], registered: &[Record]) -> SocketAddr {
    let local = member(local);
    let fleet = Fleet {
        local: Some(&local),
        members,
        registered,
        unreachable: &HashSet::new(),
    };
    rank(&"s".into(), fleet)[0].unwrap_or(local.peer_address)
}

/// Guards against hosts that all dispatch on their own after a loss of power, so
/// that their calls meet at the same endpoints.
#[test]
fn hosts_that_start_at_once_choose_the_same_dispatcher() {
    let registered = records();
    // Each host has heard of a few others.
    let choices = (0..HOSTS).map(|local| {
        let heard = [local / 2, local / 3 + 100, local / 5 + 200];
        first(local, &heard.map(member), &registered)
    });
    assert_eq!(choices.collect::<BTreeSet<_>>().len(), 1);
}

#[test]
fn all_members_and_registered_hosts_give_the_same_order() {
    let members = (1..HOSTS).map(member).collect::<Vec<Member>>();
    assert_eq!(first(0, &members, &[]), first(0, &[], &records()));
}

/// Guards against a dispatcher that is known to be suspected or leaving, but is
/// registered.
#[test]
fn registered_host_that_is_not_alive_is_passed_over() {
    let registered = records();
    let chosen = first(0, &[], &registered);
    let number = (0..HOSTS)
        .find(|number| address(*number) == chosen)
        .unwrap();
    let leaving = Member {
        phase: Phase::Leaving,
        ..member(number)
    };
    assert_ne!(first(0, &[leaving], &registered), chosen);
}

#[test]
fn registered_host_that_is_unreachable_is_passed_over() {
    let registered = records();
    let local = member(0);
    let chosen = first(0, &[], &registered);
    let fleet = Fleet {
        local: Some(&local),
        members: &[],
        registered: &registered,
        unreachable: &HashSet::from([chosen]),
    };
    assert!(!rank(&"s".into(), fleet).contains(&Some(chosen)));
}

#[test]
fn host_that_knows_nobody_dispatches_itself() {
    assert_eq!(first(7, &[], &[]), address(7));
}
