//! Process tests of settings changes through a daemon and the object API: outcomes
//! of changes, history, snapshots and distribution to other hosts.

use {
    persimmoncleat::{
        coordination::settings_log::SettingsLog,
        protocol::object_api::ObjectApi,
        state::settings::snapshot::{Floor, Snapshot},
        transport::object_api::CallCounters,
    },
    serde_json::{Value, json},
    stand_ins::{
        daemon::wait,
        fleet::Fleet,
        object_api::{self, Faults},
        server::ANY_PORT,
    },
    std::time::Duration,
};

const BINARY: &str = env!("CARGO_BIN_EXE_persimmoncleatd");
const LIMIT: Duration = Duration::from_secs(30);
const PATH: &str = "/v1/admin/settings";

fn submit(fleet: &Fleet, operation: &str, edits: &Value) -> (u16, Value) {
    let body = json!({"operation": operation, "author": "test", "edits": edits});
    let answer = fleet
        .operator(&fleet.hosts[0])
        .send("POST", PATH, &body.to_string())
        .unwrap();
    (answer.status, answer.json())
}

fn weight(old: Option<&str>, new: &str) -> Value {
    json!([{"path": "teams/hvarfdal", "key": "weight", "old": old, "new": new}])
}

#[test]
fn accepted_change_is_in_force_and_in_the_history() {
    let fleet = Fleet::start(BINARY, 1);
    let (status, answer) = submit(&fleet, "op-1", &weight(None, "300"));

    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["version"], 2);
    assert_eq!(answer["in_force"], json!(["h1"]));
    assert_eq!(answer["pending"], json!([]));

    let operator = fleet.operator(&fleet.hosts[0]);
    let settings = operator
        .get(&format!("{PATH}?path=teams/hvarfdal/volume"))
        .unwrap();
    let row = json!({
        "path": "teams/hvarfdal/volume", "key": "weight", "value": "300",
        "source": "teams/hvarfdal",
    });
    assert_eq!(settings["version"], 2);
    assert!(settings["nodes"].as_array().unwrap().contains(&row));

    let history = operator.get(&format!("{PATH}/history?limit=1")).unwrap();
    assert_eq!(history["changes"].as_array().unwrap().len(), 1);
    assert_eq!(history["changes"][0]["operation"], "op-1");
    assert!(fleet.status(&fleet.hosts[0])["store_calls"]["watch"].as_u64() > Some(0));
}

#[test]
fn resubmitted_operation_returns_its_first_outcome() {
    let fleet = Fleet::start(BINARY, 1);
    submit(&fleet, "op-1", &weight(None, "300"));
    submit(&fleet, "op-2", &weight(Some("300"), "400"));
    let (status, answer) = submit(&fleet, "op-1", &weight(None, "300"));

    assert_eq!((status, &answer["version"]), (200, &json!(2)));
    assert_eq!(fleet.objects.value("settings/changes/000000000004"), None);
}

#[test]
fn change_whose_answer_is_lost_is_applied_once() {
    let fleet = Fleet::start(BINARY, 1);
    fleet.objects.set(Faults {
        lose_replies: Some(1),
        ..Faults::default()
    });
    let (status, answer) = submit(&fleet, "op-1", &weight(None, "300"));

    assert_eq!((status, &answer["version"]), (200, &json!(2)));
    assert_eq!(fleet.objects.value("settings/changes/000000000003"), None);
}

#[test]
fn change_during_an_outage_is_not_run() {
    let fleet = Fleet::start(BINARY, 1);
    let outage = |outage| {
        fleet.objects.set(Faults {
            outage: Some(outage),
            ..Faults::default()
        });
    };
    outage(true);
    let (status, answer) = submit(&fleet, "op-1", &weight(None, "300"));
    assert_eq!(status, 503);
    assert_eq!(answer, json!({"outcome": "not_run", "operation": "op-1"}));

    outage(false);
    wait("an accepted change", LIMIT, || {
        (submit(&fleet, "op-1", &weight(None, "300")).0 == 200).then_some(())
    });
}

#[test]
fn conflict_contains_both_values() {
    let fleet = Fleet::start(BINARY, 1);
    submit(&fleet, "op-1", &weight(None, "300"));
    let (status, answer) = submit(&fleet, "op-2", &weight(None, "400"));

    assert_eq!(status, 409);
    assert_eq!(
        answer,
        json!({
            "path": "teams/hvarfdal", "key": "weight", "yours": "400", "theirs": "300",
            "version": 2,
        })
    );
}

