//! Tests of the object API client: the reported outcome of a write and the call
//! counters. They guard against a write that is reported as refused although it
//! may have taken effect.

use {
    persimmoncleat::{
        protocol::object_api::{ObjectApi, WriteOutcome},
        transport::object_api::{CallCounters, Counts},
    },
    serde_json::json,
    stand_ins::{
        object_api::{self, Faults, Handle},
        server::ANY_PORT,
    },
    std::{net::TcpListener, time::Duration},
};

fn start_client() -> (Handle, ObjectApi, CallCounters) {
    let objects = object_api::start(ANY_PORT).unwrap();
    let calls = CallCounters::default();
    let client = ObjectApi::new(&objects.url(), calls.clone());
    (objects, client, calls)
}

#[test]
fn second_create_is_a_conflict_with_the_current_version() {
    let (_objects, client, _) = start_client();
    let WriteOutcome::Done { version } = client.create("a/b", &json!(1)) else {
        panic!("the first write did not succeed");
    };
    assert!(
        matches!(client.create("a/b", &json!(2)), WriteOutcome::Conflict { version: current } if current == version)
    );
    assert!(matches!(
        client.update("a/b", &json!(3), version),
        WriteOutcome::Done { .. }
    ));
    assert!(matches!(
        client.delete("a/b", version),
        WriteOutcome::Conflict { .. }
    ));
    assert!(matches!(
        client.update("a/c", &json!(4), 9),
        WriteOutcome::Conflict { version: 0 }
    ));
}

#[test]
fn write_with_a_lost_response_is_unknown() {
    let (objects, client, _) = start_client();
    objects.set(Faults {
        lose_replies: Some(1),
        ..Faults::default()
    });
    assert!(matches!(
        client.create("a", &json!(1)),
        WriteOutcome::Unknown(_)
    ));
    assert_eq!(client.get("a").unwrap().unwrap().value, json!(1));
}

#[test]
fn write_during_an_outage_is_unknown_and_reads_fail() {
    let (objects, client, _) = start_client();
    objects.set(Faults {
        outage: Some(true),
        ..Faults::default()
    });
    assert!(matches!(
        client.create("a", &json!(1)),
        WriteOutcome::Unknown(_)
    ));
    assert!(client.get("a").is_err());
}

#[test]
fn write_to_a_closed_port_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = ObjectApi::new(&format!("http://{address}"), CallCounters::default());
    assert!(matches!(
        client.create("a", &json!(1)),
        WriteOutcome::Refused(_)
    ));
}

#[test]
fn calls_are_counted_by_kind() {
    let (_objects, client, calls) = start_client();
    client.create("a/b c", &json!(1));
    assert_eq!(client.get("a/b c").unwrap().unwrap().value, json!(1));
    assert!(client.get("none").unwrap().is_none());
    let list = client.list("a/", "", 10).unwrap();
    assert_eq!(list.objects.len(), 1);
    let watch = client.watch("a/", 0, Duration::from_millis(10)).unwrap();
    assert_eq!(watch.events.len(), 1);
    client.delete("a/b c", list.objects[0].version);

    let counts = Counts {
        delete: 1,
        get: 2,
        list: 1,
        put: 1,
        watch: 1,
    };
    assert_eq!(calls.counts(), counts);
}
