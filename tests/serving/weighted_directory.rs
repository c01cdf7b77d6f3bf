//! A weighted directory must give each host callers by its capacity, and each caller
//! nearly the same hosts at all times.

use {
    persimmoncleat::state::{
        clock::Time,
        fleet::member::{Member, Phase},
        serving::directory::weighted_addresses,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
    },
};

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];

/// Number of addresses in an answer if there are more hosts.
const ADDRESSES: usize = 24;

/// Hosts of each size: their number and capacity. The sizes are the percentages of a
/// core that the settings of the two deployments give.
type Sizes = &'static [(u8, u32)];

const DEPLOYMENT_R: Sizes = &[(78, 5), (8, 50)];
const DEPLOYMENT_B: Sizes = &[(55, 5), (18, 12), (8, 50)];

fn member(host: u8, capacity: u32) -> Member {
    Member {
        caller_address: address(host),
        capacity,
        clock: Time::ZERO,
        demand: Default::default(),
        domain: DOMAINS[usize::from(host) % DOMAINS.len()].into(),
        endpoints: 0,
        era: 0,
        evacuations: 0,
        host: format!("h{host}").into(),
        incarnation: Default::default(),
        outstanding: 0,
        peer_address: ([10, 0, 0, host], 81).into(),
        phase: Phase::Alive,
        settings: 0,
    }
}

fn address(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 80).into()
}

fn fleet(sizes: Sizes) -> Vec<Member> {
    let capacities = sizes.iter();
    let capacities =
        capacities.flat_map(|(count, capacity)| std::iter::repeat_n(*capacity, (*count).into()));
    (0..)
        .zip(capacities)
        .map(|(host, capacity)| member(host, capacity))
        .collect()
}

fn caller(number: u16) -> IpAddr {
    let [high, low] = number.to_be_bytes();
    IpAddr::from([172, 16, high, low])
}

fn answer(members: &[Member], number: u16) -> Vec<SocketAddr> {
    weighted_addresses(members.iter(), caller(number))
}

/// Returns the number of connections of each host, in the order of the members, if
/// each of `callers` opens one to each address of its answer.
fn connections(members: &[Member], callers: impl Iterator<Item = u16>) -> Vec<usize> {
    let mut counts = BTreeMap::new();

    for address in callers.flat_map(|number| answer(members, number)) {
        *counts.entry(address).or_default() += 1;
    }

    let counts = members
        .iter()
        .map(|member| counts.get(&member.caller_address));
    counts.map(|count| count.copied().unwrap_or(0)).collect()
}

/// Returns the mean number of connections of the hosts with a capacity.
fn mean(members: &[Member], connections: &[usize], capacity: u32) -> f64 {
    let counts = members.iter().zip(connections);
    let counts = counts.filter(|(member, _)| member.capacity == capacity);
    let counts = counts.map(|(_, count)| *count).collect::<Vec<usize>>();
    counts.iter().sum::<usize>() as f64 / counts.len() as f64
}

/// Asserts that hosts get callers by their capacity. An answer holds each host once,
/// so the largest hosts are in nearly every answer and cannot have more than that.
macro_rules! shares {
    ($($name:ident: $sizes:expr, $size:expr => $small:expr, $ratio:expr;)*) => {$(
        #[test]
        fn $name() {
            const CALLERS: u16 = 4000;
            let members = fleet($sizes);
            let connections = connections(&members, 0..CALLERS);
            let small = mean(&members, &connections, $small);
            let large = mean(&members, &connections, $size);
            assert!(large / small >= $ratio, "{large} / {small}");
            assert!(large <= f64::from(CALLERS));
            // Equal hosts get equal shares; 20 % is four standard deviations of the
            // smallest ones.
            for (member, count) in members.iter().zip(&connections) {
                let mean = mean(&members, &connections, member.capacity);
                assert!((*count as f64 / mean - 1.0).abs() < 0.2, "{count} of {mean}");
            }
        }
    )*};
}

shares! {
    large_hosts_of_r_get_more_callers: DEPLOYMENT_R, 50 => 5, 4.0;
    large_hosts_of_b_get_more_callers: DEPLOYMENT_B, 50 => 5, 4.0;
    medium_hosts_of_b_get_more_callers: DEPLOYMENT_B, 12 => 5, 2.0;
}

