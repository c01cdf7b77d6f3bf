//! Tests of the membership protocol on virtual time: failure detection, new
//! incarnations, partitions and planned stops.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/simulation.rs"]
mod simulation;

use {
    fleet::member,
    persimmoncleat::state::{
        clock::Time,
        fleet::gossip::Message,
        fleet::member::{Member, Phase},
        fleet::membership::Membership,
        fleet::membership_action::Action,
        fleet::membership_event::Event,
        id::Incarnation,
    },
    simulation::Simulation,
};

const HOSTS: usize = 5;
/// One second in milliseconds.
const SECOND: u64 = 1000;

fn converged_fleet() -> Simulation {
    let mut fleet = Simulation::new(HOSTS, 8);
    fleet.run(10 * SECOND);
    assert_all_alive(&fleet);
    fleet
}

fn pairs() -> impl Iterator<Item = (usize, usize)> {
    (0..HOSTS).flat_map(|a| (0..HOSTS).filter(move |b| a != *b).map(move |b| (a, b)))
}

fn assert_all_alive(fleet: &Simulation) {
    for (observer, host) in pairs() {
        let phase = fleet.phase(observer, host);
        assert_eq!(phase, Some(Phase::Alive), "host {observer} sees {host}");
    }
}

fn isolate(fleet: &mut Simulation, host: usize) {
    (0..HOSTS)
        .filter(|peer| *peer != host)
        .for_each(|peer| fleet.cut(host, peer));
}

fn incarnation(fleet: &Simulation, host: usize) -> Incarnation {
    fleet.nodes[host].local.incarnation
}

/// Guards against a killed host that stays listed, so that tickets and callers
/// are still sent to it.
#[test]
fn killed_host_is_removed_within_sixteen_periods() {
    let mut fleet = converged_fleet();
    fleet.nodes[3].up = false;
    fleet.run(8 * SECOND);

    for observer in [0, 1, 2, 4] {
        assert!(!fleet.lists(observer, 3), "host {observer}");
    }
}

/// Guards against a removal that reaches a host only through its own probe of the
/// killed host; a round of probes takes 20 periods in this fleet.
#[test]
fn removal_spreads_faster_than_a_round_of_probes() {
    let mut fleet = Simulation::new(60, 8);
    fleet.run(20 * SECOND);
    fleet.nodes[3].up = false;
    fleet.run(8 * SECOND);
    assert!((0..60).all(|observer| observer == 3 || !fleet.lists(observer, 3)));
}

/// Guards against a suspicion that persists after its refutation.
#[test]
fn suspected_host_keeps_its_incarnation() {
    let mut fleet = converged_fleet();
    let before = incarnation(&fleet, 2);
    isolate(&mut fleet, 2);
    fleet.run(5 * SECOND / 2);
    assert_eq!(fleet.phase(0, 2), Some(Phase::Suspect));

    fleet.heal_all();
    fleet.run(10 * SECOND);
    assert_all_alive(&fleet);
    assert_eq!(incarnation(&fleet, 2), before);
}

/// Guards against the removal of a host because of one broken link.
#[test]
fn one_cut_link_leaves_both_hosts_alive() {
    let mut fleet = converged_fleet();
    fleet.cut(1, 2);

    for _ in 0..600 {
        fleet.run(SECOND / 10);
        assert_all_alive(&fleet);
    }

    fleet.heal(1, 2);
    fleet.run(SECOND);
    assert_all_alive(&fleet);
}

