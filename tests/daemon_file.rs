//! Tests of parsing the daemon's settings file and of `--check`. They guard
//! against errors that are reported one at a time or without the key, the value
//! and what was expected.

use {
    persimmoncleat::protocol::daemon_file::File,
    std::{fs, path::Path, process::Command, time::Duration},
    tempfile::TempDir,
};

const VALID: &str = "\
[host]
id = h1
domain = is-1
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:7101
peers = 127.0.0.1:7102, 127.0.0.1:7103

[platform]
object_api = http://127.0.0.1:7200
host_list = http://127.0.0.1:7300

[keys]
fleet_file = fleet.key
operator_file = operator.key

[limits]
read_timeout_ms = 250
";

fn directory() -> TempDir {
    let directory = tempfile::tempdir().unwrap();
    fs::write(directory.path().join("fleet.key"), "0123456789abcdef\n").unwrap();
    fs::write(directory.path().join("operator.key"), "fedcba9876543210\n").unwrap();
    directory
}

fn faults(text: &str, directory: &Path) -> Vec<String> {
    let faults = File::parse(text, directory).unwrap_err();
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn valid_file_is_parsed() {
    let directory = directory();
    let file = File::parse(VALID, directory.path()).unwrap();

    assert_eq!(file.host.peers.len(), 2);
    assert_eq!(file.keys.fleet.as_bytes(), b"0123456789abcdef");
    assert_eq!(file.limits.read_timeout, Duration::from_millis(250));
    assert_eq!(file.limits.body_bytes, 1024 * 1024);
    assert!(
        !format!("{file:?}").contains("0123456789abcdef"),
        "the debug output contains a key"
    );
}

#[test]
fn all_errors_are_reported_together() {
    let directory = directory();
    let text = VALID
        .replace("id = h1", "id = h 1")
        .replace("domain", "domian")
        .replace("http://127.0.0.1:7200", "https://store")
        .replace("read_timeout_ms = 250", "read_timeout_ms = 0");

    assert_eq!(
        faults(&text, directory.path()),
        [
            "[host] domian: \"is-1\", expected a known key, nearest is domain",
            "[host] domain: \"\", expected letters, digits, '-', '_' and '.'",
            "[host] id: \"h 1\", expected letters, digits, '-', '_' and '.'",
            "[limits] read_timeout_ms: \"0\", expected a whole number from 1 to 600000",
            "[platform] object_api: \"https://store\", expected http:// followed by an IP \
             address and port",
        ]
    );
}

macro_rules! fault {
    ($name:ident, $from:expr => $to:expr, $fault:expr) => {
        #[test]
        fn $name() {
            let directory = directory();
            let faults = faults(&VALID.replace($from, $to), directory.path());
            assert!(
                faults.iter().any(|fault| fault.contains($fault)),
                "{faults:?}"
            );
        }
    };
}

fault!(error_of_an_unknown_section_suggests_the_nearest, "[limits]" => "[limit]", "nearest is [limits]");
fault!(repeated_key_is_an_error, "id = h1" => "id = h1\nid = h2", "the key once only");
fault!(missing_key_file_is_an_error, "fleet.key" => "none.key", "fleet_file: \"none.key\"");
fault!(invalid_peer_address_is_an_error, "127.0.0.1:7103" => "peer", "[host] peers: \"peer\"");
fault!(line_without_value_is_an_error, "id = h1" => "id", "[host] id: \"\", expected a key = value pair");
fault!(unclosed_section_is_an_error, "[keys]" => "[keys", "[keys]: \"keys\", expected ']'");

#[test]
fn check_flag_reports_errors_and_exits() {
    let directory = directory();
    let run = |text: &str, arguments: &[&str]| {
        let path = directory.path().join("daemon.ini");
        fs::write(&path, text).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_persimmoncleatd"))
            .arg("--config")
            .arg(path)
            .args(arguments)
            .output()
            .unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        (output.status.code().unwrap(), text)
    };

    assert_eq!(run(VALID, &["--check"]), (0, String::new()));
    assert_eq!(run(VALID, &["--help"]).0, 0);
    assert_eq!(run(VALID, &["--wrong"]).0, 2);
    let (code, text) = run(&VALID.replace("[host]", "[hots]"), &["--check"]);
    assert_eq!(code, 2);
    assert!(text.contains("error: [hots] id: \"h1\""), "{text}");
}
