//! Every host must send requests that share a prompt to the same engine, and no
//! request to a failing endpoint while others are available.

use {
    persimmoncleat::state::{
        clock::Time,
        serving::{
            cold::Cold,
            placement::{Criteria, Placement},
            roster::Entry,
        },
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

const NOW: Time = Time::from_millis(10_000);

fn entries(count: u16) -> Vec<Arc<Entry>> {
    (0..count)
        .map(|number| {
            Arc::new(Entry {
                address: ([127, 0, 0, 1], 1000 + number).into(),
                cold: Cold::default(),
                domain: if number % 2 == 0 { "a" } else { "b" }.into(),
                endpoint: format!("e{number}").into(),
                incarnation: 1,
                leaving: false,
                service: "s".into(),
                slots: 6,
            })
        })
        .collect()
}

fn session(session: u64) -> Criteria<'static> {
    Criteria {
        domain: None,
        exclude: &[],
        session: Some(session),
    }
}

#[test]
fn hosts_agree_on_the_engine_of_a_session() {
    let entries = entries(18);
    let first = Placement::default();
    let second = Placement::default();

    for number in 0..100 {
        let criteria = session(number);
        let one = first.choose(NOW, entries.iter(), criteria).unwrap();
        let other = second.choose(NOW, entries.iter(), criteria).unwrap();
        assert_eq!(one, other);
    }
}

#[test]
fn requests_of_a_session_spread_when_its_engine_is_overloaded() {
    let entries = entries(6);
    let mut placement = Placement::default();
    let criteria = session(7);
    let mut used = BTreeSet::new();

    for _ in 0..60 {
        let entry = placement.choose(NOW, entries.iter(), criteria).unwrap();
        used.insert(entry.endpoint.clone());
        placement.begin(Time::ZERO, entry);
    }

    assert!(used.len() > 1);
    let loads = entries
        .iter()
        .map(|entry| placement.running(&entry.endpoint));
    // The load bound: 1.5 times the mean of 10 requests, plus a margin of 2.
    assert!(loads.max().unwrap() <= 17);
}

#[test]
fn failing_endpoint_is_skipped_until_its_pause_ends() {
    let entries = entries(2);
    let mut placement = Placement::default();
    placement.health_mut(&entries[0]).record_unreachable(NOW);
    let criteria = Criteria {
        domain: Some(&"a".into()),
        exclude: &[],
        session: None,
    };
    let chosen = placement.choose(NOW, entries.iter(), criteria).unwrap();
    assert_eq!(chosen, &entries[1]);
    let later = Time::from_millis(11_000);
    let chosen = placement.choose(later, entries.iter(), criteria).unwrap();
    assert_eq!(chosen, &entries[0]);
}

#[test]
fn only_endpoint_is_used_although_it_failed() {
    let entries = entries(1);
    let mut placement = Placement::default();
    placement.health_mut(&entries[0]).record_unreachable(NOW);
    assert!(placement.choose(NOW, entries.iter(), session(1)).is_some());
}

#[test]
fn new_incarnation_resets_the_health() {
    let mut entries = entries(1);
    let mut placement = Placement::default();
    placement.health_mut(&entries[0]).record_unreachable(NOW);
    entries[0] = Arc::new(Entry {
        incarnation: 2,
        ..entries[0].as_ref().clone()
    });
    placement.retain(NOW, entries.iter());
    assert!(!placement.health_mut(&entries[0]).is_paused(NOW));
}

#[test]
fn leaving_and_excluded_endpoints_are_skipped() {
    let mut entries = entries(3);
    entries[0] = Arc::new(Entry {
        leaving: true,
        ..entries[0].as_ref().clone()
    });
    let exclude = [entries[1].endpoint.clone()];
    let criteria = Criteria {
        domain: None,
        exclude: &exclude,
        session: Some(3),
    };
    let placement = Placement::default();
    let chosen = placement.choose(NOW, entries.iter(), criteria).unwrap();
    assert_eq!(chosen, &entries[2]);
}

/// Guards against requests to an endpoint that wants none from this host, for lack of
/// a better one.
#[test]
fn deferred_endpoint_is_never_chosen() {
    let entries = entries(2);
    let mut placement = Placement::default();
    placement
        .health_mut(&entries[0])
        .defer(NOW, Duration::from_secs(2));
    placement.health_mut(&entries[1]).record_unreachable(NOW);
    let chosen = placement.choose(NOW, entries.iter(), session(1));
    assert_eq!(chosen, Some(&entries[1]));
    assert_eq!(placement.deferral(NOW, entries.iter()), None);
    placement
        .health_mut(&entries[1])
        .defer(NOW, Duration::from_secs(1));
    assert_eq!(placement.choose(NOW, entries.iter(), session(1)), None);
    let first = Some(Duration::from_secs(1));
    assert_eq!(placement.deferral(NOW, entries.iter()), first);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(
        placement.choose(later, entries.iter(), session(1)),
        Some(&entries[1])
    );
}

/// Guards against a deferral that is forgotten because the endpoint's entry lapsed
/// for a moment, or because a later refusal names a shorter time.
#[test]
fn deferral_outlasts_the_entry_and_a_shorter_one() {
    let entries = entries(1);
    let mut placement = Placement::default();
    let health = placement.health_mut(&entries[0]);
    health.defer(NOW, Duration::from_secs(2));
    health.defer(NOW, Duration::from_secs(1));
    placement.retain(NOW, [].iter());
    let later = NOW + Duration::from_millis(1900);
    assert_eq!(placement.choose(later, entries.iter(), session(1)), None);
}
