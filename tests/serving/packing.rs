//! Large values must be small on the links between hosts, and unchanged at their end.

use {
    capnp::message::{Builder, HeapAllocator, TypedBuilder},
    persimmoncleat::{
        state::serving::{
            mirror::{Changes, Object, RelayedChanges},
            revision::Revision,
        },
        transport::{peer_capnp::changes, wire},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    serde_json::json,
    std::time::Duration,
};

/// Number of routes of a large configuration.
const ROUTES: usize = 1400;

/// Bytes that the slowest link, of 10 Mbit/s, takes within a tenth of a second.
const MAX_MESSAGE_BYTES: usize = 125_000;

/// Returns the text of a configuration with many routes.
fn configuration() -> Vec<u8> {
    let mut random = StdRng::seed_from_u64(1);
    let route = |_| {
        let name: u64 = random.random();
        json!({
            "host": format!("{:x}.example", name >> 40), "maxAttempts": 2,
            "name": format!("route-{name:x}"), "pathPrefix": format!("/{name:x}/"),
            "priority": name % 5, "public": false, "routeKind": "idempotent",
            "service": format!("service-{}", name % 7), "sticky": false,
            "targetLatencyMs": 100 + name % 400, "timeoutMs": 1000 + name % 4000,
        })
    };
    let routes = (0..ROUTES).map(route).collect::<Vec<_>>();
    serde_json::to_vec(&json!({ "routes": routes, "version": 7 })).unwrap()
}

/// Returns changes with the configuration, a small object and a removal.
fn relayed() -> RelayedChanges {
    let object = |name: &str, removed, value: Vec<u8>| Object {
        name: name.into(),
        removed,
        revision: 5,
        value: value.into(),
    };

    RelayedChanges {
        age: Duration::from_millis(20),
        changes: Changes {
            history_lost: false,
            objects: vec![
                object("main", false, configuration()),
                object("small", false, b"{}".to_vec()),
                object("removed", true, Vec::new()),
            ],
            revision: Revision::new(2, 6),
            whole: false,
        },
    }
}

fn write(relayed: &RelayedChanges, unpacks: bool) -> TypedBuilder<changes::Owned, HeapAllocator> {
    let mut message = TypedBuilder::<changes::Owned>::new_default();
    wire::write_changes(message.init_root(), relayed, unpacks);
    message
}

fn size(message: &Builder<HeapAllocator>) -> usize {
    capnp::serialize::compute_serialized_size_in_words(message) * size_of::<u64>()
}

macro_rules! sent {
    ($($(#[$doc:meta])* $name:ident: $unpacks:expr => $is_within:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let relayed = relayed();
                let message = write(&relayed, $unpacks);
                let read = wire::read_changes(message.get_root_as_reader().unwrap()).unwrap();
                assert_eq!(read, relayed);
                let size = size(message.borrow_inner());
                let is_within = $is_within;
                assert!(is_within(size), "{size} bytes");
            }
        )*
    };
}

sent! {
    /// Guards against a configuration that takes longer over the links of small hosts
    /// than its bound allows, again with each version.
    large_configuration_is_sent_packed: true => |size| size <= MAX_MESSAGE_BYTES;
    /// Guards against values that a host of an earlier version cannot read.
    large_configuration_is_sent_plain_to_a_host_that_does_not_unpack:
        false => |size| size >= configuration().len();
}

/// Guards against small hosts that spend a tenth of a second on each version that they
/// pass on.
#[test]
fn value_that_was_received_packed_is_sent_on_as_it_is() {
    let message = write(&relayed(), true);
    let received = wire::read_changes(message.get_root_as_reader().unwrap()).unwrap();
    let value = &received.changes.objects[0].value;
    let packed = value.packed(|_| panic!("the value is packed again"));
    let sent = message.get_root_as_reader().unwrap();
    assert_eq!(
        packed,
        sent.get_objects().unwrap().get(0).get_value().unwrap()
    );
}

/// Guards against a message that ends a process or fills its memory.
#[test]
fn packed_values_that_are_damaged_or_too_large_are_refused() {
    let bomb = miniz_oxide::deflate::compress_to_vec(&vec![0; 64 * 1024 * 1024], 6);

    for value in [bomb, b"no packed value".to_vec(), Vec::new()] {
        let mut message = TypedBuilder::<changes::Owned>::new_default();
        let mut object = message.init_root().init_objects(1).get(0);
        object.set_name("main");
        object.set_packed(true);
        object.set_value(&value);
        let read = wire::read_changes(message.get_root_as_reader().unwrap());
        assert!(read.is_err(), "{read:?}");
    }
}
