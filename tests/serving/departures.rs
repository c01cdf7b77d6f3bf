//! Departures that endpoints announced in their answers.

use {
    persimmoncleat::state::{
        clock::Time,
        serving::{cold::Cold, departures::Departures, roster::Entry},
    },
    std::time::Duration,
};

fn entry(incarnation: u64, leaving: bool) -> Entry {
    Entry {
        address: "127.0.0.1:1".parse().unwrap(),
        cold: Cold::default(),
        domain: "d".into(),
        endpoint: "e".into(),
        incarnation,
        leaving,
        service: "s".into(),
        slots: 1,
    }
}

/// Guards against an endpoint that is listed again as ready, after its entry lapsed
/// while it was leaving.
#[test]
fn announced_departure_outlasts_the_entry() {
    let mut departures = Departures::default();
    assert!(!departures.includes(&entry(1, false)));
    assert!(departures.includes(&entry(1, true)));
    let now = Time::from_millis(1000);
    assert!(departures.record(now, &"e".into(), 1));
    assert!(!departures.record(now + Duration::from_secs(1), &"e".into(), 1));
    assert!(departures.includes(&entry(1, false)));
}

/// Guards against a restarted endpoint that gets no requests.
#[test]
fn next_incarnation_is_not_leaving() {
    let mut departures = Departures::default();
    departures.record(Time::from_millis(1000), &"e".into(), 1);
    assert!(!departures.includes(&entry(2, false)));
}
