//! In a large fleet, a few hosts must read the store and the others follow
//! them. In a small fleet, no host may depend on another.

use persimmoncleat::state::{
    clock::Time,
    fleet::member::{Member, Phase},
    serving::readers::{READERS, Role, role},
};

fn members(count: u16) -> Vec<Member> {
    (0..count)
        .map(|host| Member {
            caller_address: ([127, 0, 0, 1], 1000 + host).into(),
            capacity: 1,
            clock: Time::ZERO,
            demand: Default::default(),
            domain: "a".into(),
            host: format!("h{host}").into(),
            incarnation: Default::default(),
            outstanding: 0,
            peer_address: ([127, 0, 0, 1], 2000 + host).into(),
            phase: Phase::Alive,
            settings: 0,
        })
        .collect()
}

fn readers(members: &[Member]) -> usize {
    let reads = |member: &&Member| role(&member.host, members.iter()) == Role::Read;
    members.iter().filter(reads).count()
}

#[test]
fn every_host_of_a_small_fleet_reads_the_store() {
    assert_eq!(readers(&members(8)), 8);
}

#[test]
fn large_fleet_has_few_readers() {
    assert_eq!(readers(&members(91)), READERS);
}

#[test]
fn followers_spread_over_all_readers() {
    let members = members(300);
    let mut followers_by_reader = std::collections::BTreeMap::<_, usize>::new();

    for member in &members {
        if let Role::Follow(readers) = role(&member.host, members.iter()) {
            assert_eq!(readers.len(), READERS);
            *followers_by_reader.entry(readers[0]).or_default() += 1;
        }
    }

    assert_eq!(followers_by_reader.len(), READERS);
    assert!(
        followers_by_reader
            .values()
            .all(|followers| *followers < 80),
        "{followers_by_reader:?}"
    );
}