/// Guards against a host that resumes under an incarnation that others declared
/// gone, or accepts requests before a peer has received its new incarnation.
#[test]
fn resumed_host_is_alive_only_after_an_answer_to_its_new_incarnation() {
    let mut fleet = converged_fleet();
    let before = incarnation(&fleet, 2);
    fleet.nodes[2].frozen = true;
    fleet.run(30 * SECOND);
    assert!(!fleet.lists(0, 2));

    isolate(&mut fleet, 2);
    fleet.nodes[2].frozen = false;
    let gone_message = Message {
        from: fleet.nodes[0].local.clone(),
        known: 0,
        news: Box::default(),
        updates: vec![Member {
            phase: Phase::Gone,
            ..fleet.nodes[2].local.clone()
        }],
    };
    let resumed = &mut fleet.nodes[2];
    let now = resumed.local.clock;
    let answer = resumed
        .machine
        .handle_probe(now, &mut resumed.local, gone_message);
    assert!(answer.from.incarnation > before);
    assert_eq!(answer.from.phase, Phase::Alive);
    assert_eq!(fleet.nodes[2].local.phase, Phase::Gone);
    assert_eq!(fleet.nodes[2].machine.last_peer_answer(), None);

    fleet.heal_all();
    fleet.run(10 * SECOND);
    assert_all_alive(&fleet);
    assert_eq!(fleet.nodes[2].local.phase, Phase::Alive);
}

/// Guards against hosts that stay separated after their records of each other
/// have expired.
#[test]
fn long_partition_heals_under_a_new_incarnation() {
    let mut fleet = converged_fleet();
    let before = incarnation(&fleet, 4);
    isolate(&mut fleet, 4);
    fleet.run(700 * SECOND);
    assert!(!fleet.lists(0, 4));

    fleet.heal_all();
    fleet.run(20 * SECOND);
    assert_all_alive(&fleet);
    assert!(incarnation(&fleet, 4) > before);
}

/// Guards against a restarted host that stays unlisted because its wall clock was
/// set back.
#[test]
fn restarted_host_replaces_its_earlier_incarnation() {
    let mut fleet = converged_fleet();
    let before = incarnation(&fleet, 1);
    fleet.nodes[1].up = false;
    fleet.restart(1, 600 * SECOND);
    assert!(incarnation(&fleet, 1) < before);

    fleet.run(10 * SECOND);
    assert_all_alive(&fleet);
    assert!(incarnation(&fleet, 1) > before);
}

/// Guards against callers who are sent to a host that is stopping.
#[test]
fn leaving_phase_reaches_every_host_within_200_ms() {
    let mut fleet = converged_fleet();
    fleet.leave(0);
    fleet.run(SECOND / 5);

    for observer in 1..HOSTS {
        assert_eq!(fleet.phase(observer, 0), Some(Phase::Leaving));
    }
}

/// Guards against a host that declares its peers gone because it was itself
/// frozen while it suspected them.
#[test]
fn resumed_host_does_not_remove_its_peers() {
    let mut fleet = converged_fleet();
    isolate(&mut fleet, 0);
    fleet.run(2 * SECOND);
    fleet.nodes[0].frozen = true;
    fleet.run(5 * SECOND);
    fleet.nodes[0].frozen = false;
    fleet.run(SECOND / 10);

    for host in 1..HOSTS {
        assert!(fleet.lists(0, host), "host {host}");
    }
}

fn probe(
    machine: &mut Membership,
    local: &mut Member,
    from: &Member,
    updates: &[Member],
) -> Message {
    let updates = updates.to_vec();
    let from = from.clone();
    let message = Message {
        from,
        known: 0,
        news: Box::default(),
        updates,
    };
    machine.handle_probe(Time::from_millis(1), local, message)
}

/// Guards against an earlier incarnation that is listed again after its record
/// has expired.
#[test]
fn expired_incarnation_is_not_listed_again() {
    let mut machine = Membership::default();
    let mut local = member("a", "is-1", 1);
    let (peer, other) = (member("b", "is-1", 2), member("c", "is-1", 3));
    let gone = Member {
        phase: Phase::Gone,
        ..peer.clone()
    };
    probe(&mut machine, &mut local, &peer, &[]);
    probe(&mut machine, &mut local, &other, &[gone]);

    for seconds in [700, 701] {
        let tick = Event::Tick;
        let now = Time::from_millis(seconds * SECOND);
        machine.handle(now, &mut local, tick, &mut Vec::new());
    }

    let later = Member {
        clock: Time::from_millis(900 * SECOND),
        ..peer.clone()
    };
    probe(
        &mut machine,
        &mut local,
        &other,
        std::slice::from_ref(&later),
    );
    let answer = probe(&mut machine, &mut local, &later, &[]);
    assert!(
        machine
            .members()
            .iter()
            .all(|member| member.host != peer.host)
    );
    assert!(answer.updates.iter().any(|update| update.host == peer.host
        && update.phase == Phase::Gone
        && update.incarnation == peer.incarnation));

    let renewed = Member {
        incarnation: Incarnation(2),
        ..peer.clone()
    };
    probe(&mut machine, &mut local, &renewed, &[]);
    assert!(machine.members().contains(&renewed));
}

