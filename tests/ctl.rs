//! Process tests of the operators' tool: exit codes, output and error messages.

use {
    serde_json::{Value, json},
    stand_ins::{
        fleet::Fleet,
        http::{Reply, Request},
        server::{ANY_PORT, Handler, Server},
    },
    std::{
        fs,
        net::SocketAddr,
        path::Path,
        process::{Command, Output},
        sync::Arc,
    },
    tempfile::TempDir,
};

const BINARY: &str = env!("CARGO_BIN_EXE_persimmoncleatctl");
const DAEMON: &str = env!("CARGO_BIN_EXE_persimmoncleatd");
const VALID_TREE: &str = "[pipelines/note]\nstages = draft\n[pools/draft]\nkind = engine\n";
const INVALID_TREE: &str = "[pools/draft]\nhedge = maybe\n[teams/a]\nprioritty = 5\nweight = 0\n";

fn run(arguments: &[&str]) -> Output {
    Command::new(BINARY).args(arguments).output().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Creates a folder with an operator key and a settings tree, and returns it with
/// the path of the tree.
fn folder(text: &str) -> (TempDir, String) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("tree.ini");
    fs::write(&file, text).unwrap();
    fs::write(folder.path().join("operator.key"), "a key of the operators").unwrap();
    (folder, file.to_str().unwrap().into())
}

fn run_at(address: SocketAddr, key_folder: &Path, arguments: &[&str]) -> Output {
    let (address, key) = (address.to_string(), key_folder.join("operator.key"));
    let mut all = vec!["--host", &address, "--key-file", key.to_str().unwrap()];
    all.extend_from_slice(arguments);
    run(&all)
}

macro_rules! offline {
    ($($name:ident: $arguments:expr => $code:expr, $text:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let output = run(&$arguments);
                let text = stdout(&output) + &stderr(&output);
                assert_eq!(output.status.code(), Some($code), "{text}");
                assert!(text.contains($text), "{text}");
            }
        )*
    };
}

offline! {
    trace_with_an_unknown_prefix_is_a_usage_error: ["replay", "Cargo.toml"] => 2, "does not start with";
    command_without_host_is_a_usage_error: ["status"] => 2, "--host ADDRESS";
    help_has_examples: ["--help"] => 0, "Examples:";
    help_of_check_shows_units: ["config", "check", "--help"] => 0, "from 1 to 600000 (ms)";
    missing_file_is_a_usage_error: ["config", "check", "nothing.ini"] => 2, "cannot read";
    claims_trace_is_replayed: ["replay", "tests/traces/claims-witness-killed.json"] => 0, "no rule";
    lease_trace_is_replayed: ["replay", "tests/traces/lease-outage.json"] => 0, "no rule";
    scheduler_trace_is_replayed: ["replay", "tests/traces/scheduler-late-hedge.json"] => 0, "no rule";
    settings_trace_is_replayed: ["replay", "tests/traces/settings-every-peer-fails.json"] => 0, "no rule";
    timeline_of_a_missing_log_is_a_usage_error: ["timeline", "a1", "none.log"] => 2, "cannot read";
    timeline_of_an_unknown_request_fails: ["timeline", "none", "tests/logs/h1.log"] => 1, "no line names";
    timeline_without_a_log_is_a_usage_error: ["timeline", "a1"] => 2, "LOG";
    unknown_command_is_a_usage_error: ["bogus"] => 2, "bogus";
}

