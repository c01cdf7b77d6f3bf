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
        headroom: None,
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

/// Returns the fleet of one large deployment, in which the hosts of `changed` have
/// another headroom.
fn busy(changed: &[(u16, u8)]) -> Vec<Member> {
    let members = (1..HOSTS).map(|number| Member {
        headroom: Some(100),
        ..member(number)
    });
    let mut members = members.collect::<Vec<Member>>();

    for (number, headroom) in changed {
        let changed = members
            .iter_mut()
            .find(|member| member.peer_address == address(*number));
        changed.unwrap().headroom = Some(*headroom);
    }

    members
}

/// Returns the number of the host that dispatches, according to a small one.
fn dispatcher(members: &[Member]) -> u16 {
    let chosen = first(7, members, &[]);
    (0..HOSTS)
        .find(|number| address(*number) == chosen)
        .unwrap()
}

/// Guards against a role that moves with each step of the headroom: the work of a
/// dispatcher lowers its own.
#[test]
fn small_changes_of_headroom_keep_the_dispatcher() {
    let chosen = dispatcher(&busy(&[]));

    for headroom in [75, 50] {
        assert_eq!(dispatcher(&busy(&[(chosen, headroom)])), chosen);
    }

    let others = (1..HOSTS).filter(|number| *number != chosen);
    let others = others.map(|number| (number, 75)).collect::<Vec<_>>();
    assert_eq!(dispatcher(&busy(&others)), chosen);
}

#[test]
fn host_slowed_five_times_loses_its_role_and_gets_it_back() {
    let chosen = dispatcher(&busy(&[]));
    let next = dispatcher(&busy(&[(chosen, 1)]));
    assert_ne!(next, chosen);
    // A large host with half of its capacity takes the role, no small one.
    assert!(next.is_multiple_of(16));
    assert_eq!(dispatcher(&busy(&[(chosen, 100)])), chosen);
}

/// Guards against hosts that disagree because some of them report no headroom.
#[test]
fn hosts_without_a_report_count_as_before() {
    let members = (1..HOSTS).map(member).collect::<Vec<Member>>();
    assert_eq!(first(7, &members, &[]), first(7, &busy(&[]), &[]));
}
