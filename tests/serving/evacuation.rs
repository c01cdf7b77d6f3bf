//! Nothing may be sent to the endpoints of an evacuated failure domain.

use {
    persimmoncleat::state::{
        clock::Time,
        id,
        serving::{
            cold::Cold,
            evacuation::{Change, Evacuations},
            restoration::RETURN_TIME,
            roster::{Entry, Roster},
        },
    },
    std::time::Duration,
};

const NOW: Time = Time::from_millis(10_000);

const LATER: Duration = Duration::from_millis(700);

fn roster() -> Roster {
    let entry = |number: u16, domain: &str, leaving| Entry {
        address: ([127, 0, 0, 1], 1000 + number).into(),
        cold: Cold::default(),
        domain: domain.into(),
        endpoint: format!("e{number}").into(),
        incarnation: 1,
        leaving,
        service: "s".into(),
        slots: 1,
    };
    Roster::new([
        entry(0, "a", false),
        entry(1, "a", true),
        entry(2, "b", false),
    ])
}

fn update(evacuations: &mut Evacuations, now: Time, names: &[&str]) -> Vec<Change> {
    evacuations.update(now, names.iter().map(|name| id::Domain::from(*name)))
}

fn open(evacuations: &Evacuations) -> Vec<String> {
    let roster = Roster::new(evacuations.close(&roster()));
    let service = "s".into();
    let open = roster.open(&service);
    open.map(|entry| entry.endpoint.as_str().to_owned())
        .collect()
}

/// Guards against work for an evacuated domain, and against endpoints that stay closed
/// or open by mistake after the evacuation.
#[test]
fn endpoints_of_an_evacuated_domain_are_closed_until_it_ends() {
    let mut evacuations = Evacuations::default();
    let began = vec![Change::Began("a".into())];
    assert_eq!(update(&mut evacuations, NOW, &["a"]), began);
    assert_eq!(open(&evacuations), ["e2"]);
    assert_eq!(update(&mut evacuations, NOW + LATER, &["a"]), []);
    let ended = vec![Change::Ended("a".into(), LATER)];
    assert_eq!(update(&mut evacuations, NOW + LATER, &[]), ended);
    // The endpoint that leaves by itself is still closed.
    assert_eq!(open(&evacuations), ["e0", "e2"]);
}

/// Guards against a host that starts during an evacuation and sends work to the domain
/// before it knows of it.
#[test]
fn all_domains_are_closed_before_the_first_listing() {
    let mut evacuations = Evacuations::default();
    assert!(!evacuations.are_listed());
    assert!(open(&evacuations).is_empty());
    assert_eq!(update(&mut evacuations, NOW, &[]), []);
    assert!(evacuations.are_listed());
    assert_eq!(open(&evacuations), ["e0", "e2"]);
}

/// Guards against a host that waits for a listing that it never requests.
#[test]
fn host_that_does_not_follow_evacuations_closes_nothing() {
    let evacuations = Evacuations::unfollowed();
    assert!(evacuations.are_listed());
    assert_eq!(open(&evacuations), ["e0", "e2"]);
}

/// Guards against an evacuation that is lost because its domain has no endpoint yet.
#[test]
fn evacuation_of_a_domain_without_endpoints_is_kept() {
    let mut evacuations = Evacuations::default();
    update(&mut evacuations, NOW, &["unknown"]);
    assert_eq!(open(&evacuations), ["e0", "e2"]);
    assert!(evacuations.includes(&"unknown".into()));
    assert_eq!(update(&mut evacuations, NOW, &["unknown", "b"]).len(), 1);
    assert_eq!(open(&evacuations), ["e0"]);
}

/// Guards against work for an evacuated domain that the copy lacks from which the store
/// was restored, and against a domain that stays closed because of it.
#[test]
fn evacuation_that_a_restored_copy_lacks_is_kept_for_a_while() {
    let mut evacuations = Evacuations::default();
    update(&mut evacuations, NOW, &["a"]);
    evacuations.keep(NOW);
    assert_eq!(update(&mut evacuations, NOW + LATER, &[]), []);
    assert_eq!(open(&evacuations), ["e2"]);
    let end = NOW + RETURN_TIME;
    assert!(evacuations.is_due(end));
    assert_eq!(update(&mut evacuations, end, &[]).len(), 1);
    assert_eq!(open(&evacuations), ["e0", "e2"]);
}

/// Guards against a domain that stays closed although its evacuation was listed again
/// after a restore and has ended.
#[test]
fn evacuation_listed_after_a_restore_ends_when_it_is_removed() {
    let mut evacuations = Evacuations::default();
    update(&mut evacuations, NOW, &["a"]);
    evacuations.keep(NOW);
    assert_eq!(update(&mut evacuations, NOW, &["a"]), []);
    assert_eq!(update(&mut evacuations, NOW + LATER, &[]).len(), 1);
    assert_eq!(open(&evacuations), ["e0", "e2"]);
}