#[test]
fn timeline_merges_the_logs_of_two_hosts_by_time() {
    let output = run(&["timeline", "a1", "tests/logs/h1.log", "tests/logs/h2.log"]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(stdout(&output), @r"
    TIME          LOG  MESSAGE                  FIELDS
    10:00:01.100  h2   call with pieces failed  outcome=broken
    10:00:01.200  h1   attempt failed:          endpoint=i-1 outcome=not_run
    10:00:01.230  h1   request                  ms=30 outcome=answered status=200
    ");
}

#[test]
fn check_accepts_a_valid_file() {
    let (_folder, file) = folder(VALID_TREE);
    let output = run(&["config", "check", &file]);
    assert_eq!(output.status.code(), Some(0));
    assert!(stdout(&output).contains("2 values, no errors"));
}

#[test]
fn check_prints_every_error() {
    let (_folder, file) = folder(INVALID_TREE);
    let output = run(&["config", "check", &file]);
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(stderr(&output), @r#"
    error: [pools/draft] hedge: "maybe", expected one of on, off
    error: [teams/a] prioritty: "5", expected a known key; the nearest is "priority"
    error: [teams/a] weight: "0", expected a whole number from 1 to 1000
    error: [pools/draft] kind: "", expected one of engine, pool, service
    "#);

    let output = run(&["config", "check", "--json", &file]);
    let answer = serde_json::from_slice::<Value>(&output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(answer["errors"].as_array().unwrap().len(), 4);
}

#[test]
fn unreachable_host_exits_with_4() {
    let (folder, _) = folder(VALID_TREE);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let output = run_at(address, folder.path(), &["status"]);
    assert_eq!(output.status.code(), Some(4));
}

/// A host that refuses every change with a conflict.
struct ConflictingHost;

impl Handler for ConflictingHost {
    fn handle(&self, request: Request) -> Reply {
        if request.method == "GET" {
            return Reply::ok(json!({"version": 1, "nodes": []}));
        }

        Reply::status(
            409,
            json!({
                "path": "teams/a", "key": "rate", "yours": "4", "theirs": "5", "version": 2,
            }),
        )
    }
}

#[test]
fn conflict_prints_both_values() {
    let (folder, _) = folder(VALID_TREE);
    let server = Server::start(ANY_PORT, Arc::new(ConflictingHost)).unwrap();
    let set = ["config", "set", "teams/a", "rate", "4"];
    let output = run_at(server.address(), folder.path(), &set);

    assert_eq!(output.status.code(), Some(3));
    insta::assert_snapshot!(stderr(&output), @r#"
    conflict: another change set [teams/a] rate
      yours:  4
      theirs: 5 (version 2)
    "#);
}

#[test]
fn commands_work_against_a_daemon() {
    let fleet = Fleet::start(DAEMON, 1);
    let address = fleet.hosts[0].caller_address();
    let ctl = |arguments: &[&str]| run_at(address, fleet.folder(), arguments);

    let set = ctl(&["config", "set", "teams/hvarfdal", "rate", "40"]);
    assert_eq!(set.status.code(), Some(0), "{}", stderr(&set));
    assert!(stdout(&set).starts_with("accepted as version 2"));

    let get = ctl(&["config", "get", "teams/hvarfdal/volume", "--explain"]);
    let line = "teams/hvarfdal/volume  rate         40     requests/s     teams/hvarfdal";
    assert!(stdout(&get).contains(line), "{}", stdout(&get));

    assert_eq!(ctl(&["config", "get", "team s"]).status.code(), Some(2));

    let wrong = ctl(&["config", "history", "--limit", "0"]);
    assert_eq!(wrong.status.code(), Some(2));
    let text = stderr(&wrong);
    assert!(
        text.starts_with("error: ") && text.contains("\"0\", expected"),
        "{text}"
    );

    let wrong = ctl(&["config", "set", "teams/hvarfdal", "rate", "many"]);
    assert_eq!(wrong.status.code(), Some(3));
    assert!(stderr(&wrong).contains("a whole number from 0 to 1000000 (requests/s)"));

    let history = stdout(&ctl(&["config", "history", "--limit", "1"]));
    assert!(
        history.contains("[teams/hvarfdal]\n+ rate = 40\n"),
        "{history}"
    );

    let file = fleet.folder().join("tree.ini");
    let tree = stdout(&ctl(&["config", "export"])).replace("rate = 40", "weight = 7");
    fs::write(&file, tree).unwrap();
    let file = file.to_str().unwrap();
    let diff = "[teams/hvarfdal]\n- rate = 40\n+ weight = 7\n";
    let dry_run = ctl(&["config", "apply", file, "--dry-run"]);
    assert_eq!(
        (dry_run.status.code(), stdout(&dry_run)),
        (Some(0), diff.into())
    );
    assert_eq!(ctl(&["config", "apply", file]).status.code(), Some(2));

    let applied = ctl(&["config", "apply", file, "--remove"]);
    assert_eq!(applied.status.code(), Some(0), "{}", stderr(&applied));
    assert!(stdout(&applied).contains("accepted as version 3"));
    assert_eq!(stdout(&ctl(&["config", "apply", file])), "no changes\n");

    for command in ["status", "backlog", "endpoints"] {
        let output = ctl(&[command]);
        assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
        assert!(!stdout(&output).is_empty());
        let output = ctl(&[command, "--json"]);
        serde_json::from_slice::<Value>(&output.stdout).unwrap();
    }

    assert_eq!(ctl(&["explain", "h1.1.0"]).status.code(), Some(1));
    assert!(stdout(&ctl(&["drain"])).starts_with("leaving"));
}
