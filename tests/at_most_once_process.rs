//! Process tests of requests that are not repeatable, with hosts, witnesses and
//! endpoints that are killed or frozen. They guard against a request that runs
//! twice, and against one that runs although it was refused as `not_run`.

use {
    serde_json::json,
    stand_ins::{
        caller::Caller,
        daemon::{Signal, assert_holds, wait},
        faults::FaultSwitches,
        fleet::Fleet,
        outcome::Outcome,
        synthetic,
    },
    std::{thread, time::Duration},
};

const BODY: &str = r#"{"prompt":"mark-1 issue 7","max_tokens":8}"#;

/// How long to check that a request refused as `not_run` does not run.
const WATCH: Duration = Duration::from_secs(10);

/// Longer than every timeout between hosts and the time until a host is declared
/// gone.
const LONG_FREEZE: Duration = Duration::from_secs(12);

const LIMIT: Duration = Duration::from_secs(30);

/// Delays between a post and the fault, in milliseconds. They fall before the
/// witness's grant, between the grant and the send, after the send and after the
/// answer.
const FAULT_DELAYS_MS: [u64; 9] = [0, 2, 3, 4, 6, 8, 12, 24, 48];

fn start(hosts: usize) -> Fleet {
    Fleet::start(env!("CARGO_BIN_EXE_persimmoncleatd"), hosts)
}

fn slow_down_publish(fleet: &Fleet, slow_ms: u64) {
    fleet.set_faults(
        "publish",
        &FaultSwitches {
            slow_ms: Some(slow_ms),
            ..FaultSwitches::default()
        },
    );
}

fn ticket(fleet: &Fleet, host: &str) -> (Caller, String) {
    let caller = fleet.team(fleet.host_named(host));
    caller.ticket("publish", BODY, 15_000).expect("a ticket")
}

fn post(caller: &Caller) -> Outcome {
    Outcome::buffered(&caller.post("publish", BODY))
}

/// Posts in the background.
fn post_in_background(caller: &Caller) -> thread::JoinHandle<Outcome> {
    let caller = caller.clone();
    thread::spawn(move || post(&caller))
}

fn calls(fleet: &Fleet, request: &str) -> usize {
    fleet.calls_where(|call| call.request == request).len()
}

fn wait_for_call(fleet: &Fleet, request: &str) {
    wait("the run", LIMIT, || {
        (calls(fleet, request) > 0).then_some(())
    });
}

/// Posts a ticket to a host until the connection no longer breaks, and returns
/// the outcome.
fn resolve(fleet: &Fleet, ticket: &Caller, host: &str) -> Outcome {
    let caller = ticket.clone().at(fleet.host_named(host).caller_address());
    wait("a resolution", LIMIT, || match post(&caller) {
        Outcome::Lost => None,
        outcome => Some(outcome),
    })
}

/// Checks the outcomes of a request against the calls that reached endpoints,
/// now and for some time afterwards.
fn assert_consistent(fleet: &Fleet, request: &str, outcomes: &[Outcome]) {
    let refused_as_not_run = outcomes.contains(&Outcome::NotRun);

    for outcome in outcomes {
        if let Outcome::Answered(output) = outcome {
            assert_eq!(*output, synthetic::output("publish", "mark-1 issue 7", 8));
            assert!(!refused_as_not_run, "answered and not_run: {outcomes:?}");
        }
    }

    let max_calls = usize::from(!refused_as_not_run);
    let period = if refused_as_not_run {
        WATCH
    } else {
        Duration::from_secs(2)
    };
    assert_holds(
        &format!("at most {max_calls} calls with {outcomes:?}"),
        period,
        || calls(fleet, request) <= max_calls,
    );
}

/// Guards against a ticket that can still run after another host has voided it.
#[test]
fn ticket_of_a_home_killed_before_the_post_is_not_run() {
    let fleet = start(3);
    let (caller, request) = ticket(&fleet, "h1");
    fleet.host_named("h1").signal(Signal::Kill);
    let outcomes = ["h2", "h3"].map(|host| resolve(&fleet, &caller, host));
    assert_eq!(outcomes, [Outcome::NotRun, Outcome::NotRun]);
    assert_consistent(&fleet, &request, &outcomes);
}

/// Guards against a second run, or a false `not_run`, after the home was killed
/// with the call already sent.
#[test]
fn ticket_of_a_home_killed_after_the_send_is_unknown() {
    let fleet = start(3);
    slow_down_publish(&fleet, 2000);
    let (caller, request) = ticket(&fleet, "h1");
    let first = post_in_background(&caller);
    wait_for_call(&fleet, &request);
    fleet.host_named("h1").signal(Signal::Kill);
    let outcomes = ["h2", "h3"].map(|host| resolve(&fleet, &caller, host));
    assert_eq!(outcomes, [Outcome::Unknown, Outcome::Unknown]);
    assert_eq!(first.join().expect("a caller"), Outcome::Lost);
    assert_consistent(&fleet, &request, &outcomes);
}

