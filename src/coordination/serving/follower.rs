//! Threads that follow the store: one per kind of objects, and one that
//! registers this host and lists the others.

use {
    crate::{
        coordination::serving::control::Event,
        protocol::adapter::{Consistency, Kind, Store, StoreError},
        state::{
            fleet::{member::Member, record::Record},
            serving::{mirror::Changes, revision::Revision},
        },
    },
    std::{
        sync::{Arc, Condvar, Mutex, PoisonError, mpsc::Sender},
        thread,
        time::Duration,
    },
};

/// Upper bound of the pause after the first failed call. Doubles with each
/// further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum pause of a host that has not listed a kind yet and does not have to
/// read the store.
const IDLE_BACKOFF: Duration = Duration::from_millis(400);

/// Interval at which the hosts in the store are listed. Gossip between peers
/// spreads changes much sooner.
const LIST_HOSTS_INTERVAL: Duration = Duration::from_secs(20);

/// Interval between attempts to write this host's record, or to list the hosts.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between listings of the hosts until one holds this host's record.
const STALE_HOSTS_INTERVAL: Duration = Duration::from_secs(1);

/// What a follower does after a call to the store.
enum Next {
    /// List all objects.
    List,
    /// Wait, then repeat the call.
    Pause,
    /// Watch for changes after a revision.
    Watch(Revision),
}

/// Interval at which a follower checks whether this host has to read the store,
/// while other hosts do so.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// How a host reads a kind from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reading {
    /// Revision of the objects that this host knows, also from its peers.
    pub known: Revision,
    /// Maximum pause after failed calls.
    pub max_backoff: Duration,
    /// Maximum wait of a watch.
    pub wait: Duration,
}

/// Whether and how this host reads a kind from the store. Set by the control
/// thread.
#[derive(Clone, Debug, Default)]
pub struct Mode(Arc<Mutex<Option<Reading>>>);

impl Mode {
    /// Sets how this host reads the store, or `None` if it does not. Returns
    /// whether it starts or stops reading.
    pub fn set(&self, reading: Option<Reading>) -> bool {
        let mut mode = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = mode.is_some() != reading.is_some();
        *mode = reading;
        changed
    }

    /// Returns how this host reads the store, or `None` if it does not.
    pub fn get(&self) -> Option<Reading> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a thread that follows a kind. It lists the kind once even if this
/// host does not have to read the store.
pub fn start(kind: Kind, store: Arc<dyn Store>, mode: Mode, events: Sender<Event>) {
    spawn("follower", move || {
        follow(kind, store.as_ref(), &mode, &events);
    });
}

/// The latest known era of the store. Set by the control thread.
#[derive(Clone, Debug, Default)]
pub struct Era(Arc<(Mutex<u32>, Condvar)>);

impl Era {
    /// Sets the latest era. It never returns to an earlier one.
    pub fn raise(&self, era: u32) {
        let (latest, raised) = &*self.0;
        let mut latest = latest.lock().unwrap_or_else(PoisonError::into_inner);

        if era > *latest {
            *latest = era;
            raised.notify_all();
        }
    }

