//! One host's replica of the settings: what it reads, whom it asks and what it
//! writes.

use {
    crate::state::{
        clock::Time,
        id,
        settings::change::{Change, Draft, Outcome},
        settings::log::Log,
        settings::proposal::{Next, Proposal},
        settings::replica_action::Action,
        settings::replica_event::Event,
        settings::replica_peers::Peers,
        settings::snapshot::{Batch, Floor},
    },
    std::{collections::VecDeque, time::Duration},
};

/// How long a submission may take.
const SUBMISSION: Duration = Duration::from_secs(10);

/// Most submissions that wait for the one in progress.
const QUEUE: usize = 64;

/// Time between two lists of a watcher, which find changes that the watch
/// missed.
const RELIST: Duration = Duration::from_secs(2);

/// Time after a failed call to the store.
const RETRY: Duration = Duration::from_millis(500);

/// Time after which the changes seen by a watch count only once a list has
/// confirmed them. A host that was frozen for long may see a change that was
/// created after its version had been deleted from the log.
const TRUST: Duration = Duration::from_secs(10);

/// How much of the log is kept.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Number of latest changes kept.
    pub keep: u64,
    /// Changes between two snapshots.
    pub snapshot: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            keep: 1000,
            snapshot: 256,
        }
    }
}

/// The replica of one host.
#[derive(Clone, Debug)]
pub struct Replica {
    current: Option<Proposal>,
    limits: Limits,
    listed: Option<Time>,
    log: Log,
    peers: Peers,
    place: Option<usize>,
    queue: VecDeque<Proposal>,
    reading: bool,
    retry: Time,
    snapshot: u64,
    store_fails: bool,
    watch_after: Option<u64>,
    watching: bool,
    writing: bool,
}

impl Replica {
    /// Builds an empty replica. `choice` spreads the hosts over the peers they
    /// ask first.
    pub fn new(limits: Limits, choice: u64) -> Self {
        Self {
            current: None,
            limits,
            listed: None,
            log: Log::new(limits.keep),
            peers: Peers::new(choice),
            place: None,
            queue: VecDeque::new(),
            reading: false,
            retry: Time::ZERO,
            snapshot: 0,
            store_fails: false,
            watch_after: None,
            watching: false,
            writing: false,
        }
    }

    /// Returns the applied changes.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let version = self.log.version();
        self.take(now, event, actions);

        if self.log.version() > version {
            // They may have no newer version than this host has now.
            self.peers.set(Vec::new());
        }

