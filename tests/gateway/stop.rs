//! Planned stops and the operators' routes.

use {
    crate::{
        fakes::{Fake, done, end, token},
        support::{Host, OPERATOR_KEY, TEAM_KEY, parse, wait_for},
    },
    persimmoncleat::{coordination::drain, state::pool::Kind},
    rouille::{Response, ResponseBody},
    std::{
        io::{self, Read},
        sync::Arc,
        thread,
        time::Duration,
    },
};

const BODY: &str = r#"{"prompt": "tides of May"}"#;

/// Yields a line every 100 ms.
struct SlowReader(Vec<Vec<u8>>);

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        thread::sleep(Duration::from_millis(100));
        match self.0.pop() {
            Some(line) => line.as_slice().read(buffer),
            None => Ok(0),
        }
    }
}

fn host() -> (Arc<Host>, Fake) {
    let engine = Fake::start(|_, call| {
        let mut all: Vec<_> = (0..6).map(|index| token(call, index)).collect();
        all.push(end(call, 6));
        let lines = all
            .iter()
            .rev()
            .map(|line| format!("{line}\n").into_bytes());
        Response {
            status_code: 200,
            headers: vec![],
            data: ResponseBody::from_reader(SlowReader(lines.collect())),
            upgrade: None,
        }
    });
    let host = Host::start(&[("generate", Kind::Engine, &[engine.address])]);
    (Arc::new(host), engine)
}

#[test]
fn planned_stop_lets_a_stream_finish_and_refuses_new_work() {
    let (host, engine) = host();
    let caller = Arc::clone(&host);
    let headers = [("Persimmon-Deadline-Ms", "3000")];
    let caller = thread::spawn(move || caller.post("?stream=true", &headers, BODY));
    wait_for(|| engine.count() == 1);

    let path = "/v1/admin/drain";
    let operator = [("Authorization", &*format!("Bearer {OPERATOR_KEY}"))];
    let (status, text) = host.send(path, &operator, "");
    assert_eq!(status, 200);
    assert_eq!(parse(&text)["outstanding"], 1, "{text}");
    wait_for(|| host.gateway.unready().is_some());
    let (status, text) = host.post("", &[], BODY);
    assert_eq!(status, 503, "{text}");
    assert_eq!(parse(&text)["reason"], "leaving");
    assert_eq!(parse(&text)["outcome"], "not_run");

    drain::wait(&host.gateway, || 0);
    assert!(caller.is_finished(), "the stop did not wait for the stream");
    let (status, text) = caller.join().unwrap();
    assert_eq!(status, 200);
    assert_eq!(parse(text.lines().last().unwrap())["end"], true, "{text}");
    assert_eq!(host.gateway.records.running(), 0);
}

#[test]
fn wrong_operator_key_changes_nothing() {
    let (host, _engine) = host();

    for key in ["", "wrong", TEAM_KEY] {
        let authorization = format!("Bearer {key}");
        let headers = [("Authorization", authorization.as_str())];
        assert_eq!(host.send("/v1/admin/drain", &headers, "").0, 401);
        assert_eq!(host.get("/v1/admin/status", key).0, 401);
    }

    assert!(host.gateway.unready().is_none());
    assert_eq!(host.counter("wrong_keys"), 6);
}

#[test]
fn operators_see_latency_cost_and_events() {
    let engine = Fake::start(|_, call| done(call, "drafted"));
    let host = Host::start(&[("generate", Kind::Engine, &[engine.address])]);
    let (_, answer) = host.post("", &[], BODY);
    let request = parse(&answer)["request"].as_str().unwrap().to_string();
    let get = |path: &str| parse(&host.get(path, OPERATOR_KEY).1);

    let status = get("/v1/admin/status");
    assert_eq!(status["ready"], true);
    assert_eq!(status["outstanding"], 0);
    assert_eq!(status["latency"].as_array().unwrap().len(), 2, "{status}");
    assert_eq!(status["latency"][0]["stage"], serde_json::Value::Null);
    assert_eq!(status["cost"][0]["tokens"], 1);
    assert_eq!(status["counters"]["answered"], 1);

    let endpoint = &get("/v1/admin/endpoints")["endpoints"][0];
    assert_eq!(endpoint["pool"], "generate");
    assert_eq!(endpoint["phase"], "live");
    assert!(get("/v1/admin/backlog")["rows"].is_array());

    let explained = get(&format!("/v1/admin/explain/{request}"));
    let events: Vec<_> = explained["events"].as_array().unwrap().iter().collect();
    let names: Vec<_> = events
        .iter()
        .map(|event| event["event"].as_str().unwrap())
        .collect();
    assert_eq!(
        names,
        ["arrived", "admitted", "dispatched", "finished", "answered"]
    );
    assert_eq!(events[2]["attempt"], 1);
    assert_eq!(events[2]["host"], "h1");
    assert_eq!(get("/v1/admin/explain/h1.1.none")["status"], 404);
}
