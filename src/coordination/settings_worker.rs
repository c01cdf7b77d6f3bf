//! Carries out the calls of the settings replica in threads.
//!
//! Calls to peers, short calls to the store, the watch and the maintenance of
//! the log have a thread each, so that none waits for a slower one.

use {
    crate::{
        coordination::{
            control::{self, Event::Settings as ToSettings},
            settings::Event,
            settings_log::SettingsLog,
        },
        protocol::object_api::{ObjectApi, WriteOutcome},
        state::{
            id, settings::change::Change, settings::proposal::Creation,
            settings::replica_action::Action, settings::replica_event, settings::snapshot::Batch,
        },
        transport::links::Links,
    },
    log::warn,
    std::{
        io,
        net::SocketAddr,
        sync::mpsc::{Receiver, Sender, channel},
        thread,
        time::Duration,
    },
};

/// Duration of an idle watch. A host that receives no answer for 5 s stops
/// accepting requests, so an idle watch must end well before that.
const WATCH_WAIT: Duration = Duration::from_millis(2500);

/// Timeout of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Work for these threads.
#[derive(Debug)]
pub enum Job {
    /// Fetches the changes after a version from a peer.
    FetchChanges {
        address: Option<SocketAddr>,
        after: u64,
        peer: id::Host,
    },
    /// Reads the latest changes for an operator, from the store or, if it does
    /// not answer, from those that this host has.
    History {
        known: Vec<Change>,
        limit: usize,
        reply: Sender<Vec<Change>>,
        version: u64,
    },
    /// A call to the store.
    Store(Action),
}

/// The connections that the threads use.
#[derive(Clone)]
struct Worker {
    control: Sender<control::Event>,
    links: Links,
    log: SettingsLog,
}

/// Starts the threads, which end when the sender of `jobs` is dropped.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub fn start(
    jobs: Receiver<Job>,
    store: ObjectApi,
    links: Links,
    control: Sender<control::Event>,
) -> io::Result<()> {
    let worker = Worker {
        control,
        links,
        log: SettingsLog::new(store),
    };
    let peers = worker.clone().start("settings-peers")?;
    let store = worker.clone().start("settings-store")?;
    let upkeep = worker.clone().start("settings-upkeep")?;
    let watch = worker.start("settings-watch")?;

    thread::Builder::new()
        .name("settings-jobs".into())
        .spawn(move || {
            for job in jobs {
                let queue = match &job {
                    Job::FetchChanges { .. } => &peers,
                    Job::History { .. } | Job::Store(Action::WriteSnapshot { .. }) => &upkeep,
                    Job::Store(Action::Watch { .. }) => &watch,
                    Job::Store(_) => &store,
                };
                let _ = queue.send(job);
            }
        })?;

    Ok(())
}

impl Worker {
    /// Starts one thread and returns the queue of its jobs.
    fn start(self, name: &str) -> io::Result<Sender<Job>> {
        let (sender, jobs) = channel();
        thread::Builder::new().name(name.into()).spawn(move || {
            for job in jobs {
                self.run(job);
            }
        })?;
        Ok(sender)
    }

    fn run(&self, job: Job) {
        let event = match job {
            Job::FetchChanges {
                address,
                after,
                peer,
            } => Some(self.fetch_changes(address, after, peer)),
            Job::History {
                known,
                limit,
                reply,
                version,
            } => {
                let _ = reply.send(self.log.history(version, limit).unwrap_or(known));
                None
            }
            Job::Store(action) => self.call_store(action),
        };

        if let Some(event) = event {
            // A send fails only after the control thread has stopped.
            let _ = self.control.send(ToSettings(Event::Replica(event)));
        }
    }

    fn fetch_changes(
        &self,
        address: Option<SocketAddr>,
        after: u64,
        peer: id::Host,
    ) -> replica_event::Event {
        let batch = address.and_then(|address| {
            let text = self
                .links
                .changes_after(address, after, PEER_TIMEOUT)
                .ok()?;
            serde_json::from_str::<Batch>(&text).ok()
        });

        match batch {
            Some(batch) => replica_event::Event::PeerAnswered { batch, peer },
            None => replica_event::Event::PeerFailed { peer },
        }
    }

    fn call_store(&self, action: Action) -> Option<replica_event::Event> {
        use replica_event::Event as E;

        Some(match action {
            Action::AskPeer { .. } | Action::Reply { .. } => return None,
            Action::Create(change) => E::Created {
                creation: creation(self.log.create(&change)),
                operation: change.operation,
            },
            Action::List { after } => match self.log.list(after) {
                Ok((changes, floor, revision)) => E::Listed {
                    changes,
                    floor,
                    revision,
                },
                Err(error) => log_failure(&error, E::ListFailed),
            },
            Action::ReadSnapshot => match self.log.read_snapshot() {
                Ok(found) => E::SnapshotRead(found.map(|(snapshot, _)| snapshot)),
                Err(error) => log_failure(&error, E::SnapshotFailed),
            },
            Action::Watch { after } => match self.log.watch(after, WATCH_WAIT) {
                Ok((changes, revision)) => E::Watched { changes, revision },
                Err(error) => log_failure(&error, E::WatchFailed),
            },
            Action::WriteSnapshot { floor, snapshot } => match self.log.compact(&snapshot, floor) {
                Ok(floor) => E::SnapshotWritten(Some(floor)),
                Err(error) => log_failure(&error, E::SnapshotWritten(None)),
            },
        })
    }
}

fn creation(write: WriteOutcome) -> Creation {
    match write {
        WriteOutcome::Conflict { .. } | WriteOutcome::Done { .. } => Creation::Answered,
        WriteOutcome::Refused(error) => log_failure(&error, Creation::Refused),
        WriteOutcome::Unknown(error) => log_failure(&error, Creation::Unknown),
    }
}

/// Logs that a call to the object API failed, and returns the outcome.
fn log_failure<T>(error: &impl std::fmt::Display, outcome: T) -> T {
    warn!("the settings in the object API cannot be reached: {error}");
    outcome
}
