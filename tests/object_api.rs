//! The client of the object API: what became of a write, and the counts.

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

fn platform() -> (Handle, ObjectApi, CallCounters) {
    let objects = object_api::start(ANY_PORT).unwrap();
    let calls = CallCounters::default();
    let client = ObjectApi::new(&objects.url(), calls.clone());
    (objects, client, calls)
}

#[test]
fn second_create_is_a_conflict_with_the_current_version() {
    let (_objects, client, _) = platform();
    let WriteOutcome::Done { version } = client.create("a/b", &json!(1)) else {
        panic!("the first write was not carried out");
    };
    assert!(
        matches!(client.create("a/b", &json!(2)), WriteOutcome::Conflict { version: known } if known == version)
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
fn lost_answer_is_unknown_although_the_write_took_effect() {
    let (objects, client, _) = platform();
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
fn outage_leaves_a_write_unknown_and_fails_reads() {
    let (objects, client, _) = platform();
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
fn closed_port_refuses_a_write() {
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
fn each_kind_of_call_is_counted() {
    let (_objects, client, calls) = platform();
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
