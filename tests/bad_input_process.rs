//! Process tests of invalid input: it is refused with a message that names the
//! field, the value and what was expected.

use {
    serde_json::json,
    stand_ins::{client::Response, daemon::wait, fleet::Fleet, outcome::Outcome},
    std::{
        fs,
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        process::Command,
        time::Duration,
    },
};

const DAEMON: &str = env!("CARGO_BIN_EXE_persimmoncleatd");
const BODY: &str = r#"{"prompt":"mark-1 note","max_tokens":4}"#;
const LIMIT: Duration = Duration::from_secs(20);

/// Runs the daemon and returns its exit code and everything it printed.
fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(DAEMON)
        .args(arguments)
        .output()
        .expect("the daemon runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

fn assert_contains_all(text: &str, parts: &[&str]) {
    for part in parts {
        assert!(text.contains(part), "{part:?} is missing in: {text}");
    }
}

/// Guards against a settings file that is refused without the key, the value or
/// what was expected.
#[test]
fn invalid_settings_file_is_refused_with_details() {
    let fleet = Fleet::without_hosts(DAEMON);
    let path = fleet.write_config("h1", "d1", fleet.objects.address());
    let valid = fs::read_to_string(&path).expect("settings file");

    for (from, to, parts) in [
        (
            "caller_address = 127.0.0.1:0",
            "caller_address = here",
            &["caller_address", "here", "address"][..],
        ),
        ("id = h1", "", &["id"]),
        ("id = h1", "id = h 1!", &["id", "h 1!", "letters"]),
        ("domain = d1", "domian = d1", &["domian", "domain"]),
        (
            "object_api = http",
            "object_api = ftp",
            &["object_api", "ftp://", "http://"],
        ),
        (
            "fleet_file = fleet.key",
            "fleet_file = none.key",
            &["fleet_file", "none.key", "file"],
        ),
        (
            "read_timeout_ms = 2000",
            "read_timeout_ms = soon",
            &["read_timeout_ms", "soon", "1"],
        ),
        ("[limits]", "[limit]", &["limit", "limits"]),
    ] {
        fs::write(&path, valid.replace(from, to)).expect("settings file");
        let (code, text) = run(&["--config", &path.display().to_string()]);
        assert_eq!(code, Some(2), "{to}: {text}");
        assert_contains_all(&text, parts);
    }
}

/// Guards against invalid flags that are ignored or end with another exit code.
#[test]
fn invalid_arguments_are_refused_with_details() {
    for (arguments, parts) in [
        (&["--confg", "x"][..], &["--confg"][..]),
        (&[], &["--config"]),
        (&["--config"], &["--config"]),
        (&["--config", "no-such-file.ini"], &["no-such-file.ini"]),
    ] {
        let (code, text) = run(arguments);
        assert_eq!(code, Some(2), "{arguments:?}: {text}");
        assert_contains_all(&text, parts);
    }
}

/// An invalid request and the refusal that is expected.
struct Case<'a> {
    body: &'a str,
    header: (&'a str, &'a str),
    parts: &'a [&'a str],
    reason: &'a str,
    status: u16,
}

