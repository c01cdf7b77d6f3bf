//! Threads that follow the store: one per kind of objects, and one that
//! registers this host and lists the others.

use {
    crate::{
        coordination::{membership, serving::control::Event},
        protocol::adapter::{Consistency, Kind, Store, StoreError},
        state::{fleet::member::Member, serving::mirror::Changes},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
            mpsc::Sender,
        },
        thread,
        time::Duration,
    },
};

/// Upper bound of the pause after the first failed call. Doubles with each
/// further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum pause. A host has to detect that the store is available again within
/// the time in which a new configuration must come into force.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Interval at which the hosts in the store are listed. Gossip between peers
/// spreads changes much sooner.
const LIST_HOSTS_INTERVAL: Duration = Duration::from_secs(20);

/// Interval between attempts to write this host's record.
const ANNOUNCE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between listings of the hosts until one holds this host's record.
const STALE_HOSTS_INTERVAL: Duration = Duration::from_secs(1);

/// What a follower does after a call to the store.
enum Next {
    /// List all objects.
    List,
    /// Wait, then repeat the call.
    Pause,
    /// Watch for changes after a revision.
    Watch(u64),
}

/// Interval at which a follower checks whether this host has to read the store,
/// while other hosts do so.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// Whether this host reads a kind from the store, and for how long a watch waits.
/// Set by the control thread.
#[derive(Clone, Debug, Default)]
pub struct Mode(Arc<AtomicU32>);

impl Mode {
    /// Sets the maximum wait of a watch, or `None` if this host does not read the
    /// store. Returns whether this host starts or stops reading.
    pub fn set(&self, wait: Option<Duration>) -> bool {
        let millis = wait.map_or(0, |wait| {
            u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)
        });
        let previous = self.0.swap(millis, Ordering::Relaxed);
        (previous == 0) != (millis == 0)
    }

    /// Returns the maximum wait of a watch, or `None` if this host does not read
    /// the store.
    pub fn get(&self) -> Option<Duration> {
        match self.0.load(Ordering::Relaxed) {
            0 => None,
            millis => Some(Duration::from_millis(millis.into())),
        }
    }
}

/// Starts a thread that follows a kind. It lists the kind once even if this
/// host does not have to read the store.
pub fn start(kind: Kind, store: Arc<dyn Store>, mode: Mode, events: Sender<Event>) {
    spawn("follower", move || {
        follow(kind, store.as_ref(), &mode, &events);
    });
}

/// Starts a thread that writes this host's record to the store and then lists
/// the hosts regularly.
pub fn announce(store: Arc<dyn Store>, local: &Member, events: Sender<Event>) {
    let host = local.host.clone();
    let peer = local.peer_address;

    spawn("announce", move || {
        while let Err(error) = store.announce(host.as_str(), peer) {
            log::debug!("cannot write this host's record: {error}");
            thread::sleep(ANNOUNCE_RETRY_INTERVAL);
        }

        loop {
            let mut pause = LIST_HOSTS_INTERVAL;

            match store.hosts(Consistency::MayLag) {
                Ok(addresses) => {
                    // The listing is older than this host's record, and thus
                    // than those of the hosts that started with it.
                    if !addresses.contains(&peer) {
                        pause = STALE_HOSTS_INTERVAL;
                    }

                    let event = membership::Event::Listed(addresses);

                    if events.send(Event::Membership(event)).is_err() {
                        return;
                    }
                }
                Err(error) => log::debug!("cannot list the hosts: {error}"),
            }

            thread::sleep(pause);
        }
    });
}

fn follow(kind: Kind, store: &dyn Store, mode: &Mode, events: &Sender<Event>) {
    let mut revision = None;
    let mut consistency = Consistency::MayLag;
    let mut failures = 0u32;

    loop {
        let answer = match (revision, mode.get()) {
            (None, _) => store.list(kind, consistency),
            (Some(revision), Some(wait)) => store.watch(kind, revision, wait),
            (Some(_), None) => {
                thread::sleep(IDLE_INTERVAL);
                continue;
            }
        };

        match next(&answer, revision) {
            Next::Watch(at) => {
                failures = 0;
                revision = Some(at);
            }
            Next::List => {
                revision = None;
                consistency = Consistency::Current;
            }
            Next::Pause => {
                let pause = INITIAL_BACKOFF * 2u32.pow(failures.min(8));
                failures += 1;
                thread::sleep(pause.min(MAX_BACKOFF).mul_f64(rand::random_range(0.5..1.0)));
            }
        }

        let event = match answer {
            Ok(changes) => Event::StoreChanges { changes, kind },
            Err(StoreError::Compacted) => {
                log::info!(
                    kind = kind.name();
                    "the store has dropped its history: listing all objects again"
                );
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
        // A revision below the last one means that the store has lost changes.
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
