//! Process tests of settings changes: an accepted change is in force on every live
//! host within 7 s and never reverts.

use {
    serde_json::{Value, json},
    stand_ins::{
        client::Response,
        daemon::{Daemon, Signal, assert_holds, wait},
        fleet::Fleet,
        object_api::Faults,
        outcome::Outcome,
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Within this time an accepted change is in force on every live host.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(7);

const LIMIT: Duration = Duration::from_secs(30);
const PATH: &str = "teams/hvarfdal/urgent";
const NOTE: &str = r#"{"prompt":"mark-1 note","max_tokens":4}"#;

fn start() -> Fleet {
    Fleet::start(env!("CARGO_BIN_EXE_persimmoncleatd"), 3)
}

fn submit(fleet: &Fleet, host: &Daemon, operation: &str, key: &str, new: &str) -> Option<Response> {
    let change = json!({
        "operation": operation,
        "author": "anna",
        "edits": [{ "path": PATH, "key": key, "new": new }],
    });
    let operator = fleet.operator(host);
    operator
        .send("POST", "/v1/admin/settings", &change.to_string())
        .ok()
}

fn accepted_version(answer: Option<Response>) -> u64 {
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.text);
    answer.json()["version"].as_u64().expect("a version")
}

/// Returns the value of a key in force on a host.
fn value(fleet: &Fleet, host: &Daemon, key: &str) -> Option<String> {
    let operator = fleet.operator(host).with_limit(Duration::from_secs(2));
    let answer = operator
        .get(&format!("/v1/admin/settings?path={PATH}"))
        .ok()?;
    let nodes = answer["nodes"].as_array()?;
    let node = nodes
        .iter()
        .find(|node| node["key"] == key && node["path"] == PATH)?;
    node["value"].as_str().map(Into::into)
}

fn version(fleet: &Fleet, host: &Daemon) -> Option<u64> {
    fleet.status(host)["settings_version"].as_u64()
}

/// Waits until a version is in force on a host, at most `IN_FORCE_LIMIT`.
fn wait_in_force(fleet: &Fleet, host: &Daemon, wanted: u64) {
    wait(
        &format!("version {wanted} on {}", host.name),
        IN_FORCE_LIMIT,
        || (version(fleet, host) >= Some(wanted)).then_some(()),
    );
}

fn set_outage(fleet: &Fleet, outage: bool) {
    fleet.objects.set(Faults {
        outage: Some(outage),
        ..Faults::default()
    });
}

/// Guards against a change that reaches only the host where it was made.
#[test]
fn change_is_in_force_on_every_host() {
    let fleet = start();
    let version = accepted_version(submit(
        &fleet,
        fleet.host_named("h2"),
        "op-1",
        "weight",
        "250",
    ));

    for host in &fleet.hosts {
        wait_in_force(&fleet, host, version);
        assert_eq!(value(&fleet, host, "weight").as_deref(), Some("250"));
    }
}

/// Guards against two accepted changes with the same version, and against hosts
/// that apply different ones in the end.
#[test]
fn hosts_agree_on_the_latest_of_concurrent_changes() {
    let fleet = start();
    let answers: Vec<(usize, Response)> = thread::scope(|scope| {
        let fleet = &fleet;
        let operators: Vec<_> = (0..12)
            .map(|number| {
                scope.spawn(move || {
                    let host = &fleet.hosts[number % 3];
                    let key = if number < 6 { "weight" } else { "priority" };
                    let new = if number < 6 { 200 + number } else { number - 6 };
                    let operation = format!("race-{number}");
                    (
                        number,
                        submit(fleet, host, &operation, key, &new.to_string()),
                    )
                })
            })
            .collect();
        operators
            .into_iter()
            .map(|operator| operator.join().expect("an operator"))
            .map(|(number, answer)| (number, answer.expect("an answer")))
            .collect()
    });

    let mut versions: Vec<(u64, usize)> = Vec::new();

    for (number, answer) in answers {
        match answer.status {
            200 => versions.push((accepted_version(Some(answer)), number)),
            409 => assert!(answer.json()["theirs"].is_string(), "{}", answer.text),
            _ => panic!("operator {number} got {}", answer.text),
        }
    }

    versions.sort_unstable();
    assert!(
        versions.windows(2).all(|pair| pair[0].0 < pair[1].0),
        "{versions:?}"
    );
    let last = |range: std::ops::Range<usize>| {
        let winner = versions
            .iter()
            .rev()
            .find(|(_, number)| range.contains(number));
        winner.expect("one operator wins").1
    };
    let (weight, priority) = (200 + last(0..6), last(6..12) - 6);

    for host in &fleet.hosts {
        wait_in_force(&fleet, host, versions.last().expect("a version").0);
        assert_eq!(value(&fleet, host, "weight"), Some(weight.to_string()));
        assert_eq!(value(&fleet, host, "priority"), Some(priority.to_string()));
    }
}

/// Guards against a change applied twice, or reported as refused, because the
/// answer to its write was lost.
#[test]
fn change_with_a_lost_reply_is_applied_once() {
    let fleet = start();
    fleet.objects.set(Faults {
        lose_replies: Some(1),
        ..Faults::default()
    });
    let version = accepted_version(submit(
        &fleet,
        fleet.host_named("h1"),
        "op-lost",
        "weight",
        "300",
    ));
    let history = fleet
        .operator(fleet.host_named("h1"))
        .get("/v1/admin/settings/history?limit=10");
    let history = history.expect("a history");
    let changes = history["changes"].as_array().expect("changes");
    let own: Vec<&Value> = changes
        .iter()
        .filter(|change| change["operation"] == "op-lost")
        .collect();
    assert_eq!(own.len(), 1);
    assert_eq!(own[0]["version"], version);
}

/// Guards against an outage that accepts changes, stops requests or keeps a
/// restarted host from becoming ready.
#[test]
fn changes_but_not_requests_are_refused_during_an_outage() {
    let mut fleet = start();
    let before = accepted_version(submit(
        &fleet,
        fleet.host_named("h1"),
        "op-1",
        "weight",
        "400",
    ));
    set_outage(&fleet, true);
    let refused =
        submit(&fleet, fleet.host_named("h1"), "op-2", "weight", "500").expect("an answer");
    assert_eq!(refused.status, 503, "{}", refused.text);
    assert_eq!(refused.json()["outcome"], "not_run");

    fleet.host_named("h3").signal(Signal::Kill);
    fleet.start_host("h3", "d3");
    let restarted = fleet.host_named("h3");
    wait("readiness from a peer", LIMIT, || {
        let status = fleet.status(restarted);
        (status["ready"] == true && status["settings_version"] == before).then_some(())
    });

    for host in &fleet.hosts {
        let outcome = Outcome::buffered(&fleet.team(host).post("note", NOTE));
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    }

    set_outage(&fleet, false);
    let after = wait("changes after the outage", LIMIT, || {
        submit(&fleet, fleet.host_named("h3"), "op-3", "weight", "600")
            .filter(|answer| answer.status == 200)
    });
    let after = accepted_version(Some(after));

    for host in &fleet.hosts {
        wait_in_force(&fleet, host, after);
        assert_eq!(value(&fleet, host, "weight").as_deref(), Some("600"));
    }
}

/// Guards against a slow object API that delays changes beyond `IN_FORCE_LIMIT` or
/// blocks requests.
#[test]
fn slow_store_delays_no_accepted_change() {
    let fleet = start();
    fleet.objects.set(Faults {
        slow_ms: Some(1000),
        ..Faults::default()
    });
    let version = accepted_version(submit(
        &fleet,
        fleet.host_named("h1"),
        "op-1",
        "weight",
        "700",
    ));

    for host in &fleet.hosts {
        wait_in_force(&fleet, host, version);
    }

    let started = Instant::now();
    let outcome = Outcome::buffered(&fleet.team(fleet.host_named("h2")).post("note", NOTE));
    assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    assert!(
        started.elapsed() < Duration::from_secs(5),
        "requests wait for the store"
    );
}

/// Guards against a delay of changes beyond `IN_FORCE_LIMIT` when watches lose,
/// delay or reorder events.
#[test]
fn unreliable_watch_delays_no_accepted_change() {
    let fleet = start();
    fleet.objects.set(Faults {
        watch_delay_ms: Some(1500),
        watch_drop: Some(1),
        watch_shuffle: Some(true),
        ..Faults::default()
    });

    for number in 0..3 {
        let new = (800 + number).to_string();
        let version = accepted_version(submit(
            &fleet,
            fleet.host_named("h1"),
            &format!("op-{number}"),
            "weight",
            &new,
        ));

        for host in &fleet.hosts {
            wait_in_force(&fleet, host, version);
        }
    }
}

/// Guards against a frozen host that keeps its old settings when it resumes.
#[test]
fn resumed_host_applies_the_latest_version() {
    let fleet = start();
    let frozen = fleet.host_named("h3");
    frozen.signal(Signal::Stop);
    let wanted = (0..3)
        .map(|number| {
            let new = (100 + number).to_string();
            accepted_version(submit(
                &fleet,
                fleet.host_named("h1"),
                &format!("op-{number}"),
                "weight",
                &new,
            ))
        })
        .max()
        .expect("versions");
    frozen.signal(Signal::Continue);
    wait_in_force(&fleet, frozen, wanted);
    assert_eq!(value(&fleet, frozen, "weight").as_deref(), Some("102"));

    let mut highest = wanted;
    assert_holds("the version", Duration::from_secs(3), || {
        let now = version(&fleet, frozen).unwrap_or(highest);
        let grows = now >= highest;
        highest = now;
        grows
    });
}

/// Guards against a host that accepts requests although it reaches neither the
/// object API nor a peer to confirm its settings.
#[test]
fn isolated_host_refuses_requests() {
    let fleet = start();
    let isolated = fleet.host_named("h1");
    fleet.store_links["h1"].cut();

    for peer in ["h2", "h3"] {
        fleet.host_named(peer).signal(Signal::Stop);
    }

    let caller = fleet.team(isolated);
    wait("a refusal", Duration::from_secs(10), || {
        let answer = caller.post("note", NOTE).ok()?;
        let problem = answer.json();
        let refused = problem["outcome"] == "not_run" && problem["reason"] == "not_ready";
        refused.then_some(())
    });

    for peer in ["h2", "h3"] {
        fleet.host_named(peer).signal(Signal::Continue);
    }

    wait("contact to a peer", LIMIT, || {
        let outcome = Outcome::buffered(&caller.post("note", NOTE));
        matches!(outcome, Outcome::Answered(_)).then_some(())
    });
}

/// Guards against an invalid change that is stored, and against a message without
/// the field, the value and what was expected.
#[test]
fn invalid_changes_are_refused() {
    let fleet = start();
    let host = fleet.host_named("h1");

    for (key, new, expected) in [
        ("weight", "0", "1"),
        ("priority", "urgent", "9"),
        ("wieght", "5", "weight"),
    ] {
        let answer = submit(&fleet, host, &format!("wrong-{key}"), key, new).expect("an answer");
        assert_eq!(answer.status, 422, "{}", answer.text);
        let fault = &answer.json()["errors"][0];
        let text = fault.to_string();
        assert!(
            text.contains(key) && text.contains(new) && text.contains(expected),
            "{text}"
        );
    }

    assert_eq!(fleet.objects.value("settings/changes/000000000002"), None);
}