/// Guards against requests with invalid headers or bodies that run anyway or are
/// refused without a reason.
#[test]
fn invalid_requests_are_refused_with_details() {
    let fleet = Fleet::start(DAEMON, 1);
    let team = fleet.team(fleet.host_named("h1"));
    let long = "x".repeat(17_000);
    let oversized = json!({ "prompt": "x".repeat(1 << 20) }).to_string();
    let none = ("X-None", "none");
    let case = |header, body, status, reason, parts| Case {
        body,
        header,
        parts,
        reason,
        status,
    };

    for case in [
        case(
            ("Persimmon-Team", "nobody"),
            BODY,
            403,
            "forbidden",
            &["Authorization"][..],
        ),
        case(
            ("Authorization", "Bearer wrong"),
            BODY,
            403,
            "forbidden",
            &["Authorization"],
        ),
        case(
            ("Authorization", "wrong"),
            BODY,
            401,
            "forbidden",
            &["Authorization"],
        ),
        case(
            ("Persimmon-Deadline-Ms", "soon"),
            BODY,
            400,
            "invalid",
            &["Persimmon-Deadline-Ms", "soon", "1 to 600000"],
        ),
        case(
            ("Persimmon-Deadline-Ms", "0"),
            BODY,
            400,
            "invalid",
            &["Persimmon-Deadline-Ms", "\"0\"", "1 to 600000"],
        ),
        case(
            ("Persimmon-Repeatable", "perhaps"),
            BODY,
            400,
            "invalid",
            &["Persimmon-Repeatable", "perhaps", "true or false"],
        ),
        case(
            ("Persimmon-Repeatable", "false"),
            BODY,
            400,
            "invalid",
            &["Persimmon-Ticket", "a ticket"],
        ),
        case(none, "{", 400, "invalid", &["body", "JSON"]),
        case(
            none,
            r#"{"max_tokens":4}"#,
            400,
            "invalid",
            &["prompt", "JSON"],
        ),
        case(
            none,
            r#"{"prompt":"x","max_tokens":"many"}"#,
            400,
            "invalid",
            &["many", "JSON"],
        ),
        case(
            none,
            r#"{"prompt":"x","promt":"y"}"#,
            400,
            "invalid",
            &["promt", "JSON"],
        ),
        case(
            none,
            &oversized,
            413,
            "limit",
            &["body_bytes", "at most 1048576"],
        ),
        case(
            ("X-Long", &long),
            BODY,
            431,
            "limit",
            &["header_bytes", "at most 16384"],
        ),
    ] {
        let (name, value) = case.header;
        let answer = team.clone().with(name, value).post("note", case.body);
        assert_refused(&answer.expect("an answer"), &case);
    }

    let forged = team.clone().with("Persimmon-Repeatable", "false");
    let forged = forged
        .with("Persimmon-Ticket", "abc.def")
        .post("note", BODY);
    let parts = &["Persimmon-Ticket", "abc.def", "signed"];
    assert_refused(
        &forged.expect("an answer"),
        &case(none, BODY, 409, "ticket", parts),
    );
    let missing = team.post("almanack", BODY).expect("an answer");
    assert_refused(&missing, &case(none, BODY, 404, "missing", &["almanack"]));
    assert_eq!(fleet.calls_where(|_| true), []);
}

fn assert_refused(answer: &Response, case: &Case) {
    let problem = answer.json();
    assert_eq!(
        (answer.status, &problem["reason"]),
        (case.status, &json!(case.reason)),
        "{}",
        answer.text
    );
    // A request with a ticket may have run, and so may one whose header was not
    // read, since it may contain a ticket.
    let unknown = [409, 431].contains(&case.status);
    let outcome = if unknown { "unknown" } else { "not_run" };
    assert_eq!(
        (&problem["outcome"], &problem["status"]),
        (&json!(outcome), &json!(case.status))
    );
    assert_contains_all(problem["detail"].as_str().unwrap_or_default(), case.parts);
}

/// Guards against a slow or malformed request that occupies its connection or a
/// thread.
#[test]
fn slow_and_broken_requests_are_refused() {
    let fleet = Fleet::start(DAEMON, 1);
    let address = fleet.host_named("h1").caller_address();

    for (sent, parts) in [
        (
            "POST /v1/pipelines/note/requests HTTP/1.1\r\nHost: x\r\n",
            &["408", "2000"][..],
        ),
        (
            "POST /v1/pipelines/note/requests HTTP/1.1\r\nContent-Length: 50\r\n\r\n{",
            &["408", "2000"],
        ),
        ("NONSENSE\r\n\r\n", &["400", "invalid"]),
    ] {
        assert_contains_all(&send_raw(address, sent), parts);
    }

    let outcome = wait("an answer", LIMIT, || {
        let answer = fleet.team(fleet.host_named("h1")).post("note", BODY);
        Some(Outcome::buffered(&answer))
    });
    assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
}

/// Guards against an invalid `Content-Length` that is refused without its value
/// or what was expected.
#[test]
fn invalid_content_length_is_refused_with_details() {
    let fleet = Fleet::start(DAEMON, 1);
    let sent = "POST /v1/pipelines/note/requests HTTP/1.1\r\nContent-Length: many\r\n\r\n";
    let refused = send_raw(fleet.host_named("h1").caller_address(), sent);
    assert_contains_all(&refused, &["400", "content-length", "many", "expected"]);
}

/// Sends text over a new connection and returns everything received.
fn send_raw(address: SocketAddr, sent: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(LIMIT)).expect("a timeout");
    stream.write_all(sent.as_bytes()).expect("a request");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

/// Guards against operator calls that are accepted without the operators' key.
#[test]
fn operator_calls_without_the_key_are_refused() {
    let fleet = Fleet::start(DAEMON, 1);
    let host = fleet.host_named("h1");

    for caller in [
        host.caller(),
        fleet.team(host),
        host.caller().with_key("operator"),
    ] {
        for (method, path) in [("GET", "/v1/admin/status"), ("POST", "/v1/admin/drain")] {
            let answer = caller.send(method, path, "").expect("an answer");
            assert!([401, 403].contains(&answer.status), "{}", answer.text);
        }
    }

    assert_eq!(fleet.status(host)["phase"], "alive");
}
