//! Threads that follow the store: one a kind of objects, and one that makes
//! this host known.

use {
    crate::{
        coordination::{membership, serving::control::Event},
        protocol::edge::{Kind, Store, StoreError},
        state::{fleet::member::Member, serving::mirror::Changes},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
            mpsc::Sender,
        },
        thread,
        time::Duration,
    },
};

/// Pause after the first call that failed; doubles with each one that
/// follows.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause. A host has to notice the store's return within the time in
/// which a configuration comes into force.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Time between two looks at the hosts in the store. Peers spread what they
/// know of each other much sooner.
const LIST_HOSTS_INTERVAL: Duration = Duration::from_secs(20);

/// Time between two tries to write this host's record.
const ANNOUNCE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

enum Next {
    List,
    Pause,
    Watch(u64),
}

/// Pause of a follower while other hosts read the store for this one.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// Whether this host reads the store. Set by the control thread.
pub type Reading = Arc<AtomicBool>;

/// Starts to follow a kind. The kind is listed once in any case.
pub fn start(kind: Kind, store: Arc<dyn Store>, reading: Reading, events: Sender<Event>) {
    spawn("follower", move || {
        follow(kind, store.as_ref(), &reading, &events);
    });
}

/// Starts to make this host known and to read which others are.
pub fn announce(store: Arc<dyn Store>, local: &Member, events: Sender<Event>) {
    let host = local.host.clone();
    let peer = local.peer_address;

    spawn("announce", move || {
        while let Err(error) = store.announce(host.as_str(), peer) {
            log::debug!("cannot write this host's record: {error}");
            thread::sleep(ANNOUNCE_RETRY_INTERVAL);
        }

        loop {
            match store.hosts() {
                Ok(addresses) => {
                    let event = membership::Event::Listed(addresses);

                    if events.send(Event::Membership(event)).is_err() {
                        return;
                    }
                }
                Err(error) => log::debug!("cannot list the hosts: {error}"),
            }

            thread::sleep(LIST_HOSTS_INTERVAL);
        }
    });
}

fn follow(kind: Kind, store: &dyn Store, reading: &Reading, events: &Sender<Event>) {
    let mut revision = None;
    let mut failures = 0u32;
    let mut listed = false;

    loop {
        if listed && !reading.load(Ordering::Relaxed) {
            // What the store had in between is listed anew.
            revision = None;
            thread::sleep(IDLE_INTERVAL);
            continue;
        }

        let answer = match revision {
            Some(revision) => store.watch(kind, revision),
            None => store.list(kind),
        };

        match next(&answer, revision) {
            Next::Watch(at) => {
                listed = true;
                failures = 0;
                revision = Some(at);
            }
            Next::List => revision = None,
            Next::Pause => {
                let pause = MIN_BACKOFF * 2u32.pow(failures.min(8));
                failures += 1;
                thread::sleep(pause.min(MAX_BACKOFF).mul_f64(rand::random_range(0.5..1.0)));
            }
        }

        let event = match answer {
            Ok(changes) => Event::StoreChanges { changes, kind },
            Err(StoreError::Compacted) => {
                log::info!(kind = kind.name(); "the store has dropped its history: listing anew");
                continue;
            }
            Err(error) => Event::StoreFailed {
                kind,
                message: error.to_string(),
            },
        };

        if events.send(event).is_err() {
            return;
        }
    }
}

fn next(answer: &Result<Changes, StoreError>, revision: Option<u64>) -> Next {
    match answer {
        // A store that goes back has lost what this host knows.
        Ok(changes) if revision.is_some_and(|revision| changes.revision < revision) => Next::List,
        Ok(changes) => Next::Watch(changes.revision),
        Err(StoreError::Compacted) => Next::List,
        Err(_) => Next::Pause,
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) {
    let thread = thread::Builder::new().name(name.into()).spawn(run);

    if let Err(error) = thread {
        log::error!("cannot start a thread: {error}");
    }
}
