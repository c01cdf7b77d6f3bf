//! A request that is not repeatable runs at most once, and `not_run` is true.

use {
    serde_json::json,
    stand_ins::{
        caller::Caller,
        daemon::{Signal, holds, wait},
        faults::Change,
        fleet::Fleet,
        outcome::Outcome,
        work,
    },
    std::{thread, time::Duration},
};

const BODY: &str = r#"{"prompt":"mark-1 issue 7","max_tokens":8}"#;

/// How long a request that was refused as `not_run` is watched.
const WATCH: Duration = Duration::from_secs(10);

/// Longer than every timeout between hosts and the time to declare one gone.
const LONG_FREEZE: Duration = Duration::from_secs(12);

const LIMIT: Duration = Duration::from_secs(30);

/// Times after a post that fall before the witness's grant, between the grant
/// and the send, after the send and after the answer.
const MOMENTS_MS: [u64; 9] = [0, 2, 3, 4, 6, 8, 12, 24, 48];

fn start(hosts: usize) -> Fleet {
    Fleet::start(env!("CARGO_BIN_EXE_persimmoncleatd"), hosts)
}

fn slow(fleet: &Fleet, slow_ms: u64) {
    fleet.faults(
        "publish",
        &Change {
            slow_ms: Some(slow_ms),
            ..Change::default()
        },
    );
}

fn ticket(fleet: &Fleet, host: &str) -> (Caller, String) {
    let caller = fleet.team(fleet.named(host));
    caller.ticket("publish", BODY, 15_000).expect("a ticket")
}

fn post(caller: &Caller) -> Outcome {
    Outcome::whole(&caller.post("publish", BODY))
}

/// Posts in the background.
fn posting(caller: &Caller) -> thread::JoinHandle<Outcome> {
    let caller = caller.clone();
    thread::spawn(move || post(&caller))
}

fn calls(fleet: &Fleet, request: &str) -> usize {
    fleet.ran(|row| row.request == request).len()
}

fn began(fleet: &Fleet, request: &str) {
    wait("the run", LIMIT, || {
        (calls(fleet, request) > 0).then_some(())
    });
}

/// Posts a ticket at a host until its home's fate is decided.
fn resolve(fleet: &Fleet, ticket: &Caller, host: &str) -> Outcome {
    let caller = ticket.clone().at(fleet.named(host).caller_address());
    wait("a resolution", LIMIT, || match post(&caller) {
        Outcome::Lost => None,
        outcome => Some(outcome),
    })
}

/// Checks an outcome against what ran, now and for some time after.
fn check(fleet: &Fleet, request: &str, outcomes: &[Outcome]) {
    let proven = outcomes.contains(&Outcome::NotRun);

    for outcome in outcomes {
        if let Outcome::Answered(output) = outcome {
            assert_eq!(*output, work::output("publish", "mark-1 issue 7", 8));
            assert!(!proven, "answered and not_run: {outcomes:?}");
        }
    }

    let most = usize::from(!proven);
    let period = if proven {
        WATCH
    } else {
        Duration::from_secs(2)
    };
    holds(
        &format!("at most {most} calls with {outcomes:?}"),
        period,
        || calls(fleet, request) <= most,
    );
}

/// Guards against a ticket that can still run after another host has voided it.
#[test]
fn home_killed_before_the_post_is_not_run() {
    let fleet = start(3);
    let (caller, request) = ticket(&fleet, "h1");
    fleet.named("h1").signal(Signal::Kill);
    let outcomes = ["h2", "h3"].map(|host| resolve(&fleet, &caller, host));
    assert_eq!(outcomes, [Outcome::NotRun, Outcome::NotRun]);
    check(&fleet, &request, &outcomes);
}

/// Guards against a second run, or a false `not_run`, after the home died with
/// the call sent.
#[test]
fn home_killed_after_the_send_is_unknown() {
    let fleet = start(3);
    slow(&fleet, 2000);
    let (caller, request) = ticket(&fleet, "h1");
    let first = posting(&caller);
    began(&fleet, &request);
    fleet.named("h1").signal(Signal::Kill);
    let outcomes = ["h2", "h3"].map(|host| resolve(&fleet, &caller, host));
    assert_eq!(outcomes, [Outcome::Unknown, Outcome::Unknown]);
    assert_eq!(first.join().expect("a caller"), Outcome::Lost);
    check(&fleet, &request, &outcomes);
}