    /// Waits until the latest era is later than `known`, at most for `timeout`. Returns
    /// whether it is.
    fn wait_beyond(&self, known: u32, timeout: Duration) -> bool {
        let (latest, raised) = &*self.0;
        let latest = latest.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = raised.wait_timeout_while(latest, timeout, |latest| *latest <= known);
        let (latest, _) = waited.unwrap_or_else(PoisonError::into_inner);
        *latest > known
    }
}

/// Starts a thread that writes this host's record to the store and then lists
/// the hosts regularly. It writes the record again in each later era, since a store that
/// was restored from a copy may have lost it.
pub fn announce(store: Arc<dyn Store>, local: &Member, era: Era, events: Sender<Event>) {
    let record = Record {
        capacity: local.capacity,
        host: local.host.clone(),
        peer_address: local.peer_address,
    };

    spawn("announce", move || {
        loop {
            let written = write_record(store.as_ref(), &record);

            loop {
                let Some(pause) = list_hosts(store.as_ref(), &record, &events) else {
                    return;
                };

                if era.wait_beyond(written, pause) {
                    break;
                }
            }
        }
    });
}

/// Writes this host's record until the store accepts it, and returns the store's era.
fn write_record(store: &dyn Store, record: &Record) -> u32 {
    loop {
        match store.announce(record) {
            Ok(era) => {
                log::info!(era = era; "this host is registered in the store");
                return era;
            }
            Err(error) => log::debug!("cannot write this host's record: {error}"),
        }

        thread::sleep(RETRY_INTERVAL);
    }
}

/// Lists the hosts and returns the pause before the next listing, or `None` once the
/// control thread has stopped.
fn list_hosts(store: &dyn Store, record: &Record, events: &Sender<Event>) -> Option<Duration> {
    let records = match store.hosts(Consistency::MayLag) {
        Ok(records) => records,
        Err(error) => {
            log::debug!("cannot list the hosts: {error}");
            return Some(RETRY_INTERVAL);
        }
    };
    // A listing without it is older than this host's record, and thus than those of the
    // hosts that started with it.
    let is_stale = !records.contains(record);
    events.send(Event::Registered(records)).ok()?;

    Some(if is_stale {
        STALE_HOSTS_INTERVAL
    } else {
        LIST_HOSTS_INTERVAL
    })
}

fn follow(kind: Kind, store: &dyn Store, mode: &Mode, events: &Sender<Event>) {
    let mut revision = None::<Revision>;
    // The revision that was known before the current listing.
    let mut lost = None::<Revision>;
    let mut consistency = match kind {
        Kind::Config | Kind::Endpoints => Consistency::MayLag,
        // A host that starts would send work to a domain whose evacuation has long been
        // in force on the others.
        Kind::Evacuations => Consistency::Current,
    };
    let mut failures = 0u32;
    // Number of listings since the last answer to a watch.
    let mut listings = 0u32;

    loop {
        let answer = match (revision, mode.get()) {
            (None, _) => {
                let listed = store.list(kind, consistency);
                listed.map(|changes| compare(changes, lost))
            }
            (Some(at), Some(reading)) => {
                let known = at.max(reading.known);
                revision = Some(known);
                store.watch(kind, known, reading.wait)
            }
            (Some(_), None) => {
                thread::sleep(IDLE_INTERVAL);
                continue;
            }
        };

        match next(&answer, revision) {
            Next::Watch(at) => {
                failures = 0;

                if revision.is_some() {
                    listings = 0;
                }

                revision = Some(at);
                lost = None;
            }
            Next::List => {
                log::info!(
                    kind = kind.name();
                    "the store has dropped or lost its history: listing all objects again"
                );

                // A store whose listings and watches contradict each other is not asked
                // without pauses.
                if listings > 0 {
                    pause(mode, listings);
                }

                listings += 1;
                lost = revision.take();
                consistency = Consistency::Current;
                continue;
            }
            Next::Pause => {
                pause(mode, failures);
                failures += 1;
            }
        }

        let event = match answer {
            Ok(changes) => Event::StoreChanges { changes, kind },
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

/// Waits after a number of failures.
fn pause(mode: &Mode, failures: u32) {
    let max_backoff = mode
        .get()
        .map_or(IDLE_BACKOFF, |reading| reading.max_backoff);
    let pause = INITIAL_BACKOFF * 2u32.pow(failures.min(8));
    thread::sleep(pause.min(max_backoff).mul_f64(rand::random_range(0.5..1.0)));
}

/// Marks a listing that lacks changes which were known before. A current listing has all
/// of them unless the store has lost its history.
fn compare(changes: Changes, known: Option<Revision>) -> Changes {
    let history_lost =
        known.is_some_and(|known| changes.revision.era == known.era && changes.revision < known);
    Changes {
        history_lost,
        ..changes
    }
}

fn next(answer: &Result<Changes, StoreError>, revision: Option<Revision>) -> Next {
    match (answer, revision) {
        // The objects of a new era have to be listed, and a revision below the last one
        // means that the store has lost changes.
        (Ok(changes), Some(known))
            if changes.revision < known || changes.revision.era > known.era =>
        {
            Next::List
        }
        (Ok(changes), _) => Next::Watch(changes.revision),
        (Err(StoreError::Compacted), _) => Next::List,
        (Err(_), _) => Next::Pause,
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) {
    let thread = thread::Builder::new().name(name.into()).spawn(run);

    if let Err(error) = thread {
        log::error!("cannot start a thread: {error}");
    }
}
