//! Tests of the object API stand-in's interface and fault switches.

use {
    serde_json::{Value, json},
    stand_ins::{
        client,
        object_api::{self, Faults, Handle},
        server::ANY_PORT,
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const LIMIT: Duration = Duration::from_secs(20);
const CREATE: (&str, &str) = ("If-None-Match", "*");

/// Sends a request. Returns `None` if no complete response arrives.
fn json(method: &str, url: &str, headers: &[(&str, &str)], body: &Value) -> Option<(u16, Value)> {
    let response = client::send(method, url, headers, &body.to_string(), LIMIT).ok()?;
    Some((response.status, response.json()))
}

fn put(api: &Handle, key: &str, condition: (&str, &str), value: &Value) -> Option<(u16, Value)> {
    let url = format!("{}/v1/objects/{key}", api.url());
    json("PUT", &url, &[condition], value)
}

fn get(api: &Handle, path: &str) -> (u16, Value) {
    json(
        "GET",
        &format!("{}/v1/{path}", api.url()),
        &[],
        &Value::Null,
    )
    .unwrap()
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($api:ident) $body:block)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let $api = object_api::start(ANY_PORT).unwrap();
                $body
            }
        )*
    };
}

cases! {
    /// Guards against a second create that replaces the first.
    create_conflict_returns_the_version(api) {
        assert_eq!(put(&api, "a/1", CREATE, &json!(1)).unwrap(), (200, json!({"key": "a/1", "version": 1})));
        assert_eq!(put(&api, "a/1", CREATE, &json!(2)).unwrap(), (412, json!({"key": "a/1", "version": 1})));
        assert_eq!(get(&api, "objects/a%2F1").1, json!({"key": "a/1", "version": 1, "value": 1}));
    }

    /// Guards against an update or deletion that applies to a version other than
    /// the one read.
    update_requires_the_current_version(api) {
        put(&api, "a", CREATE, &json!(1));
        put(&api, "b", CREATE, &json!(1));
        assert_eq!(put(&api, "a", ("If-Match", "1"), &json!(2)).unwrap().1["version"], 3);
        assert_eq!(put(&api, "a", ("If-Match", "1"), &json!(3)).unwrap(), (412, json!({"key": "a", "version": 3})));
        assert_eq!(put(&api, "c", ("If-Match", "1"), &json!(3)).unwrap(), (412, json!({"key": "c", "version": 0})));
        let url = format!("{}/v1/objects/a", api.url());
        assert_eq!(json("DELETE", &url, &[("If-Match", "1")], &Value::Null).unwrap().0, 412);
        assert_eq!(json("DELETE", &url, &[("If-Match", "3")], &Value::Null).unwrap().0, 200);
        assert_eq!(get(&api, "objects/a").0, 404);
    }

    /// Guards against accepting a write without a condition or a value above the
    /// size limit.
    invalid_writes_are_refused(api) {
        assert_eq!(put(&api, "a", ("X-None", "1"), &json!(1)).unwrap().0, 428);
        assert_eq!(put(&api, "a", CREATE, &json!("x".repeat(1 << 20))).unwrap().0, 413);
    }

    /// Guards against a list that is out of order or ignores its bounds.
    list_is_ordered_and_bounded(api) {
        for key in ["l/3", "l/1", "m/1", "l/2"] {
            put(&api, key, CREATE, &json!(key));
        }
        let (_, list) = get(&api, "objects?prefix=l/&after=l/1&limit=1");
        assert_eq!(list, json!({"objects": [{"key": "l/2", "version": 4, "value": "l/2"}], "revision": 4}));
    }

    /// Guards against a lost reply that also loses the write.
    write_with_a_lost_reply_takes_effect(api) {
        api.set(Faults { lose_replies: Some(1), ..Faults::default() });
        assert_eq!(put(&api, "a", CREATE, &json!(7)), None);
        assert_eq!(get(&api, "objects/a").1["value"], 7);
        assert_eq!(put(&api, "b", CREATE, &json!(8)).unwrap().0, 200);
    }

    /// Guards against a watch that misses a write or returns before it.
    watch_waits_for_a_change(api) {
        put(&api, "w/1", CREATE, &json!(1));
        thread::scope(|scope| {
            let watch = scope.spawn(|| get(&api, "watch?prefix=w/&after=1&wait_ms=10000").1);
            put(&api, "x", CREATE, &json!(1));
            put(&api, "w/1", ("If-Match", "1"), &json!(2));
            let watched = watch.join().unwrap();
            assert_eq!(watched, json!({"events": [{"key": "w/1", "version": 3, "value": 2}], "revision": 3}));
        });
        assert_eq!(get(&api, "watch?prefix=w/&after=3&wait_ms=1").1, json!({"events": [], "revision": 3}));
    }

    /// Guards against delayed events that a later watch does not return.
    delayed_events_are_returned_later(api) {
        api.set(Faults { watch_delay_ms: Some(200), ..Faults::default() });
        put(&api, "w", CREATE, &json!(1));
        let first = get(&api, "watch?prefix=w&after=0&wait_ms=0").1;
        assert_eq!(first, json!({"events": [], "revision": 0}));
        let start = Instant::now();
        assert_eq!(get(&api, "watch?prefix=w&after=0&wait_ms=10000").1["revision"], 1);
        assert!(start.elapsed() < Duration::from_secs(9));
    }

    /// Guards against watch faults that affect the stored objects.
    dropped_and_shuffled_events(api) {
        api.set(Faults { watch_drop: Some(1), watch_shuffle: Some(true), ..Faults::default() });
        for key in ["w/1", "w/2", "w/3"] {
            put(&api, key, CREATE, &json!(1));
        }
        let events = get(&api, "watch?prefix=w/&after=0&wait_ms=0").1["events"].clone();
        let keys: Vec<&str> = events.as_array().unwrap().iter().map(|event| event["key"].as_str().unwrap()).collect();
        assert_eq!(keys, ["w/3", "w/2"]);
        assert_eq!(get(&api, "objects?prefix=w/").1["objects"].as_array().unwrap().len(), 3);
    }

    /// Guards against an outage that loses objects or accepts writes, and against
    /// calls that are not counted.
    outage_refuses_and_counts_calls(api) {
        put(&api, "a", CREATE, &json!(1));
        json("POST", &format!("{}/v1/faults", api.url()), &[], &json!({"outage": true}));
        assert_eq!(get(&api, "objects/a").0, 503);
        assert_eq!(put(&api, "b", CREATE, &json!(1)).unwrap().0, 503);
        assert_eq!(get(&api, "watch?prefix=a&after=0&wait_ms=10000").0, 503);
        api.set(Faults { outage: Some(false), ..Faults::default() });
        assert_eq!(get(&api, "objects/a").1["value"], 1);
        assert_eq!(get(&api, "objects/b").0, 404);
        assert_eq!(get(&api, "counts").1, json!({"get": 3, "put": 2, "delete": 0, "list": 0, "watch": 1}));
    }
}