/// Answers the probe in `actions` as host b.
fn answer(actions: &[Action]) -> Event {
    let [Action::Probe { probe, .. }] = *actions else {
        panic!("{actions:?}");
    };
    let message = Message {
        from: member("b", "is-1", 2),
        known: 0,
        news: Box::default(),
        updates: Vec::new(),
    };

    Event::Answered { message, probe }
}

/// Guards against a host that becomes alive under a new incarnation because of an
/// answer to the old one.
#[test]
fn answer_to_the_old_incarnation_is_ignored() {
    let mut machine = Membership::new([member("b", "is-1", 2).peer_address], 8);
    let mut local = member("a", "is-1", 1);
    let mut actions = Vec::new();
    machine.handle(Time::ZERO, &mut local, Event::Tick, &mut actions);

    let gone = Member {
        phase: Phase::Gone,
        ..local.clone()
    };
    probe(&mut machine, &mut local, &member("c", "is-1", 3), &[gone]);
    machine.handle(Time::ZERO, &mut local, answer(&actions), &mut Vec::new());
    assert_eq!(local.phase, Phase::Gone);
    assert_eq!(machine.last_peer_answer(), None);
}

/// Guards against two processes with the same host id that replace each other
/// forever with higher incarnations.
#[test]
fn replaced_process_leaves() {
    let mut machine = Membership::new([member("b", "is-1", 2).peer_address], 8);
    let mut local = member("a", "is-1", 1);
    let peer = member("b", "is-1", 2);
    let mut actions = Vec::new();
    machine.handle(Time::ZERO, &mut local, Event::Tick, &mut actions);
    machine.handle(Time::ZERO, &mut local, answer(&actions), &mut actions);

    let successor = Member {
        incarnation: Incarnation(9),
        ..member("a", "is-1", 5)
    };
    probe(&mut machine, &mut local, &peer, &[successor]);
    assert_eq!(local.phase, Phase::Leaving);
    assert_eq!(local.incarnation, Incarnation(1));
}

/// Guards against messages, or numbers of probes per period, that grow with the
/// fleet.
#[test]
fn messages_and_probes_per_period_are_bounded() {
    let mut machine = Membership::new([], 8);
    let mut local = member("a", "is-1", 1);

    for port in 0..300 {
        let peer = member(&format!("p{port}"), "is-1", 1000 + port);
        let answer = probe(&mut machine, &mut local, &peer, &[]);
        assert!(answer.updates.len() <= 16, "{}", answer.updates.len());
    }

    let mut actions = Vec::new();
    machine.handle(Time::ZERO, &mut local, Event::Tick, &mut actions);
    assert_eq!(actions.len(), 3);
}

/// Guards against hosts that use different dispatchers for seconds after all of
/// them lost power: until they know each other, the endpoints receive calls from
/// many dispatchers and refuse most of them.
#[test]
fn hosts_of_a_large_fleet_that_starts_at_once_know_each_other_soon() {
    const LARGE: usize = 150;
    let mut fleet = Simulation::new(LARGE, 8);
    fleet.run(2 * SECOND);

    for observer in 0..LARGE {
        let others = (0..LARGE).filter(|host| *host != observer);
        let known = others.filter(|host| fleet.lists(observer, *host)).count();
        assert!(known * 10 >= LARGE * 9, "host {observer} knows {known}");
    }
}