#[test]
fn all_invalid_edits_are_reported() {
    let fleet = Fleet::start(BINARY, 1);
    let edits = json!([
        {"path": "teams/hvarfdal", "key": "wieght", "new": "1"},
        {"path": "pools/draft", "key": "hedge", "new": "maybe"},
    ]);
    let (status, answer) = submit(&fleet, "op-1", &edits);

    assert_eq!(status, 422);
    assert_eq!(
        answer["errors"],
        json!([
            {
                "field": "[teams/hvarfdal] wieght", "value": "1",
                "expected": "a known key; the nearest is \"weight\"",
            },
            {"field": "[pools/draft] hedge", "value": "maybe", "expected": "one of on, off"},
        ])
    );
}

#[test]
fn compaction_deletes_old_changes_once_and_keeps_the_latest() {
    let objects = object_api::start(ANY_PORT).unwrap();
    let calls = CallCounters::default();
    let log = SettingsLog::new(ObjectApi::new(&objects.url(), calls.clone()));

    for version in 1..=600 {
        objects.create(
            &format!("settings/changes/{version:012}"),
            json!({"version": version, "operation": "op", "author": "test", "edits": []}),
        );
    }

    let floor = Floor {
        snapshot: 512,
        through: 500,
    };
    let snapshot = Snapshot {
        version: 512,
        ..Snapshot::default()
    };
    assert_eq!(log.compact(&snapshot, floor).unwrap(), floor);
    let (changes, read, _) = log.list(500).unwrap();
    assert_eq!((changes.len(), read), (100, floor));
    // For a version before the floor, one page is enough to find that the snapshot
    // is needed.
    let lists = calls.counts().list;
    let (changes, read, _) = log.list(0).unwrap();
    assert_eq!((changes[0].version, read), (501, floor));
    assert_eq!(calls.counts().list, lists + 1);
    assert_eq!(log.read_snapshot().unwrap().unwrap().0, snapshot);

    // A second watcher with an older floor writes nothing.
    let puts = calls.counts().put;
    let late = Floor {
        snapshot: 511,
        through: 499,
    };
    assert_eq!(log.compact(&snapshot, late).unwrap(), floor);
    assert_eq!(calls.counts().put, puts);
}

/// Starts hosts in different failure domains of one region; two of the hosts
/// watch the object API.
fn region(hosts: usize) -> Fleet {
    let mut fleet = Fleet::without_hosts(BINARY);

    for number in 1..=hosts {
        fleet.start_host(&format!("h{number}"), &format!("is-{number}"));
    }

    fleet.wait_ready();
    fleet
}

#[test]
fn change_reaches_hosts_that_do_not_watch() {
    let fleet = region(4);
    let (status, answer) = submit(&fleet, "op-1", &weight(None, "300"));

    assert_eq!((status, &answer["pending"]), (200, &json!([])), "{answer}");
    assert_eq!(answer["in_force"].as_array().unwrap().len(), 4);

    let watches = || {
        let hosts = fleet.hosts.iter();
        hosts
            .map(|host| fleet.status(host)["store_calls"]["watch"].as_u64())
            .collect::<Vec<_>>()
    };
    let count_at_least = |counts: &[Option<u64>], minimum: u64| {
        let counts = counts.iter().flatten();
        counts.filter(|count| **count >= minimum).count()
    };
    // A host may watch until it has found the others, so only later calls count.
    let before = wait("some watches of a host", LIMIT, || {
        let counts = watches();
        (count_at_least(&counts, 4) > 0).then_some(counts)
    });
    let after = wait("more watches of a host", LIMIT, || {
        let counts = watches();
        (count_at_least(&counts, 8) > 0).then_some(counts)
    });
    let unchanged = before.iter().zip(&after).filter(|(old, new)| old == new);
    assert_eq!(unchanged.count(), 2, "{before:?} {after:?}");
}

#[test]
fn change_missed_by_the_watch_is_in_force_everywhere() {
    let fleet = region(3);
    fleet.objects.set(Faults {
        watch_drop: Some(1),
        ..Faults::default()
    });
    let (status, answer) = submit(&fleet, "op-1", &weight(None, "300"));
    assert_eq!((status, &answer["pending"]), (200, &json!([])), "{answer}");
}

#[test]
fn new_host_loads_settings_from_peers_during_an_outage() {
    let mut fleet = region(2);
    submit(&fleet, "op-1", &weight(None, "300"));
    fleet.objects.set(Faults {
        outage: Some(true),
        ..Faults::default()
    });
    fleet.start_host("h3", "is-3");
    fleet.wait_ready();
    assert_eq!(fleet.status(fleet.host_named("h3"))["settings_version"], 2);
}
