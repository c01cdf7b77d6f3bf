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
            serving::{config::Config, mirror::Changes, revision::Revision, roster::Entry},
        },
    },
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
            mpsc::{Sender, channel},
        },
        time::Duration,
    },
};

const LIMIT: Duration = Duration::from_secs(10);

/// Revision at which the follower lists the objects.
const LISTED: Revision = Revision::new(1, 5);

/// A store that reports the revisions from which it is watched.
struct Fake {
    /// Revision of the listings after the first one.
    listed: Revision,
    lists: AtomicU64,
    /// The answer to a watch from a revision.
    watch: fn(Revision) -> Result<Changes, StoreError>,
    watched: Mutex<Sender<Revision>>,
}

impl Store for Fake {
    fn list(&self, _kind: Kind, _consistency: Consistency) -> Result<Changes, StoreError> {
        match self.lists.fetch_add(1, Ordering::Relaxed) {
            0 => Ok(changes(LISTED)),
            _ => Ok(changes(self.listed)),
        }
    }

    fn watch(
        &self,
        _kind: Kind,
        revision: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        // Fails after the end of the test.
        let _ = self.watched.lock().unwrap().send(revision);
        std::thread::sleep(wait);
        (self.watch)(revision)
    }

    fn config(&self, _value: &[u8]) -> Result<Config, Fault> {
        Err(Fault::new("config", "", "no call"))
    }

    fn endpoint(&self, _name: &str, _value: &[u8]) -> Result<Entry, Fault> {
        Err(Fault::new("endpoint", "", "no call"))
    }

    fn announce(&self, _record: &Record) -> Result<u32, StoreError> {
        Ok(0)
    }

    fn hosts(&self, _consistency: Consistency) -> Result<Vec<Record>, StoreError> {
        Ok(Vec::new())
    }
}

fn changes(revision: Revision) -> Changes {
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
    let store = Fake {
        listed: LISTED,
        lists: AtomicU64::new(0),
        watch: |revision| Ok(changes(revision)),
        watched: Mutex::new(watched),
    };
    follower::start(Kind::Config, Arc::new(store), mode.clone(), events);
    let listed = received.recv_timeout(LIMIT).unwrap();
    assert!(matches!(listed, Event::StoreChanges { .. }), "{listed:?}");

    mode.set(Some(Reading {
        known: Revision::new(1, 90),
        max_backoff: Duration::from_millis(10),
        wait: Duration::from_millis(10),
    }));
    assert_eq!(revisions.recv_timeout(LIMIT).unwrap(), Revision::new(1, 90));
}

macro_rules! restores {
    ($($(#[$doc:meta])* $name:ident: $watch:expr, $listed:expr => $lost:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let (events, received) = channel();
                let mode = Mode::default();
                mode.set(Some(Reading {
                    known: LISTED,
                    max_backoff: Duration::from_millis(10),
                    wait: Duration::from_millis(10),
                }));
                let (watched, _revisions) = channel();
                let store = Fake {
                    listed: $listed,
                    lists: AtomicU64::new(0),
                    watch: |_| $watch,
                    watched: Mutex::new(watched),
                };
                follower::start(Kind::Config, Arc::new(store), mode, events);
                received.recv_timeout(LIMIT).unwrap();
                let second = received.recv_timeout(LIMIT).unwrap();
                let Event::StoreChanges { changes, .. } = second else {
                    panic!("{second:?}");
                };
                assert_eq!(changes.revision, $listed);
                assert!(changes.whole);
                assert_eq!(changes.history_lost, $lost);
            }
        )*
    };
}

restores! {
    /// Guards against a host that never learns what a store has lost, because its first
    /// listing lagged behind the restore.
    listing_below_the_revision_that_the_store_does_not_have_replaces_what_was_known:
        Err(StoreError::Compacted), Revision::new(1, 2) => true;

    /// Guards against a host that applies the changes of a later era to objects of an
    /// earlier one.
    changes_of_a_later_era_lead_to_a_listing: Ok(Changes {
        revision: Revision::new(2, 9),
        ..Changes::default()
    }), Revision::new(2, 9) => false;
}