/// Guards against a home that dies at any moment around the record and the
/// send and comes back under its old name.
#[test]
fn home_killed_at_any_moment_runs_once() {
    let mut fleet = start(3);
    slow(&fleet, 30);

    for delay in MOMENTS_MS {
        let (caller, request) = ticket(&fleet, "h1");
        let first = posting(&caller);
        thread::sleep(Duration::from_millis(delay));
        fleet.named("h1").signal(Signal::Kill);
        let mut outcomes = vec![resolve(&fleet, &caller, "h2")];
        fleet.host("h1", "d1");
        fleet.ready();
        outcomes.push(resolve(&fleet, &caller, "h1"));
        outcomes.push(first.join().expect("a caller"));
        let runs = calls(&fleet, &request);
        let proven = outcomes.contains(&Outcome::NotRun);
        assert!(
            runs <= usize::from(!proven),
            "{runs} calls with {outcomes:?} after {delay} ms"
        );
    }
}

/// Guards against a home that wakes up after its ticket was voided elsewhere.
#[test]
fn home_frozen_before_the_post_never_runs_it() {
    let fleet = start(3);
    let (caller, request) = ticket(&fleet, "h1");
    fleet.named("h1").signal(Signal::Stop);
    // The frozen home's kernel takes the connection, and the home reads it when it wakes.
    let waiting = posting(&caller);
    let outcome = resolve(&fleet, &caller, "h2");
    holds("a frozen home", LONG_FREEZE, || {
        calls(&fleet, &request) == 0
    });
    fleet.named("h1").signal(Signal::Continue);
    let outcomes = [
        outcome,
        waiting.join().expect("a caller"),
        resolve(&fleet, &caller, "h1"),
    ];
    assert!(outcomes.contains(&Outcome::NotRun), "{outcomes:?}");
    check(&fleet, &request, &outcomes);
}

/// Guards against a home that sends again after it was declared gone.
#[test]
fn home_frozen_after_the_send_runs_once() {
    let fleet = start(3);
    slow(&fleet, 500);
    let (caller, request) = ticket(&fleet, "h1");
    let waiting = posting(&caller);
    began(&fleet, &request);
    fleet.named("h1").signal(Signal::Stop);
    let outcome = resolve(&fleet, &caller, "h2");
    assert_eq!(outcome, Outcome::Unknown);
    holds("one call", LONG_FREEZE, || calls(&fleet, &request) == 1);
    fleet.named("h1").signal(Signal::Continue);
    let woken = waiting.join().expect("a caller");
    assert!(!matches!(woken, Outcome::NotRun), "the call was sent");
    check(
        &fleet,
        &request,
        &[outcome, woken, resolve(&fleet, &caller, "h1")],
    );
}

/// Guards against a home that is frozen at any moment around the record and
/// the send, and goes on where it was after others have resolved the ticket.
#[test]
fn home_frozen_at_any_moment_runs_once() {
    let frozen = |delay| {
        let fleet = start(3);
        slow(&fleet, 30);
        let (caller, request) = ticket(&fleet, "h1");
        let first = posting(&caller);
        thread::sleep(Duration::from_millis(delay));
        fleet.named("h1").signal(Signal::Stop);
        let outcome = resolve(&fleet, &caller, "h2");
        holds("one call", LONG_FREEZE, || calls(&fleet, &request) <= 1);
        fleet.named("h1").signal(Signal::Continue);
        let outcomes = [
            outcome,
            first.join().expect("a caller"),
            resolve(&fleet, &caller, "h1"),
        ];
        check(&fleet, &request, &outcomes);
    };

    thread::scope(|scope| {
        for delay in MOMENTS_MS.into_iter().step_by(2) {
            scope.spawn(move || frozen(delay));
        }
    });
}

