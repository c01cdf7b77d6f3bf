//! Attempts with crossed, repeated or incomplete answers, and cancelled
//! attempts. The test acts as the scheduler.

use {
    crate::{
        fakes::{Fake, done, end, lines, not_run, token},
        script::ScriptedHost,
        support::{TIMEOUT, parse, wait_for},
    },
    persimmoncleat::{
        protocol::call::Call,
        state::{action::Action, attempt::End, event::Event},
    },
    rouille::Response,
    rustix::net::{self, AddressFamily, SocketType},
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

const BODY: &str = r#"{"prompt": "tides of May"}"#;

/// Runs a failing attempt, then a successful one. Checks that the caller gets
/// the answer of the second, and how the first was reported and counted.
fn recover(
    bad: impl Fn(&Call) -> Response + Send + Sync + 'static,
    timeout: Duration,
    end: &End,
    counter: &str,
) {
    let faulty = Fake::start(move |_, call| bad(call));
    let healthy = Fake::start(|_, call| done(call, "drafted"));
    let mut script = ScriptedHost::start(&[faulty.address, healthy.address]);
    let caller = script.post("");

    script.dispatch(1, faulty.address, timeout);
    assert_eq!(script.finished(1), *end);
    script.dispatch(2, healthy.address, TIMEOUT);

    let (status, text) = caller.join().unwrap();
    assert_eq!(status, 200, "{text}");
    assert_eq!(parse(&text)["output"], "drafted");
    assert_eq!(script.host.counter(counter), u64::from(!counter.is_empty()));

    if *end == End::TimedOut {
        wait_for(|| faulty.cancelled.lock().unwrap().len() == 1);
    }
}

macro_rules! recovers {
    ($name:ident, $bad:expr, $timeout:expr, $end:expr, $counter:expr) => {
        #[test]
        fn $name() {
            recover($bad, $timeout, &$end, $counter);
        }
    };
}

recovers!(
    answer_of_another_request_is_discarded,
    |call| {
        let other = Call {
            request: "h1.1.other".into(),
            ..call.clone()
        };
        done(&other, "another caller's")
    },
    TIMEOUT,
    End::Failed,
    "crossed_answers"
);
recovers!(
    answer_of_another_attempt_is_discarded,
    |call| {
        let other = Call {
            attempt: format!("{}/99", call.request),
            ..call.clone()
        };
        done(&other, "a late one")
    },
    TIMEOUT,
    End::Failed,
    "crossed_answers"
);
recovers!(
    truncated_answer_is_a_failure,
    |_| Response::from_data("application/json", r#"{"attempt": "#),
    TIMEOUT,
    End::Failed,
    "truncated_answers"
);
recovers!(
    answer_without_output_is_truncated,
    |call| Response::json(&json!({
        "attempt": call.attempt, "request": call.request, "status": "done"
    })),
    TIMEOUT,
    End::Failed,
    "truncated_answers"
);
recovers!(
    stalled_answer_times_out,
    |call| {
        thread::sleep(Duration::from_secs(2));
        done(call, "too late")
    },
    Duration::from_millis(50),
    End::TimedOut,
    ""
);
recovers!(
    refusal_of_the_endpoint_is_not_run,
    |call| not_run(call, "leaving"),
    TIMEOUT,
    End::NotRun { leaving: true },
    ""
);
recovers!(
    refusal_of_another_attempt_is_a_failure,
    |call| not_run(
        &Call {
            attempt: "another".into(),
            ..call.clone()
        },
        "full"
    ),
    TIMEOUT,
    End::Failed,
    "crossed_answers"
);

/// Answers the first attempt with `first`. Checks that the second one resumes
/// after `tokens` tokens, and that the caller gets each token once.
fn resume(first: impl Fn(&Call) -> Response + Send + Sync + 'static, tokens: u32) -> ScriptedHost {
    const TOKENS: u32 = 6;

    let broken = Fake::start(move |_, call| first(call));
    let healthy = Fake::start(|_, call| {
        let mut all: Vec<_> = (call.resume_from..TOKENS).map(|i| token(call, i)).collect();
        all.push(end(call, TOKENS));
        lines(&all, true)
    });
    let mut script = ScriptedHost::start(&[broken.address, healthy.address]);
    let caller = script.post("?stream=true");

    script.dispatch(1, broken.address, TIMEOUT);
    assert_eq!(script.finished(1), End::Failed);
    script.dispatch(2, healthy.address, TIMEOUT);
    let (status, text) = caller.join().unwrap();
    let lines: Vec<_> = text.lines().map(parse).collect();

    assert_eq!(status, 200, "{text}");
    assert_eq!(healthy.calls.lock().unwrap()[0].resume_from, tokens);
    let indices: Vec<_> = lines.iter().map(|line| line["index"].as_u64()).collect();
    assert_eq!(
        indices,
        [Some(0), Some(1), Some(2), Some(3), Some(4), Some(5), None]
    );
    assert_eq!(lines[6]["end"], true);
    script
}

macro_rules! resumes {
    ($name:ident, $tokens:expr) => {
        #[test]
        fn $name() {
            let first = |call: &Call| {
                let partial: Vec<_> = (0..$tokens).map(|index| token(call, index)).collect();
                lines(&partial, false)
            };
            resume(first, $tokens);
        }
    };
}

resumes!(stream_broken_before_the_first_token_restarts, 0);
resumes!(stream_broken_at_token_1_resumes, 1);
resumes!(stream_broken_at_token_5_resumes, 5);
resumes!(stream_broken_before_its_end_line_resumes, 6);

#[test]
fn repeated_and_crossed_lines_are_dropped() {
    let script = resume(
        |call| {
            let other = Call {
                attempt: "another".into(),
                ..call.clone()
            };
            let partial = [
                token(call, 0),
                token(call, 0),
                token(&other, 1),
                token(call, 1),
                end(&other, 2),
            ];
            lines(&partial, false)
        },
        2,
    );
    assert_eq!(script.host.counter("truncated_answers"), 1);
}

#[test]
fn stream_with_a_gap_is_broken_at_the_gap() {
    resume(
        |call| lines(&[token(call, 0), token(call, 2), end(call, 3)], true),
        1,
    );
}

#[test]
fn answer_after_a_cancel_is_discarded_but_its_cost_is_recorded() {
    let release = Arc::new(Mutex::new(()));
    let held = release.lock().unwrap();
    let gate = Arc::clone(&release);
    let loser = Fake::start(move |_, call| {
        drop(gate.lock().unwrap());
        done(call, "from the loser")
    });
    let winner = Fake::start(|_, call| done(call, "from the winner"));
    let mut script = ScriptedHost::start(&[loser.address, winner.address]);
    let caller = script.post("");

    script.dispatch(1, loser.address, TIMEOUT);
    wait_for(|| loser.count() == 1);
    script.dispatch(2, winner.address, TIMEOUT);
    assert_eq!(script.finished(2), End::Done { tokens: 1 });
    assert_eq!(script.finished(1), End::Cancelled);
    assert!(matches!(script.next(), Event::Ended { .. }));
    let (_, text) = caller.join().unwrap();
    assert_eq!(parse(&text)["output"], "from the winner");
    wait_for(|| loser.cancelled.lock().unwrap().len() == 1);
    let attempt = format!("{}/1", script.request);
    assert_eq!(*loser.cancelled.lock().unwrap(), [attempt]);

    drop(held);
    wait_for(|| script.host.counter("late_answers") == 1);
    let usage = script.host.gateway.observer.usage();
    assert_eq!(
        usage.costs()[0].tokens,
        2,
        "the cost of the cancelled attempt is missing"
    );
}

#[test]
fn second_attempt_of_an_order_is_never_sent() {
    let broken = Fake::start(|_, _| Response::text("cut off").with_status_code(500));
    let other = Fake::start(|_, call| done(call, "a second issue"));
    let mut script = ScriptedHost::start(&[broken.address, other.address]);
    let host = Arc::clone(&script.host);
    let caller = thread::spawn(move || host.post_order(&host.ticket(BODY), BODY));
    script.admit();

    script.dispatch(1, broken.address, TIMEOUT);
    assert_eq!(script.finished(1), End::Failed);
    // Simulates a faulty scheduler that dispatches a second attempt.
    script.dispatch(2, other.address, TIMEOUT);
    assert_eq!(script.finished(2), End::Failed);
    let refusal = persimmoncleat::state::claims::refusal::Refusal::not_run(
        persimmoncleat::state::claims::refusal::Reason::Stage,
        "no endpoint is left",
    );
    script.send_action(Action::Failed {
        refusal,
        request: script.request.clone(),
        stage: 0,
    });

    let (status, text) = caller.join().unwrap();
    assert_eq!(status, 502, "{text}");
    assert_eq!(parse(&text)["outcome"], "unknown");
    assert_eq!((broken.count(), other.count()), (1, 0));
}

#[test]
fn order_is_sent_again_after_a_refused_connection() {
    // Bound but not listening, so that no other test can use the port.
    let closed = net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    net::bind(&closed, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let refused = SocketAddr::try_from(net::getsockname(&closed).unwrap()).unwrap();
    let healthy = Fake::start(|_, call| done(call, "published"));
    let mut script = ScriptedHost::start(&[refused, healthy.address]);
    let host = Arc::clone(&script.host);
    let caller = thread::spawn(move || host.post_order(&host.ticket(BODY), BODY));
    script.admit();

    script.dispatch(1, refused, TIMEOUT);
    assert_eq!(script.finished(1), End::NotRun { leaving: false });
    script.dispatch(2, healthy.address, TIMEOUT);
    let (status, text) = caller.join().unwrap();

    assert_eq!(status, 200, "{text}");
    assert_eq!(healthy.count(), 1);
}

#[test]
fn request_ends_at_its_deadline() {
    let stalled = Fake::start(|_, call| {
        thread::sleep(Duration::from_secs(3));
        done(call, "too late")
    });
    let mut script = ScriptedHost::start(&[stalled.address]);
    let host = Arc::clone(&script.host);
    let headers = [("Persimmon-Deadline-Ms", "300")];
    let caller = thread::spawn(move || host.post("", &headers, BODY));
    script.admit();
    script.dispatch(1, stalled.address, TIMEOUT);

    let (status, text) = caller.join().unwrap();
    assert_eq!(status, 504, "{text}");
    assert_eq!(parse(&text)["outcome"], "failed");
}