/// Guards against a second run after the home is killed at any moment around the
/// witness's grant and the send, and restarts under the same id.
#[test]
fn ticket_runs_once_if_its_home_is_killed_at_any_moment() {
    let mut fleet = start(3);
    slow_down_publish(&fleet, 30);

    for delay in FAULT_DELAYS_MS {
        let (caller, request) = ticket(&fleet, "h1");
        let first = post_in_background(&caller);
        thread::sleep(Duration::from_millis(delay));
        fleet.host_named("h1").signal(Signal::Kill);
        let mut outcomes = vec![resolve(&fleet, &caller, "h2")];
        fleet.start_host("h1", "d1");
        fleet.wait_ready();
        outcomes.push(resolve(&fleet, &caller, "h1"));
        outcomes.push(first.join().expect("a caller"));
        let runs = calls(&fleet, &request);
        let refused_as_not_run = outcomes.contains(&Outcome::NotRun);
        assert!(
            runs <= usize::from(!refused_as_not_run),
            "{runs} calls with {outcomes:?} after {delay} ms"
        );
    }
}

/// Guards against a home that runs the request when it resumes, after its ticket
/// was voided through another host.
#[test]
fn ticket_voided_during_a_freeze_of_its_home_never_runs() {
    let fleet = start(3);
    let (caller, request) = ticket(&fleet, "h1");
    fleet.host_named("h1").signal(Signal::Stop);
    // The kernel accepts the connection; the frozen home reads it when it resumes.
    let waiting = post_in_background(&caller);
    let outcome = resolve(&fleet, &caller, "h2");
    assert_holds("a frozen home", LONG_FREEZE, || {
        calls(&fleet, &request) == 0
    });
    fleet.host_named("h1").signal(Signal::Continue);
    let outcomes = [
        outcome,
        waiting.join().expect("a caller"),
        resolve(&fleet, &caller, "h1"),
    ];
    assert!(outcomes.contains(&Outcome::NotRun), "{outcomes:?}");
    assert_consistent(&fleet, &request, &outcomes);
}

/// Guards against a home that sends the call again when it resumes after it was
/// declared gone.
#[test]
fn ticket_runs_once_if_its_home_is_frozen_after_the_send() {
    let fleet = start(3);
    slow_down_publish(&fleet, 500);
    let (caller, request) = ticket(&fleet, "h1");
    let waiting = post_in_background(&caller);
    wait_for_call(&fleet, &request);
    fleet.host_named("h1").signal(Signal::Stop);
    let outcome = resolve(&fleet, &caller, "h2");
    assert_eq!(outcome, Outcome::Unknown);
    assert_holds("one call", LONG_FREEZE, || calls(&fleet, &request) == 1);
    fleet.host_named("h1").signal(Signal::Continue);
    let resumed = waiting.join().expect("a caller");
    assert!(!matches!(resumed, Outcome::NotRun), "the call was sent");
    assert_consistent(
        &fleet,
        &request,
        &[outcome, resumed, resolve(&fleet, &caller, "h1")],
    );
}

/// Guards against a second run by a home that is frozen at any moment around the
/// witness's grant and the send, and continues from there after others have
/// resolved the ticket.
#[test]
fn ticket_runs_once_if_its_home_is_frozen_at_any_moment() {
    let frozen = |delay| {
        let fleet = start(3);
        slow_down_publish(&fleet, 30);
        let (caller, request) = ticket(&fleet, "h1");
        let first = post_in_background(&caller);
        thread::sleep(Duration::from_millis(delay));
        fleet.host_named("h1").signal(Signal::Stop);
        let outcome = resolve(&fleet, &caller, "h2");
        assert_holds("one call", LONG_FREEZE, || calls(&fleet, &request) <= 1);
        fleet.host_named("h1").signal(Signal::Continue);
        let outcomes = [
            outcome,
            first.join().expect("a caller"),
            resolve(&fleet, &caller, "h1"),
        ];
        assert_consistent(&fleet, &request, &outcomes);
    };

    thread::scope(|scope| {
        for delay in FAULT_DELAYS_MS.into_iter().step_by(2) {
            scope.spawn(move || frozen(delay));
        }
    });
}

/// Guards against a request that is sent without a grant, and against a refused
/// ticket that runs later.
#[test]
fn ticket_refused_during_a_freeze_of_its_witness_never_runs() {
    let fleet = start(2);
    let (caller, request) = ticket(&fleet, "h1");
    fleet.host_named("h2").signal(Signal::Stop);
    let refused = post(&caller);
    assert_eq!(refused, Outcome::NotRun);
    fleet.host_named("h2").signal(Signal::Continue);
    fleet.wait_ready();
    let outcomes = [refused, post(&caller), resolve(&fleet, &caller, "h2")];
    assert!(!outcomes.contains(&Outcome::Lost), "{outcomes:?}");
    assert_consistent(&fleet, &request, &outcomes);
    let (next, _) = ticket(&fleet, "h1");
    assert!(
        matches!(post(&next), Outcome::Answered(_)),
        "a new ticket did not run"
    );
}