/// Guards against a small host whose connections all come from the callers that the
/// large hosts do not take: where no host is in every answer, callers are in
/// proportion to capacity.
#[test]
fn callers_are_in_proportion_to_capacity() {
    let members = fleet(&[(100, 5), (100, 10)]);
    let connections = connections(&members, 0..4000);
    let ratio = mean(&members, &connections, 10) / mean(&members, &connections, 5);
    assert!((1.8..2.1).contains(&ratio), "{ratio}");
}

/// Guards against callers that all lose their connections when one host stops, or
/// move to it when it starts.
#[test]
fn answers_stay_nearly_the_same_when_a_host_comes_or_goes() {
    let members = fleet(DEPLOYMENT_R);

    for gone in [0, 40, 80] {
        let mut others = members.clone();
        others.remove(gone);

        for number in 0..200 {
            let before = answer(&members, number);
            let after = answer(&others, number);
            let kept = after.iter().filter(|address| before.contains(address));
            assert!(kept.count() >= ADDRESSES - 1);
        }
    }
}

#[test]
fn answer_of_a_caller_does_not_depend_on_the_order_of_members() {
    let members = fleet(DEPLOYMENT_B);
    let reversed = members.iter().rev().cloned().collect::<Vec<Member>>();
    assert_eq!(answer(&members, 7), answer(&reversed, 7));
    let mapped = "::ffff:172.16.0.7".parse().unwrap();
    assert_eq!(
        answer(&members, 7),
        weighted_addresses(members.iter(), mapped)
    );
}

/// Guards against hosts that drown in the callers that move to their domain: callers
/// of one domain use the hosts of all.
#[test]
fn hosts_keep_their_load_when_half_of_the_callers_move() {
    let members = fleet(DEPLOYMENT_B);
    // The caller's domain is no part of the answer, so those who move keep theirs.
    let before = connections(&members, 0..2000);
    let after = connections(&members, (0..1000).chain(5000..6000));

    for ((member, before), after) in members.iter().zip(before).zip(after) {
        let ratio = after as f64 / before as f64;
        assert!((0.7..1.4).contains(&ratio), "{}: {ratio}", member.host);
    }
}

/// Guards against callers without a host, and hosts that get all of the callers of a
/// lost domain.
#[test]
fn callers_spread_over_the_others_when_a_domain_is_lost() {
    let members = fleet(DEPLOYMENT_R);
    let lost = members[0].domain.clone();
    let others = members.iter().filter(|member| member.domain != lost);
    let others = others.cloned().collect::<Vec<Member>>();
    let before = connections(&others, 0..1000);

    for number in 0..200 {
        let (before, after) = (answer(&members, number), answer(&others, number));
        let remaining = others.iter().map(|member| member.caller_address);
        let remaining = remaining.collect::<BTreeSet<SocketAddr>>();
        assert_eq!(after.len(), ADDRESSES);
        let mut kept = before.iter().filter(|address| remaining.contains(address));
        assert!(kept.all(|address| after.contains(address)));
    }

    let mean = mean(&others, &before, 5);
    let small = others.iter().zip(&before);
    let mut small = small.filter(|(member, _)| member.capacity == 5);
    assert!(small.all(|(_, count)| (*count as f64) < mean * 1.5));
}

#[test]
fn every_domain_is_represented() {
    let mut members = fleet(&[(100, 50)]);
    // One domain has a single small host.
    members.push(Member {
        domain: "z".into(),
        ..member(200, 1)
    });

    for number in 0..500 {
        let answer = answer(&members, number);
        assert_eq!(answer.len(), ADDRESSES);
        assert!(answer.contains(&address(200)));
    }
}

#[test]
fn small_fleet_is_listed_whole() {
    let members = fleet(&[(20, 5), (2, 50)]);
    let listed = answer(&members, 3).into_iter().collect::<BTreeSet<_>>();
    assert_eq!(listed.len(), 22);
    assert!(answer(&[], 3).is_empty());
}

#[test]
fn hosts_that_are_not_alive_never_appear() {
    let mut members = fleet(&[(12, 50)]);
    members[0].phase = Phase::Leaving;
    members[1].phase = Phase::Gone;
    members[2].phase = Phase::Suspect;

    for number in 0..100 {
        let answer = answer(&members, number);
        assert_eq!(answer.len(), 9);
        assert!((0..3).all(|host| !answer.contains(&address(host))));
    }
}

/// Guards against an address that fills several places, after a host was started
/// again under another id.
#[test]
fn shared_address_is_listed_once() {
    let mut members = fleet(&[(3, 5)]);
    members[1].caller_address = address(0);
    assert_eq!(answer(&members, 1).len(), 2);
}