/// Guards against a request sent without a grant, and one whose refused ticket
/// runs after all.
#[test]
fn frozen_witness_means_not_run_for_good() {
    let fleet = start(2);
    let (caller, request) = ticket(&fleet, "h1");
    fleet.named("h2").signal(Signal::Stop);
    let refused = post(&caller);
    assert_eq!(refused, Outcome::NotRun);
    fleet.named("h2").signal(Signal::Continue);
    fleet.ready();
    let outcomes = [refused, post(&caller), resolve(&fleet, &caller, "h2")];
    assert!(!outcomes.contains(&Outcome::Lost), "{outcomes:?}");
    check(&fleet, &request, &outcomes);
    let (next, _) = ticket(&fleet, "h1");
    assert!(
        matches!(post(&next), Outcome::Answered(_)),
        "a new ticket runs"
    );
}

/// Guards against a home that sends although its witness is gone.
#[test]
fn killed_witness_means_not_run() {
    let fleet = start(2);
    let (caller, request) = ticket(&fleet, "h1");
    fleet.named("h2").signal(Signal::Kill);
    let outcome = post(&caller);
    assert_eq!(outcome, Outcome::NotRun);
    check(&fleet, &request, &[outcome]);
}

/// Guards against a restarted witness that takes its empty memory for proof.
#[test]
fn restarted_witnesses_prove_nothing() {
    let mut fleet = start(3);
    slow(&fleet, 1000);
    let (caller, request) = ticket(&fleet, "h1");
    let first = posting(&caller);
    began(&fleet, &request);

    for host in ["h1", "h2", "h3"] {
        fleet.named(host).signal(Signal::Kill);
    }

    first.join().expect("a caller");
    fleet.hosts.clear();

    for (host, domain) in [("h1", "d1"), ("h2", "d2"), ("h3", "d3")] {
        fleet.host(host, domain);
    }

    fleet.ready();
    let outcomes = ["h1", "h2", "h3"].map(|host| resolve(&fleet, &caller, host));
    assert_eq!(
        outcomes,
        [Outcome::Unknown, Outcome::Unknown, Outcome::Unknown]
    );
    check(&fleet, &request, &outcomes);
}

/// Guards against two hosts that both run the same ticket.
#[test]
fn same_ticket_at_all_hosts_runs_once() {
    let fleet = start(3);
    slow(&fleet, 200);
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
    check(&fleet, &request, &outcomes);
}

/// Guards against a ticket that is good for another body.
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

/// Guards against a retry after an endpoint ran the order and died.
#[test]
fn endpoint_dead_after_the_run_is_unknown() {
    let fleet = start(2);
    fleet.faults(
        "publish",
        &Change {
            die: Some(1),
            ..Change::default()
        },
    );
    let (caller, request) = ticket(&fleet, "h1");
    let outcomes = [post(&caller), post(&caller)];
    assert_eq!(outcomes, [Outcome::Unknown, Outcome::Unknown]);
    assert_eq!(calls(&fleet, &request), 1);
    check(&fleet, &request, &outcomes);
}

/// Guards against a retry after an endpoint refused the order without running it.
#[test]
fn endpoint_refusal_goes_elsewhere() {
    let fleet = start(2);
    fleet.endpoints["publish-1"].set(Change {
        refuse: Some(100),
        ..Change::default()
    });

    for _ in 0..4 {
        let (caller, request) = ticket(&fleet, "h1");
        assert!(
            matches!(post(&caller), Outcome::Answered(_)),
            "publish-2 was free"
        );
        assert_eq!(calls(&fleet, &request), 1);
    }
}

/// Guards against a late answer that starts a second run or turns into `not_run`.
#[test]
fn answer_after_the_deadline_is_unknown() {
    let fleet = start(2);
    fleet.faults(
        "publish",
        &Change {
            late_ms: Some(4000),
            ..Change::default()
        },
    );
    let team = fleet.team(fleet.named("h1"));
    let (caller, request) = team.ticket("publish", BODY, 1500).expect("a ticket");
    let first = post(&caller);
    assert_eq!(first, Outcome::Unknown);
    began(&fleet, &request);
    holds("one call", Duration::from_secs(5), || {
        calls(&fleet, &request) == 1
    });
    let again = post(&caller);
    assert!(
        !matches!(again, Outcome::NotRun | Outcome::Lost),
        "{again:?}"
    );
    check(&fleet, &request, &[first, again]);
}
