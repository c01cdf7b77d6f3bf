//! Process tests of broken connections: answers are kept beyond the caller's
//! connection, and streams resume after that of an engine breaks.

use {
    serde_json::json,
    stand_ins::{
        daemon::wait, faults::FaultSwitches, fleet::Fleet, oracle::CallRecord, outcome::Outcome,
        synthetic,
    },
    std::time::Duration,
};

const LIMIT: Duration = Duration::from_secs(20);

fn start() -> Fleet {
    Fleet::start(env!("CARGO_BIN_EXE_persimmoncleatd"), 3)
}

fn body(prompt: &str, tokens: u32) -> String {
    json!({ "prompt": prompt, "max_tokens": tokens }).to_string()
}

/// Guards against an order that runs again, or whose answer is lost, because
/// the caller's connection broke.
#[test]
fn answer_of_a_lost_connection_is_fetched_through_another_host() {
    let fleet = start();
    fleet.set_faults(
        "publish",
        &FaultSwitches {
            slow_ms: Some(1500),
            ..FaultSwitches::default()
        },
    );
    let body = body("mark-1 issue 7", 8);
    let caller = fleet.team(fleet.host_named("h1"));
    let (home, request) = caller.ticket("publish", &body, 15_000).expect("a ticket");

    let lost = home
        .clone()
        .with_limit(Duration::from_millis(500))
        .post("publish", &body);
    assert!(lost.is_err(), "the connection did not break: {lost:?}");

    let path = format!("/v1/requests/{request}");
    let other = caller.at(fleet.host_named("h2").caller_address());
    let fetched = Outcome::buffered(&other.send("GET", &path, ""));
    assert_eq!(
        fetched,
        Outcome::Answered(synthetic::output("publish", "mark-1 issue 7", 8))
    );
    assert_eq!(Outcome::buffered(&home.post("publish", &body)), fetched);
    assert_eq!(fleet.calls_where(|call| call.request == request).len(), 1);
}

/// Guards against a request that starts a second run although its idempotency key
/// is the one of a run in progress.
#[test]
fn request_with_the_same_key_joins_the_run() {
    let fleet = start();
    fleet.set_faults(
        "draft",
        &FaultSwitches {
            slow_ms: Some(800),
            ..FaultSwitches::default()
        },
    );
    let body = body("mark-1 entry", 8);
    let caller = fleet
        .team(fleet.host_named("h1"))
        .with("Idempotency-Key", "k-1");

    let lost = caller
        .clone()
        .with_limit(Duration::from_millis(300))
        .post("note", &body);
    assert!(lost.is_err(), "the connection did not break: {lost:?}");

    let answer = caller.post("note", &body).expect("an answer");
    let request = answer.json()["request"]
        .as_str()
        .expect("a request id")
        .to_string();
    assert_eq!(
        Outcome::buffered(&Ok(answer)),
        Outcome::Answered(synthetic::output("draft", "mark-1 entry", 8))
    );
    assert!(
        fleet
            .calls_where(|call| call.marker == "mark-1")
            .iter()
            .all(|call| call.request == request)
    );
    let conflict = caller
        .post("note", "{\"prompt\": \"another\"}")
        .expect("a refusal");
    assert_eq!(
        (conflict.status, &conflict.json()["reason"]),
        (409, &json!("conflict"))
    );
}

/// Streams through a pool of three engines, one of which is faulty, until that
/// one has left a call unfinished. Checks that every stream is complete.
fn assert_stream_resumes(change: FaultSwitches) {
    let fleet = start();
    fleet.warm_up("note", 40);
    fleet.endpoints["draft-1"].set(change);
    let caller = fleet.team(fleet.host_named("h1"));
    let expected = synthetic::output("draft", "mark-1 letter", 40);

    wait("a disturbed stream", LIMIT, || {
        let path = "/v1/pipelines/note/requests?stream=true";
        let outcome = Outcome::streamed(&caller.send("POST", path, &body("mark-1 letter", 40)));
        assert_eq!(outcome, Outcome::Answered(expected.clone()));
        let calls = fleet.endpoints["draft-1"].oracle().calls;
        let unfinished = |call: &CallRecord| call.marker == "mark-1" && call.effects == 0;
        calls.iter().any(unfinished).then_some(())
    });
}

macro_rules! streams {
    ($($(#[$doc:meta])* $name:ident: $change:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_stream_resumes($change);
            }
        )*
    };
}

streams! {
    /// Guards against tokens lost or repeated when an engine's stream breaks.
    broken_stream_resumes: FaultSwitches { break_stream_at: Some(9), ..FaultSwitches::default() };
    /// Guards against a truncated stream that ends with its last chunk and is
    /// forwarded as complete.
    stream_without_an_end_line_resumes:
        FaultSwitches { truncate: Some(1), truncate_at: Some(9), ..FaultSwitches::default() };
    /// Guards against a stream that waits forever for an engine that stopped sending.
    stalled_stream_resumes: FaultSwitches { stall: Some(1), ..FaultSwitches::default() };
}

/// Guards against an unknown request id whose home is another host and that is
/// not refused as missing.
#[test]
fn unknown_requests_are_refused() {
    let fleet = start();
    let caller = fleet.team(fleet.host_named("h1"));
    let incarnation = fleet.status(fleet.host_named("h2"))["incarnation"].to_string();
    let path = format!("/v1/requests/h2.{incarnation}.none");
    let missing = wait("an answer", LIMIT, || caller.send("GET", &path, "").ok());
    assert_eq!(
        (missing.status, &missing.json()["reason"]),
        (404, &json!("missing"))
    );
}
