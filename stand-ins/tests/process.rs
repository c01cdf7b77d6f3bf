//! Process tests of the stand-ins: registration in the host list, the host
//! list's faults and termination.

use {
    serde_json::{Value, json},
    stand_ins::client,
    std::{
        io::{BufRead, BufReader},
        process::{Child, Command, Stdio},
        time::Duration,
    },
};

const LIMIT: Duration = Duration::from_secs(20);

/// Sends a request. Returns `None` if no complete response arrives.
fn json(method: &str, url: &str, headers: &[(&str, &str)], body: &Value) -> Option<(u16, Value)> {
    let response = client::send(method, url, headers, &body.to_string(), LIMIT).ok()?;
    Some((response.status, response.json()))
}

struct Process {
    child: Child,
    url: String,
}

impl Process {
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_stand-ins"))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let line: Value = serde_json::from_str(&line).unwrap();
        let url = format!("http://{}", line["listening"].as_str().unwrap());
        Self { child, url }
    }

    /// Sends SIGTERM to the process and returns its exit code.
    fn stop(&mut self) -> Option<i32> {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status().unwrap();
        self.child.wait().unwrap().code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn hosts(list: &Process) -> Value {
    json("GET", &format!("{}/v1/hosts", list.url), &[], &Value::Null)
        .unwrap()
        .1
}

/// Guards against an endpoint that registers an address other than its own, and
/// against a process that does not exit on SIGTERM.
#[test]
fn endpoint_registers_and_deregisters() {
    let mut list = Process::start(&["host-list"]);
    let mut endpoint = Process::start(&[
        "endpoint",
        "--kind",
        "engine",
        "--id",
        "e1",
        "--pool",
        "writer",
        "--domain",
        "is-1",
        "--host-list",
        &list.url,
    ]);
    let address = endpoint.url.trim_start_matches("http://");
    let record = json!({"address": address, "domain": "is-1", "id": "e1", "phase": "live", "pool": "writer"});
    assert_eq!(hosts(&list), json!({"hosts": [record], "revision": 1}));
    assert_eq!(endpoint.stop(), Some(0));
    assert_eq!(hosts(&list), json!({"hosts": [], "revision": 2}));
    assert_eq!(list.stop(), Some(0));
}

/// Guards against a host list that shows a change before the lag has passed, or
/// serves requests during an outage.
#[test]
fn host_list_faults_apply() {
    let list = Process::start(&["host-list", "--listen", "127.0.0.1:0"]);
    let faults = format!("{}/v1/faults", list.url);
    json("POST", &faults, &[], &json!({"lag_ms": 300})).unwrap();
    let record = json!({"address": "127.0.0.1:9", "domain": "d", "id": "x", "phase": "leaving", "pool": "p"});
    json("POST", &format!("{}/v1/hosts", list.url), &[], &record).unwrap();
    assert_eq!(hosts(&list), json!({"hosts": [], "revision": 0}));
    while hosts(&list)["revision"] == 0 {}
    assert_eq!(hosts(&list)["hosts"], json!([record]));
    json("POST", &faults, &[], &json!({"outage": true})).unwrap();
    assert_eq!(
        json("GET", &format!("{}/v1/hosts", list.url), &[], &Value::Null)
            .unwrap()
            .0,
        503
    );
}
