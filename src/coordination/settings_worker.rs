//! The threads that carry out the calls of the settings replica.
//!
//! Peers, short calls to the store, the watch and the upkeep of the log have a
//! thread each, so that none waits for a slower one.

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

/// Longest wait of a watch. A host that hears nothing for 5 s stops accepting,
/// so an idle watch must end well before.
const WATCH: Duration = Duration::from_millis(2500);

/// Longest wait for a peer.
const PEER: Duration = Duration::from_secs(2);

/// Work for these threads.
#[derive(Debug)]
pub enum Job {
    /// Asks a peer for the changes after a version.
    Ask {
        address: Option<SocketAddr>,
        after: u64,
        peer: id::Host,
    },
    /// Reads the latest changes for an operator; without the store those
    /// known here have to do.
    History {
        known: Vec<Change>,
        limit: usize,
        reply: Sender<Vec<Change>>,
        version: u64,
    },
    /// A call to the store.
    Store(Action),
}

#[derive(Clone)]
struct Worker {
    control: Sender<control::Event>,
    links: Links,
    log: SettingsLog,
}

/// Starts the threads, which end when the sender of `jobs` is gone.
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
                let lane = match &job {
                    Job::Ask { .. } => &peers,
                    Job::History { .. } | Job::Store(Action::WriteSnapshot { .. }) => &upkeep,
                    Job::Store(Action::Watch { .. }) => &watch,
                    Job::Store(_) => &store,
                };
                let _ = lane.send(job);
            }
        })?;

    Ok(())
}

impl Worker {
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
            Job::Ask {
                address,
                after,
                peer,
            } => Some(self.ask(address, after, peer)),
            Job::History {
                known,
                limit,
                reply,
                version,
            } => {
                let _ = reply.send(self.log.history(version, limit).unwrap_or(known));
                None
            }
            Job::Store(action) => self.call(action),
        };

        if let Some(event) = event {
            // A send fails only after the control thread has stopped.
            let _ = self.control.send(ToSettings(Event::Replica(event)));
        }
    }

    fn ask(&self, address: Option<SocketAddr>, after: u64, peer: id::Host) -> replica_event::Event {
        let batch = address.and_then(|address| {
            let text = self.links.changes_after(address, after, PEER).ok()?;
            serde_json::from_str::<Batch>(&text).ok()
        });

        match batch {
            Some(batch) => replica_event::Event::PeerAnswered { batch, peer },
            None => replica_event::Event::PeerFailed { peer },
        }
    }

    fn call(&self, action: Action) -> Option<replica_event::Event> {
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
                Err(error) => failed(&error, E::ListFailed),
            },
            Action::ReadSnapshot => match self.log.read_snapshot() {
                Ok(found) => E::SnapshotRead(found.map(|(snapshot, _)| snapshot)),
                Err(error) => failed(&error, E::SnapshotFailed),
            },
            Action::Watch { after } => match self.log.watch(after, WATCH) {
                Ok((changes, revision)) => E::Watched { changes, revision },
                Err(error) => failed(&error, E::WatchFailed),
            },
            Action::WriteSnapshot { floor, snapshot } => match self.log.compact(&snapshot, floor) {
                Ok(floor) => E::SnapshotWritten(Some(floor)),
                Err(error) => failed(&error, E::SnapshotWritten(None)),
            },
        })
    }
}

fn creation(write: WriteOutcome) -> Creation {
    match write {
        WriteOutcome::Conflict { .. } | WriteOutcome::Done { .. } => Creation::Answered,
        WriteOutcome::Refused(error) => failed(&error, Creation::Refused),
        WriteOutcome::Unknown(error) => failed(&error, Creation::Unknown),
    }
}

fn failed<T>(error: &impl std::fmt::Display, outcome: T) -> T {
    warn!("the settings in the object API cannot be reached: {error}");
    outcome
}
