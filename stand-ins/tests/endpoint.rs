//! The contract of the endpoints and their faults.

use {
    serde_json::{Value, json},
    stand_ins::{
        client,
        endpoint::{self, Handle, Kind, Options},
        faults::FaultSwitches,
        orders::Fencing,
        server::ANY_PORT,
        synthetic,
    },
    std::{thread, time::Duration},
};

const LIMIT: Duration = Duration::from_secs(20);

/// Sends a request; `None` stands for a connection without a whole answer.
fn json(method: &str, url: &str, headers: &[(&str, &str)], body: &Value) -> Option<(u16, Value)> {
    let answer = client::send(method, url, headers, &body.to_string(), LIMIT).ok()?;
    Some((answer.status, answer.json()))
}

/// Builds a call; `changes` replace its fields.
fn call(changes: Value) -> Value {
    let mut call = json!({
        "attempt": "1", "class": "urgent", "deadline_ms": 5000, "input": null, "max_tokens": 5,
        "prefix": null, "priority": 5, "prompt": "mark-1 write", "repeatable": true,
        "request": "h1.1.a", "resume_from": 0, "stage": "draft", "stream": false, "team": "t",
    });

    for (key, value) in changes.as_object().unwrap() {
        call[key] = value.clone();
    }

    call
}

fn start(kind: Kind) -> Handle {
    let fencing = Fencing::Enforced;
    endpoint::start(
        ANY_PORT,
        Options {
            fencing,
            kind,
            reports_load: false,
        },
    )
    .unwrap()
}

fn post(endpoint: &Handle, changes: Value) -> Option<(u16, Value)> {
    json(
        "POST",
        &format!("{}/v1/calls", endpoint.url()),
        &[],
        &call(changes),
    )
}

fn stream(endpoint: &Handle, changes: Value) -> Option<Vec<Value>> {
    let mut body = call(changes);
    body["stream"] = json!(true);
    let url = format!("{}/v1/calls", endpoint.url());
    let answer = client::send("POST", &url, &[], &body.to_string(), LIMIT).ok()?;
    Some(
        answer
            .text
            .lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect(),
    )
}

fn expected() -> String {
    synthetic::output("draft", "mark-1 write", 5)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($endpoint:ident: $kind:ident) $body:block)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let $endpoint = start(Kind::$kind);
                $body
            }
        )*
    };
}