/// Guards against a home that sends although its witness is gone.
#[test]
fn ticket_without_a_live_witness_is_not_run() {
    let fleet = start(2);
    let (caller, request) = ticket(&fleet, "h1");
    fleet.host_named("h2").signal(Signal::Kill);
    let outcome = post(&caller);
    assert_eq!(outcome, Outcome::NotRun);
    assert_consistent(&fleet, &request, &[outcome]);
}

/// Guards against a restarted witness whose empty table is taken as proof that a
/// ticket has not run.
#[test]
fn restarted_witnesses_report_unknown() {
    let mut fleet = start(3);
    slow_down_publish(&fleet, 1000);
    let (caller, request) = ticket(&fleet, "h1");
    let first = post_in_background(&caller);
    wait_for_call(&fleet, &request);

    for host in ["h1", "h2", "h3"] {
        fleet.host_named(host).signal(Signal::Kill);
    }

    first.join().expect("a caller");
    fleet.hosts.clear();

    for (host, domain) in [("h1", "d1"), ("h2", "d2"), ("h3", "d3")] {
        fleet.start_host(host, domain);
    }

    fleet.wait_ready();
    let outcomes = ["h1", "h2", "h3"].map(|host| resolve(&fleet, &caller, host));
    assert_eq!(
        outcomes,
        [Outcome::Unknown, Outcome::Unknown, Outcome::Unknown]
    );
    assert_consistent(&fleet, &request, &outcomes);
}

/// Guards against two hosts that both run the same ticket.
#[test]
fn same_ticket_at_all_hosts_runs_once() {
    let fleet = start(3);
    slow_down_publish(&fleet, 200);
    let (caller, request) = ticket(&fleet, "h1");
    let outcomes: Vec<Outcome> = thread::scope(|scope| {
        let callers: Vec<_> = (0..12)
            .map(|number| caller.clone().at(fleet.hosts[number % 3].caller_address()))
            .map(|caller| scope.spawn(move || post(&caller)))
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().expect("a caller"))
            .collect()
    });
    assert!(
        outcomes
            .iter()
            .all(|outcome| matches!(outcome, Outcome::Answered(_))),
        "{outcomes:?}"
    );
    assert_consistent(&fleet, &request, &outcomes);
}

/// Guards against a ticket that is accepted with another body.
#[test]
fn ticket_is_bound_to_its_body() {
    let fleet = start(2);
    let (caller, request) = ticket(&fleet, "h1");
    let other = caller
        .post("publish", r#"{"prompt":"mark-2 issue 8"}"#)
        .expect("a refusal");
    assert_eq!(
        (other.status, &other.json()["reason"]),
        (409, &json!("conflict"))
    );
    assert_eq!(calls(&fleet, &request), 0);
}

/// Guards against a retry after an endpoint ran the order and closed the connection
/// without an answer.
#[test]
fn order_whose_endpoint_dies_after_the_run_is_unknown() {
    let fleet = start(2);
    fleet.set_faults(
        "publish",
        &FaultSwitches {
            die: Some(1),
            ..FaultSwitches::default()
        },
    );
    let (caller, request) = ticket(&fleet, "h1");
    let outcomes = [post(&caller), post(&caller)];
    assert_eq!(outcomes, [Outcome::Unknown, Outcome::Unknown]);
    assert_eq!(calls(&fleet, &request), 1);
    assert_consistent(&fleet, &request, &outcomes);
}

/// Guards against an order that fails, or runs twice, after an endpoint refused
/// it without running it.
#[test]
fn order_refused_by_one_endpoint_runs_on_another() {
    let fleet = start(2);
    fleet.endpoints["publish-1"].set(FaultSwitches {
        refuse: Some(100),
        ..FaultSwitches::default()
    });

    for _ in 0..4 {
        let (caller, request) = ticket(&fleet, "h1");
        assert!(
            matches!(post(&caller), Outcome::Answered(_)),
            "the order was not answered although publish-2 was free"
        );
        assert_eq!(calls(&fleet, &request), 1);
    }
}

/// Guards against an answer after the deadline that leads to a second run or to
/// `not_run`.
#[test]
fn order_answered_after_the_deadline_is_unknown() {
    let fleet = start(2);
    fleet.set_faults(
        "publish",
        &FaultSwitches {
            late_ms: Some(4000),
            ..FaultSwitches::default()
        },
    );
    let team = fleet.team(fleet.host_named("h1"));
    let (caller, request) = team.ticket("publish", BODY, 1500).expect("a ticket");
    let first = post(&caller);
    assert_eq!(first, Outcome::Unknown);
    wait_for_call(&fleet, &request);
    assert_holds("one call", Duration::from_secs(5), || {
        calls(&fleet, &request) == 1
    });
    let again = post(&caller);
    assert!(
        !matches!(again, Outcome::NotRun | Outcome::Lost),
        "{again:?}"
    );
    assert_consistent(&fleet, &request, &[first, again]);
}
