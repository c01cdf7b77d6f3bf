//! Requests beyond a limit must be refused with a named outcome: `not_run`, or
//! `unknown` where the head may hold the ticket of a request that ran earlier.

use {
    crate::{
        fakes::{Fake, done},
        support::{Host, TEAM_KEY, parse, wait_for},
    },
    persimmoncleat::{protocol::daemon_file::Limits, state::pool::Kind},
    std::{
        io::{Read, Write},
        net::TcpStream,
        sync::Arc,
        thread,
        time::Duration,
    },
};

const BODY: &str = r#"{"prompt": "tides of May"}"#;

fn host(limits: Limits) -> (Host, Fake) {
    let fake = Fake::start(|_, call| {
        thread::sleep(Duration::from_millis(300));
        done(call, "drafted")
    });
    let host = Host::with_limits(&[("generate", Kind::Engine, &[fake.address])], limits);
    (host, fake)
}

/// Sends raw text, waits until the connection is closed and returns the answer.
fn send_raw(host: &Host, text: &str) -> String {
    let mut stream = TcpStream::connect(host.address).unwrap();
    let _ = stream.write_all(text.as_bytes());
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

fn assert_refused(
    host: &Host,
    answer: &str,
    (status, outcome): (&str, &str),
    counter: &str,
    detail: &str,
) {
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    let problem = parse(body);
    assert_eq!(problem["outcome"], outcome, "{answer}");
    assert!(
        problem["detail"].as_str().unwrap().contains(detail),
        "{answer}"
    );
    assert_eq!(host.counter(counter), 1);
}

macro_rules! refuses {
    ($name:ident, $limits:expr, $text:expr, $status:expr, $counter:expr, $detail:expr) => {
        #[test]
        fn $name() {
            let (host, fake) = host($limits);
            let answer = send_raw(&host, $text);
            assert_refused(&host, &answer, $status, $counter, $detail);
            assert_eq!(fake.count(), 0);
        }
    };
}

refuses!(
    oversized_body_is_not_run,
    Limits::default(),
    "POST /v1/pipelines/draft/requests HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n",
    ("413", "not_run"),
    "refused_body_bytes",
    "body_bytes is 1048577, expected at most 1048576"
);
refuses!(
    oversized_body_with_a_ticket_is_unknown,
    Limits::default(),
    "POST /v1/pipelines/draft/requests HTTP/1.1\r\nPersimmon-Ticket: t\r\n\
     Content-Length: 1048577\r\n\r\n",
    ("413", "unknown"),
    "refused_body_bytes",
    "body_bytes is 1048577, expected at most 1048576"
);
refuses!(
    oversized_header_is_unknown,
    Limits::default(),
    &format!(
        "GET /v1/entrypoints HTTP/1.1\r\nX: {}\r\n\r\n",
        "x".repeat(20_000)
    ),
    ("431", "unknown"),
    "refused_header_bytes",
    "expected at most 16384"
);
refuses!(
    slow_header_is_unknown,
    Limits {
        read_timeout: Duration::from_millis(100),
        ..Limits::default()
    },
    "GET /v1/entrypoints HTTP/1.1\r\nX: ",
    ("408", "unknown"),
    "refused_read_timeout",
    "more than 100 ms"
);
refuses!(
    slow_body_is_not_run,
    Limits {
        read_timeout: Duration::from_millis(100),
        ..Limits::default()
    },
    "POST /v1/pipelines/draft/requests HTTP/1.1\r\nContent-Length: 10\r\n\r\n{",
    ("408", "not_run"),
    "refused_read_timeout",
    "more than 100 ms"
);
refuses!(
    two_content_lengths_are_not_run,
    Limits::default(),
    "POST /v1/tickets HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}",
    ("400", "not_run"),
    "refused_invalid",
    "content-length"
);
refuses!(
    chunked_body_is_not_run,
    Limits::default(),
    "POST /v1/tickets HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ("400", "not_run"),
    "refused_invalid",
    "transfer-encoding"
);

#[test]
fn connections_above_the_limit_are_refused() {
    let limits = Limits {
        connections: 2,
        ..Limits::default()
    };
    let (host, _fake) = host(limits);
    let held: Vec<_> = (0..2)
        .map(|_| TcpStream::connect(host.address).unwrap())
        .collect();

    let answer = send_raw(&host, "GET /v1/entrypoints HTTP/1.1\r\n\r\n");
    assert_refused(
        &host,
        &answer,
        ("503", "not_run"),
        "refused_connections",
        "expected at most 2",
    );
    drop(held);
    wait_for(|| {
        send_raw(&host, "GET /v1/entrypoints HTTP/1.0\r\n\r\n").starts_with("HTTP/1.1 200")
    });
}

#[test]
fn bodies_above_the_total_limit_are_refused() {
    const HEAD: &[u8] = b"POST /v1/tickets HTTP/1.1\r\nContent-Length: 1048576\r\n\r\n";

    let (host, _fake) = host(Limits::default());
    let held: Vec<_> = (0..65)
        .map(|_| {
            let mut stream = TcpStream::connect(host.address).unwrap();
            stream.write_all(HEAD).unwrap();
            stream
        })
        .collect();

    wait_for(|| host.counter("refused_bodies") == 1);
    drop(held);
    wait_for(|| host.send("/v1/tickets", &[], "{}").0 == 400);
}

#[test]
fn requests_in_progress_above_the_limit_are_refused() {
    let limits = Limits {
        requests: 1,
        ..Limits::default()
    };
    let (host, fake) = host(limits);
    let host = Arc::new(host);
    let first = Arc::clone(&host);
    let first = thread::spawn(move || first.post("", &[], BODY));
    wait_for(|| fake.count() == 1);

    let (status, text) = host.post("", &[], BODY);
    assert_eq!(status, 503, "{text}");
    assert_eq!(parse(&text)["outcome"], "not_run");
    assert_eq!(host.counter("refused_requests"), 1);
    assert_eq!(first.join().unwrap().0, 200);
}

macro_rules! invalid {
    ($name:ident, $headers:expr, $body:expr, $status:expr, $detail:expr) => {
        #[test]
        fn $name() {
            let (host, fake) = host(Limits::default());
            let (status, text) = host.post("", &$headers, $body);
            assert_eq!(status, $status, "{text}");
            assert_eq!(parse(&text)["outcome"], "not_run");
            assert!(text.contains($detail), "{text}");
            assert_eq!(fake.count(), 0);
        }
    };
}

invalid!(
    deadline_of_zero_is_invalid,
    [("Persimmon-Deadline-Ms", "0")],
    BODY,
    400,
    "Persimmon-Deadline-Ms"
);
invalid!(
    repeatable_other_than_true_or_false_is_invalid,
    [("Persimmon-Repeatable", "yes")],
    BODY,
    400,
    "true or false"
);
invalid!(
    order_without_ticket_is_invalid,
    [("Persimmon-Repeatable", "false")],
    BODY,
    400,
    "Persimmon-Ticket"
);
invalid!(
    body_with_unknown_field_is_invalid,
    [],
    r#"{"prompt": "", "model": 1}"#,
    400,
    "model"
);

#[test]
fn wrong_key_gets_403_and_missing_key_gets_401() {
    let (host, _fake) = host(Limits::default());
    let path = "/v1/pipelines/draft/requests";
    let headers = |authorization| {
        [
            ("Authorization", authorization),
            ("Persimmon-Class", "volume"),
            ("Persimmon-Repeatable", "true"),
            ("Persimmon-Team", "hvarfdal"),
        ]
    };

    assert_eq!(host.send(path, &headers("Bearer wrong"), BODY).0, 403);
    assert_eq!(host.send(path, &headers(TEAM_KEY), BODY).0, 401);
    assert_eq!(host.counter("wrong_keys"), 2);
}
