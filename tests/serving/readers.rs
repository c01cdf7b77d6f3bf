//! In a large fleet, a few hosts must read the store and the others follow
//! them. In a small fleet, no host may depend on another.

use {
    persimmoncleat::state::{
        clock::Time,
        fleet::member::{Member, Phase},
        serving::readers::{READERS, Ranking, Role, SMALL_FLEET, pause},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Returns the members of a fleet of equal hosts.
pub fn members(count: u16) -> Vec<Member> {
    (0..count)
        .map(|host| Member {
            caller_address: ([127, 0, 0, 1], 1000 + host).into(),
            capacity: 1,
            clock: Time::ZERO,
            demand: Default::default(),
            domain: DOMAINS[usize::from(host) % DOMAINS.len()].into(),
            endpoints: 0,
            era: 0,
            evacuations: 0,
            host: format!("h{host}").into(),
            incarnation: Default::default(),
            outstanding: 0,
            peer_address: ([127, 0, 0, 1], 2000 + host).into(),
            phase: Phase::Alive,
            settings: 0,
        })
        .collect()
}

/// Returns the role of every host, all of which have failed equally often.
fn roles(members: &[Member], failures: u32) -> Vec<(&Member, Role)> {
    let role = |member: &Member| Ranking::new(&member.host, members.iter()).role(failures);
    members
        .iter()
        .map(|member| (member, role(member)))
        .collect()
}

fn readers(members: &[Member], failures: u32) -> Vec<&Member> {
    let roles = roles(members, failures).into_iter();
    let readers = roles.filter(|(_, role)| !matches!(role, Role::Follow(_)));
    readers.map(|(member, _)| member).collect()
}

macro_rules! reader_counts {
    ($($(#[$doc:meta])* $name:ident: $hosts:expr, $failures:expr => $readers:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(readers(&members($hosts), $failures).len(), $readers);
            }
        )*
    };
}

reader_counts! {
    every_host_of_a_small_fleet_reads_the_store: SMALL_FLEET as u16, 0 => SMALL_FLEET;
    large_fleet_has_few_readers: 295, 0 => READERS;
    readers_stay_few_while_one_is_left_to_ask: 295, READERS as u32 - 1 => READERS;
    /// Guards against a fleet whose readers have all been turned away by the
    /// store and that nobody replaces.
    more_hosts_read_once_all_readers_have_failed: 295, READERS as u32 => 3 * READERS;
    /// Guards against a call rate that follows the size of the fleet during a
    /// short outage of the store.
    readers_are_a_fraction_of_the_fleet_after_two_rounds: 295, 2 * READERS as u32 => 9 * READERS;
    every_host_reads_after_a_long_time_without_readers: 295, 4 * READERS as u32 => 295;
}

#[test]
fn readers_are_in_different_domains() {
    let members = members(295);
    let readers = readers(&members, 0);
    let domains = readers.iter().map(|reader| &reader.domain);
    assert_eq!(domains.collect::<BTreeSet<_>>().len(), READERS);
}

/// Guards against a reader whose link takes longer to send a large configuration
/// to its followers than hosts may take to apply it.
#[test]
fn readers_are_the_largest_hosts() {
    let mut members = members(295);

    for member in members.iter_mut().step_by(16) {
        member.capacity = 4;
    }

    let readers = readers(&members, 0);
    assert!(readers.iter().all(|reader| reader.capacity == 4));
}

#[test]
fn followers_spread_over_all_readers() {
    let members = members(300);
    let mut followers_by_reader = BTreeMap::<SocketAddr, usize>::new();

    for (_, role) in roles(&members, 0) {
        if let Role::Follow(reader) = role {
            *followers_by_reader.entry(reader).or_default() += 1;
        }
    }

    assert_eq!(followers_by_reader.len(), READERS);
    let mean = members.len() / READERS;
    assert!(
        followers_by_reader
            .values()
            .all(|followers| *followers < 2 * mean),
        "{followers_by_reader:?}"
    );
}

/// Guards against a host that asks the same failed reader again.
#[test]
fn follower_asks_each_reader_once_before_it_asks_others() {
    let members = members(295);
    let readers = readers(&members, 0);
    let known = readers.iter().map(|reader| reader.peer_address);
    let known = known.collect::<BTreeSet<SocketAddr>>();
    let local = members.iter().find(|member| !readers.contains(member));
    let ranking = Ranking::new(&local.unwrap().host, members.iter());
    let asked = (0..READERS as u32).filter_map(|failures| match ranking.role(failures) {
        Role::Follow(reader) => Some(reader),
        Role::Read | Role::ReadFor(_) => None,
    });
    assert_eq!(asked.collect::<BTreeSet<SocketAddr>>(), known);
}

/// Guards against a number of calls that follows the size of the fleet in an
/// outage of the store of eight seconds.
#[test]
fn outage_of_eight_seconds_adds_few_readers() {
    let members = members(295);
    let ranking = Ranking::new(&members[0].host, members.iter());
    let (mut failures, mut waited) = (1, Duration::ZERO);

    while waited < Duration::from_secs(8) {
        waited += pause(ranking.role(failures), failures);
        failures += 1;
    }

    assert!(readers(&members, failures - 1).len() <= 9 * READERS);
}

/// Guards against hosts that learn too late that an endpoint leaves while the
/// store ignores all readers: from the first failure on, the next hosts have to
/// read the store within a second.
#[test]
fn replacements_read_within_a_second_of_the_first_failure() {
    let members = members(89);
    let local = &members[0];
    let ranking = Ranking::new(&local.host, members.iter());
    let wait = (1..READERS as u32).map(|failures| pause(ranking.role(failures), failures));
    assert!(wait.sum::<Duration>() < Duration::from_secs(1));
}

/// Guards against a large configuration that small links carry to many followers
/// after all readers have failed.
#[test]
fn followers_turn_to_the_largest_replacements() {
    let mut members = members(90);

    for member in members.iter_mut().take(8) {
        member.capacity = 50;
    }

    let mut followers = BTreeMap::<u32, usize>::new();

    for (_, role) in roles(&members, READERS as u32) {
        if let Role::Follow(reader) = role {
            let reader = members.iter().find(|member| member.peer_address == reader);
            *followers.entry(reader.unwrap().capacity).or_default() += 1;
        }
    }

    let small = followers.get(&1).copied().unwrap_or(0);
    assert!(small <= 8, "{followers:?}");
}
