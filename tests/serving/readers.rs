//! A few hosts must read the store, the others must find them, and a small
//! fleet must not depend on anyone.

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
fn small_fleet_reads_everywhere() {
    assert_eq!(readers(&members(8)), 8);
}

#[test]
fn large_fleet_has_few_readers() {
    assert_eq!(readers(&members(91)), READERS);
}

#[test]
fn followers_spread_over_all_readers() {
    let members = members(300);
    let mut first = std::collections::BTreeMap::<_, usize>::new();

    for member in &members {
        if let Role::Follow(readers) = role(&member.host, members.iter()) {
            assert_eq!(readers.len(), READERS);
            *first.entry(readers[0]).or_default() += 1;
        }
    }

    assert_eq!(first.len(), READERS);
    assert!(first.values().all(|followers| *followers < 80), "{first:?}");
}
