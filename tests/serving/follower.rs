//! A host that begins to read the store in place of a silent reader must not
//! receive changes that it already has from its peers.

use {
    persimmoncleat::{
        coordination::serving::{
            control::Event,
            follower::{self, Mode, Reading},
        },
        protocol::adapter::{Consistency, Fault, Kind, Store, StoreError},
        state::{
            fleet::record::Record,
            serving::{config::Config, mirror::Changes, roster::Entry},
        },
    },
    std::{
        sync::{
            Arc, Mutex,
            mpsc::{Sender, channel},
        },
        time::Duration,
    },
};

const LIMIT: Duration = Duration::from_secs(10);

/// Revision at which the follower lists the objects.
const LISTED: u64 = 5;

/// A store that reports the revisions from which it is watched.
struct Watched(Mutex<Sender<u64>>);

impl Store for Watched {
    fn list(&self, _kind: Kind, _consistency: Consistency) -> Result<Changes, StoreError> {
        Ok(changes(LISTED))
    }

    fn watch(&self, _kind: Kind, revision: u64, wait: Duration) -> Result<Changes, StoreError> {
        // Fails after the end of the test.
        let _ = self.0.lock().unwrap().send(revision);
        std::thread::sleep(wait);
        Ok(changes(revision))
    }

    fn config(&self, _value: &[u8]) -> Result<Config, Fault> {
        Err(Fault::new("config", "", "no call"))
    }

    fn endpoint(&self, _name: &str, _value: &[u8]) -> Result<Entry, Fault> {
        Err(Fault::new("endpoint", "", "no call"))
    }

    fn announce(&self, _record: &Record) -> Result<(), StoreError> {
        Ok(())
    }

    fn hosts(&self, _consistency: Consistency) -> Result<Vec<Record>, StoreError> {
        Ok(Vec::new())
    }
}

fn changes(revision: u64) -> Changes {
    Changes {
        revision,
        whole: true,
        ..Changes::default()
    }
}

/// Guards against a host that fetches each version of a large configuration since
/// its start over a small link, while the last one is due.
#[test]
fn watch_begins_at_the_revision_that_peers_have_delivered() {
    let (watched, revisions) = channel();
    let (events, received) = channel();
    let mode = Mode::default();
    let store = Arc::new(Watched(Mutex::new(watched)));
    follower::start(Kind::Config, store, mode.clone(), events);
    let listed = received.recv_timeout(LIMIT).unwrap();
    assert!(matches!(listed, Event::StoreChanges { .. }), "{listed:?}");

    mode.set(Some(Reading {
        known: 90,
        max_backoff: Duration::from_millis(10),
        wait: Duration::from_millis(10),
    }));
    assert_eq!(revisions.recv_timeout(LIMIT).unwrap(), 90);
}