        self.advance(now, actions);
    }

    fn take(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Created {
                creation,
                operation,
            } => {
                let next = self.current.as_mut().map_or(Next::Wait, |proposal| {
                    proposal.created(&operation, creation)
                });
                self.follow(next, actions);
            }
            Event::ListFailed | Event::SnapshotFailed => self.read_failed(now, actions),
            Event::Listed {
                changes,
                floor,
                revision,
            } => self.take_list(now, changes, floor, revision, actions),
            Event::PeerAnswered { batch, peer } => self.take_batch(batch, peer),
            Event::PeerFailed { peer } => self.peers.failed(peer),
            Event::Peers(peers) => self.peers.set(peers),
            Event::SnapshotRead(snapshot) => {
                let snapshot = snapshot.filter(|read| read.version > self.log.version());

                if let Some(snapshot) = snapshot {
                    self.log.install(snapshot);
                    // Changes may have been created since the snapshot.
                    self.list(actions);
                } else {
                    self.read_failed(now, actions);
                }
            }
            Event::SnapshotWritten(floor) => {
                self.writing = false;
                // After a failure the next attempt waits for some more changes.
                self.snapshot = floor.map_or(self.snapshot + self.limits.snapshot / 8, |floor| {
                    floor.snapshot
                });
            }
            Event::Submitted { draft, ticket } => self.submit(now, draft, ticket, actions),
            Event::Tick => {}
            Event::WatcherRank(place) => {
                if place.is_none() || self.place.is_none() {
                    self.watch_after = None;
                }
                self.place = place;
            }
            Event::WatchFailed => {
                self.store_fails = true;
                self.watching = false;
                self.watch_after = None;
                self.retry = now + RETRY;
            }
            Event::Watched { changes, revision } => self.take_watched(now, changes, revision),
        }
    }

    fn read_failed(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.reading = false;
        self.store_fails = true;
        self.peers.forgive();
        self.retry = now + RETRY;
        let next = self
            .current
            .as_ref()
            .map_or(Next::Wait, Proposal::list_failed);
        self.follow(next, actions);
    }

    fn take_list(
        &mut self,
        now: Time,
        changes: Vec<Change>,
        floor: Floor,
        revision: u64,
        actions: &mut Vec<Action>,
    ) {
        self.reading = false;
        self.store_fails = false;
        self.peers.forgive();
        self.snapshot = self.snapshot.max(floor.snapshot);

        // Below the floor, a listed change may have been created too late.
        if self.log.version() < floor.through {
            self.reading = true;
            actions.push(Action::ReadSnapshot);
            return;
        }

        self.log.ingest(changes);
        self.listed = Some(now);

        if self.place.is_some() && !self.watching {
            self.watch_after = Some(revision);
        }

        self.check_proposals(now, actions);
        let log = &self.log;
        let next = self
            .current
            .as_mut()
            .map_or(Next::Wait, |proposal| proposal.listed(log));
        self.follow(next, actions);
    }

    fn take_batch(&mut self, batch: Batch, peer: id::Host) {
        let version = batch.version();

        if version.is_none_or(|version| version <= self.log.version()) {
            self.peers.failed(peer);
            return;
        }

        match batch {
            Batch::Changes(changes) => self.log.ingest(changes),
            Batch::Snapshot(snapshot) => self.log.install(snapshot),
        }

        self.peers.helped();
    }

    fn take_watched(&mut self, now: Time, changes: Vec<Change>, revision: u64) {
        self.watching = false;

        if self.listed.is_none_or(|listed| now.since(listed) > TRUST) {
            self.watch_after = None;
            return;
        }

        self.store_fails = false;
        self.watch_after = self.watch_after.map(|after| after.max(revision));
        self.log.ingest(changes);
    }

    fn submit(&mut self, now: Time, draft: Draft, ticket: u64, actions: &mut Vec<Action>) {
        if self.queue.len() >= QUEUE {
            let outcome = Outcome::NotRun;
            actions.push(Action::Reply { outcome, ticket });
            return;
        }

        let proposal = Proposal::new(ticket, draft, now + SUBMISSION);
        self.queue.push_back(proposal);
    }

    /// Does everything that the state asks for.
    fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.check_proposals(now, actions);

        // A watcher catches up from peers only while the store fails.
        if (self.place.is_none() || self.store_fails)
            && self.peers.are_due()
            && let Some(peer) = self.peers.choose()
        {
            actions.push(Action::AskPeer {
                after: self.log.version(),
                peer,
            });
        }

        if now >= self.retry && !self.reading && self.wants_list(now) {
            self.list(actions);
        }

        if self.place.is_some()
            && !self.watching
            && let Some(after) = self.watch_after
        {
            self.watching = true;
            actions.push(Action::Watch { after });
        }

        self.write_snapshot(actions);
    }

    fn list(&mut self, actions: &mut Vec<Action>) {
        self.reading = true;
        actions.push(Action::List {
            after: self.log.version(),
        });
    }

    fn check_proposals(&mut self, now: Time, actions: &mut Vec<Action>) {
        loop {
            if self.current.is_none() {
                self.current = self.queue.pop_front();
            }

            let Some(proposal) = &self.current else {
                return;
            };

            match proposal.check(now, &self.log) {
                Next::Wait => return,
                next => self.follow(next, actions),
            }
        }
    }

    fn follow(&mut self, next: Next, actions: &mut Vec<Action>) {
        match next {
            Next::Create(change) => actions.push(Action::Create(change)),
            Next::Reply(outcome) => {
                if let Some(proposal) = self.current.take() {
                    let ticket = proposal.ticket();
                    actions.push(Action::Reply { outcome, ticket });
                }
            }
            Next::Wait => {}
        }
    }

    fn wants_list(&self, now: Time) -> bool {
        let proposal = self.current.as_ref().is_some_and(Proposal::wants_list);
        let peers_fail = self.place.is_none() && self.peers.are_due();
        let watch = self.place.is_some()
            && (self.log.has_gap()
                || !self.watching && self.watch_after.is_none()
                || self.listed.is_none_or(|listed| now.since(listed) >= RELIST));

        proposal || peers_fail || watch
    }

    fn write_snapshot(&mut self, actions: &mut Vec<Action>) {
        let Some(place) = self.place else {
            return;
        };
        // The first watcher writes snapshots. Each other one does so only if
        // those before it let some more changes pass.
        let spare = self.limits.snapshot / 8 * place as u64;
        let version = self.log.version();

        if self.writing || version < self.snapshot + self.limits.snapshot + spare {
            return;
        }

        self.writing = true;
        actions.push(Action::WriteSnapshot {
            floor: Floor {
                snapshot: version,
                through: version.saturating_sub(self.limits.keep),
            },
            snapshot: self.log.snapshot(),
        });
    }
}