cases! {
    /// Guards against an answer that a test cannot predict.
    answer_is_a_function_of_the_call(endpoint: Engine) {
        let (status, answer) = post(&endpoint, json!({})).unwrap();
        assert_eq!((status, &answer["output"], &answer["tokens"]), (200, &json!(expected()), &json!(5)));
        assert_eq!((&answer["attempt"], &answer["request"]), (&json!("1"), &json!("h1.1.a")));
        let (_, next) = post(&endpoint, json!({"input": expected(), "stage": "check"})).unwrap();
        assert_eq!(next["output"], synthetic::pipeline(&["draft", "check"], "mark-1 write", 5));
        assert_eq!(endpoint.oracle().effects_of("h1.1.a"), 2);
    }

    /// Guards against a stream that differs from the whole answer, and a resumed one from both.
    stream_resumes(endpoint: Engine) {
        let lines = stream(&endpoint, json!({})).unwrap();
        let tokens: Vec<&str> = lines.iter().filter_map(|line| line["token"].as_str()).collect();
        assert_eq!(tokens.concat(), expected());
        assert_eq!(lines[5], json!({"attempt": "1", "request": "h1.1.a", "end": true, "tokens": 5}));
        assert_eq!(stream(&endpoint, json!({"resume_from": 3})).unwrap(), lines[3..]);
    }

    /// Guards against a break that hits more than one stream or ends it in the regular way.
    stream_breaks_once(endpoint: Engine) {
        endpoint.set(FaultSwitches { break_stream_at: Some(2), ..FaultSwitches::default() });
        assert_eq!(stream(&endpoint, json!({})), None);
        assert_eq!(endpoint.oracle().effects_of("h1.1.a"), 0);
        assert_eq!(stream(&endpoint, json!({"resume_from": 2})).unwrap().len(), 4);
    }

    /// Guards against a truncated stream that has its last line.
    truncated_answers_are_not_whole(endpoint: Engine) {
        endpoint.set(FaultSwitches { truncate: Some(2), truncate_at: Some(2), ..FaultSwitches::default() });
        assert_eq!(stream(&endpoint, json!({})).unwrap().len(), 2);
        assert_eq!(post(&endpoint, json!({})), None);
    }

    /// Guards against a crossed answer that the attempt does not reveal.
    crossed_answer_names_another_attempt(endpoint: Pool) {
        post(&endpoint, json!({"attempt": "8", "prompt": "other text"}));
        endpoint.set(FaultSwitches { cross: Some(1), ..FaultSwitches::default() });
        let (_, answer) = post(&endpoint, json!({})).unwrap();
        assert_eq!((&answer["attempt"], &answer["output"]), (&json!("8"), &json!(synthetic::output("draft", "other text", 5))));
    }

    /// Guards against a refusal that ran, and a death that did not.
    refusals_do_not_run_and_deaths_do(endpoint: Service) {
        endpoint.set(FaultSwitches { refuse: Some(1), die: Some(1), ..FaultSwitches::default() });
        let (status, refusal) = post(&endpoint, json!({})).unwrap();
        assert_eq!((status, &refusal["status"], &refusal["reason"]), (503, &json!("not_run"), &json!("full")));
        assert_eq!((endpoint.oracle().calls_of("h1.1.a"), endpoint.oracle().refused), (0, 1));
        assert_eq!(post(&endpoint, json!({})), None);
        assert_eq!(endpoint.oracle().effects_of("h1.1.a"), 1);
        endpoint.set(FaultSwitches { leaving: Some(true), ..FaultSwitches::default() });
        assert_eq!(post(&endpoint, json!({})).unwrap().1["reason"], "leaving");
    }

    /// Guards against a cancelled call that counts as run.
    cancelled_call_has_no_effect(endpoint: Engine) {
        endpoint.set(FaultSwitches { stall: Some(1), ..FaultSwitches::default() });
        let url = format!("{}/v1/calls/1", endpoint.url());
        thread::scope(|scope| {
            let stalled = scope.spawn(|| post(&endpoint, json!({})).unwrap());
            while endpoint.oracle().calls.is_empty() {
                thread::yield_now();
            }
            while json("DELETE", &url, &[], &Value::Null).unwrap().1["cancelled"] != true {}
            let (status, answer) = stalled.join().unwrap();
            assert_eq!((status, &answer["status"]), (500, &json!("failed")));
        });
        assert_eq!(endpoint.oracle().effects_of("h1.1.a"), 0);
        assert_eq!(json("DELETE", &url, &[], &Value::Null).unwrap().1["cancelled"], false);
    }

    /// Guards against an old fencing token that is obeyed, and an order applied twice.
    old_token_is_refused(endpoint: Engine) {
        let url = format!("{}/v1/orders", endpoint.url());
        let order = |operation: &str, token: u64, name: &str| {
            let body = json!({"operation": operation, "token": token, "kind": "load_model", "name": name});
            json("POST", &url, &[], &body).unwrap()
        };
        assert_eq!(order("a", 5, "m1"), (200, json!({"applied": true, "token": 5})));
        assert_eq!(order("b", 4, "m2"), (409, json!({"applied": false, "token": 5})));
        assert_eq!(order("a", 6, "m1").0, 200);
        let (_, engine) = json("GET", &format!("{}/v1/engine", endpoint.url()), &[], &Value::Null).unwrap();
        assert_eq!((&engine["models"], &engine["operations"]), (&json!(["m1"]), &json!(["a"])));
    }

    /// Guards against cache events without gaps, which would hide that hints can be stale.
    cache_events_have_gaps(endpoint: Engine) {
        for prefix in 0..8 {
            post(&endpoint, json!({"prefix": format!("p{prefix}")}));
        }
        let url = format!("{}/v1/cache-events?after=0", endpoint.url());
        let sequences = || -> Vec<u64> {
            let (_, body) = json("GET", &url, &[], &Value::Null).unwrap();
            body["events"].as_array().unwrap().iter().map(|event| event["sequence"].as_u64().unwrap()).collect()
        };
        while sequences().last() != Some(&8) {}
        assert_eq!(sequences(), [1, 2, 3, 4, 5, 6, 8]);
    }

    /// Guards against a service that reports load although it was not told to.
    load_is_reported_by_engines(endpoint: Engine) {
        let (_, load) = json("GET", &format!("{}/v1/load", endpoint.url()), &[], &Value::Null).unwrap();
        assert_eq!((&load["capacity"], &load["leaving"]), (&json!(16), &json!(false)));
        let service = start(Kind::Service);
        assert_eq!(json("GET", &format!("{}/v1/load", service.url()), &[], &Value::Null).unwrap().0, 404);
    }
}
