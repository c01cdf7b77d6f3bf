//! Process tests of the daemon with simulated platform services: the stages of a
//! request, the planned stop and the resolution of orders after a crash.

use {
    stand_ins::{
        caller::Caller,
        daemon::{Signal, wait},
        faults::FaultSwitches,
        fleet::Fleet,
    },
    std::{thread, time::Duration},
};

const BINARY: &str = env!("CARGO_BIN_EXE_persimmoncleatd");
const BODY: &str = r#"{"prompt": "tides of May", "max_tokens": 6}"#;
const STREAM: &str = "/v1/pipelines/almanac/requests?stream=true";
const LIMIT: Duration = Duration::from_secs(30);

fn fleet() -> Fleet {
    Fleet::start(BINARY, 1)
}

#[test]
fn request_runs_each_stage_once() {
    let fleet = fleet();
    let answer = fleet.team(&fleet.hosts[0]).post("almanac", BODY).unwrap();

    assert_eq!(answer.status, 200, "{}", answer.text);
    assert_eq!(answer.json()["stages"].as_array().unwrap().len(), 5);
    assert_eq!(fleet.calls_where(|call| call.effects == 1).len(), 5);
}

/// Streams a request in the background and waits until its last stage runs.
fn start_request(
    fleet: &Fleet,
) -> thread::JoinHandle<std::io::Result<stand_ins::client::Response>> {
    let slow = FaultSwitches {
        slow_ms: Some(1500),
        ..FaultSwitches::default()
    };
    fleet.set_faults("check", &slow);
    let caller = fleet
        .team(&fleet.hosts[0])
        .with("Persimmon-Deadline-Ms", 4000);
    let request = thread::spawn(move || caller.send("POST", STREAM, BODY));
    wait("the last stage", LIMIT, || {
        (fleet.calls_where(|call| call.stage == "check").len() == 1).then_some(())
    });
    request
}

/// Guards against a planned stop that cuts off a stream in progress.
#[test]
fn first_signal_finishes_the_request_and_exits_0() {
    let mut fleet = fleet();
    let request = start_request(&fleet);

    fleet.hosts[0].signal(Signal::Terminate);
    assert_eq!(fleet.hosts[0].wait_exit(LIMIT).code(), Some(0));
    let answer = request.join().unwrap().unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text);
    assert!(answer.text.trim_end().ends_with('}'), "{}", answer.text);
}

/// Guards against a second signal that does not end the process, or that abandons
/// requests without a log line.
#[test]
fn second_signal_logs_the_abandoned_request_and_exits_1() {
    let mut fleet = fleet();
    let request = start_request(&fleet);

    fleet.hosts[0].signal(Signal::Terminate);
    wait("the planned stop", LIMIT, || {
        fleet.hosts[0]
            .log()
            .contains("leaving with 1")
            .then_some(())
    });
    fleet.hosts[0].signal(Signal::Terminate);
    assert_eq!(fleet.hosts[0].wait_exit(LIMIT).code(), Some(1));
    assert!(fleet.hosts[0].log().contains("abandoned"));
    assert!(request.join().unwrap().is_err());
}

/// Guards against an order that runs again, or is reported as `not_run` although
/// it ran, after its home was killed.
#[test]
fn order_is_resolved_after_its_home_is_killed() {
    const ORDER: &str = r#"{"prompt": "order-1 issue"}"#;
    const UNPOSTED: &str = r#"{"prompt": "order-2 issue"}"#;

    let fleet = Fleet::start(BINARY, 2);
    let home = fleet.team(fleet.host_named("h1"));
    let (order, _) = home.ticket("publish", ORDER, 5000).unwrap();
    let (unposted, _) = home.ticket("publish", UNPOSTED, 5000).unwrap();
    let slow = FaultSwitches {
        slow_ms: Some(1500),
        ..FaultSwitches::default()
    };
    fleet.set_faults("publish", &slow);
    let posted = order.clone();
    let posted = thread::spawn(move || posted.post("publish", ORDER));
    let runs = || fleet.calls_where(|call| call.stage == "publish").len();
    wait("the order's run", LIMIT, || (runs() == 1).then_some(()));

    fleet.host_named("h1").signal(Signal::Kill);
    assert!(posted.join().unwrap().is_err());
    let resolve = |order: &Caller, body| {
        let other = order.clone().at(fleet.host_named("h2").caller_address());
        other.post("publish", body).unwrap().json()["outcome"].clone()
    };
    assert_eq!(resolve(&order, ORDER), "unknown");
    assert_eq!(resolve(&unposted, UNPOSTED), "not_run");
    assert_eq!(runs(), 1);
}
