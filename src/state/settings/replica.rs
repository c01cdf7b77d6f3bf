//! State machine of one host's settings replica: reads from the store or from
//! peers, submissions and snapshots.

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

/// Maximum time until the outcome of a submission is reported.
const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of submissions that wait for the one in progress.
const MAX_QUEUED_SUBMISSIONS: usize = 64;

/// Interval between two lists of a watcher, which find changes that the watch
/// has missed.
const RELIST_INTERVAL: Duration = Duration::from_secs(2);

/// Time between a failed call to the store and the next list.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum age of the latest list for changes from a watch to be applied. A
/// host that was frozen for longer may receive a change that was created after
/// its version had been deleted from the log, so it needs a new list first.
const MAX_LIST_AGE: Duration = Duration::from_secs(10);

/// Sizes that bound the log of changes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Number of latest changes kept in the log.
    pub kept_changes: u64,
    /// Number of changes between two snapshots.
    pub snapshot_interval: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            kept_changes: 1000,
            snapshot_interval: 256,
        }
    }
}

/// Settings replica of one host.
#[derive(Clone, Debug)]
pub struct Replica {
    current_proposal: Option<Proposal>,
    limits: Limits,
    last_list: Option<Time>,
    log: Log,
    peers: Peers,
    watcher_rank: Option<usize>,
    queue: VecDeque<Proposal>,
    reading_store: bool,
    retry_at: Time,
    snapshot_version: u64,
    store_failing: bool,
    watch_revision: Option<u64>,
    watching: bool,
    writing_snapshot: bool,
}

impl Replica {
    /// Builds an empty replica. `peer_offset` spreads the first requests of
    /// different hosts over their peers.
    pub fn new(limits: Limits, peer_offset: u64) -> Self {
        Self {
            current_proposal: None,
            limits,
            last_list: None,
            log: Log::new(limits.kept_changes),
            peers: Peers::new(peer_offset),
            watcher_rank: None,
            queue: VecDeque::new(),
            reading_store: false,
            retry_at: Time::ZERO,
            snapshot_version: 0,
            store_failing: false,
            watch_revision: None,
            watching: false,
            writing_snapshot: false,
        }
    }

    /// Returns the log of applied changes.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let version = self.log.version();
        self.handle_event(now, event, actions);

        if self.log.version() > version {
            // The listed peers may not be newer than this host any more.
            self.peers.set(Vec::new());
        }

        self.request_actions(now, actions);
    }

    fn handle_event(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Created {
                creation,
                operation,
            } => {
                let next = self
                    .current_proposal
                    .as_mut()
                    .map_or(Next::Wait, |proposal| {
                        proposal.handle_creation(&operation, creation)
                    });
                self.apply_next(next, actions);
            }
            Event::ListFailed | Event::SnapshotFailed => self.handle_read_failure(now, actions),
            Event::Listed {
                changes,
                floor,
                revision,
            } => self.handle_list(now, changes, floor, revision, actions),
            Event::PeerAnswered { batch, peer } => self.handle_batch(batch, peer),
            Event::PeerFailed { peer } => self.peers.record_failure(peer),
            Event::Peers(peers) => self.peers.set(peers),
            Event::SnapshotRead(snapshot) => {
                let snapshot = snapshot.filter(|read| read.version > self.log.version());

                if let Some(snapshot) = snapshot {
                    self.log.install(snapshot);
                    // Changes may have been created since the snapshot.
                    self.list(actions);
                } else {
                    self.handle_read_failure(now, actions);
                }
            }
            Event::SnapshotWritten(floor) => {
                self.writing_snapshot = false;
                // After a failure, the next attempt waits for more changes: an
                // eighth of the snapshot interval.
                self.snapshot_version = floor.map_or(
                    self.snapshot_version + self.limits.snapshot_interval / 8,
                    |floor| floor.snapshot,
                );
            }
            Event::Submitted { draft, ticket } => self.submit(now, draft, ticket, actions),
            Event::Tick => {}
            Event::WatcherRank(rank) => {
                if rank.is_none() || self.watcher_rank.is_none() {
                    self.watch_revision = None;
                }
                self.watcher_rank = rank;
            }
            Event::WatchFailed => {
                self.store_failing = true;
                self.watching = false;
                self.watch_revision = None;
                self.retry_at = now + RETRY_DELAY;
            }
            Event::Watched { changes, revision } => self.handle_watched(now, changes, revision),
        }
    }

    fn handle_read_failure(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.reading_store = false;
        self.store_failing = true;
        self.peers.clear_failures();
        self.retry_at = now + RETRY_DELAY;
        let next = self
            .current_proposal
            .as_ref()
            .map_or(Next::Wait, Proposal::handle_list_failure);
        self.apply_next(next, actions);
    }

    fn handle_list(
        &mut self,
        now: Time,
        changes: Vec<Change>,
        floor: Floor,
        revision: u64,
        actions: &mut Vec<Action>,
    ) {
        self.reading_store = false;
        self.store_failing = false;
        self.peers.clear_failures();
        self.snapshot_version = self.snapshot_version.max(floor.snapshot);

        // Up to the floor, a listed change may have been created after its
        // version was deleted from the log, so the snapshot is read instead.
        if self.log.version() < floor.through {
            self.reading_store = true;
            actions.push(Action::ReadSnapshot);
            return;
        }

        self.log.ingest(changes);
        self.last_list = Some(now);

        if self.watcher_rank.is_some() && !self.watching {
            self.watch_revision = Some(revision);
        }

        self.check_proposals(now, actions);
        let log = &self.log;
        let next = self
            .current_proposal
            .as_mut()
            .map_or(Next::Wait, |proposal| proposal.handle_list(log));
        self.apply_next(next, actions);
    }

    fn handle_batch(&mut self, batch: Batch, peer: id::Host) {
        let version = batch.version();

        if version.is_none_or(|version| version <= self.log.version()) {
            self.peers.record_failure(peer);
            return;
        }

        match batch {
            Batch::Changes(changes) => self.log.ingest(changes),
            Batch::Snapshot(snapshot) => self.log.install(snapshot),
        }

        self.peers.record_success();
    }

    fn handle_watched(&mut self, now: Time, changes: Vec<Change>, revision: u64) {
        self.watching = false;

        if self
            .last_list
            .is_none_or(|listed| now.since(listed) > MAX_LIST_AGE)
        {
            self.watch_revision = None;
            return;
        }

        self.store_failing = false;
        self.watch_revision = self.watch_revision.map(|after| after.max(revision));
        self.log.ingest(changes);
    }

    fn submit(&mut self, now: Time, draft: Draft, ticket: u64, actions: &mut Vec<Action>) {
        if self.queue.len() >= MAX_QUEUED_SUBMISSIONS {
            let outcome = Outcome::NotRun;
            actions.push(Action::Reply { outcome, ticket });
            return;
        }

        let proposal = Proposal::new(ticket, draft, now + SUBMISSION_TIMEOUT);
        self.queue.push_back(proposal);
    }

    /// Appends the actions that the current state requires.
    fn request_actions(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.check_proposals(now, actions);

        // A watcher catches up from peers only while calls to the store fail.
        if (self.watcher_rank.is_none() || self.store_failing)
            && self.peers.can_ask()
            && let Some(peer) = self.peers.choose()
        {
            actions.push(Action::AskPeer {
                after: self.log.version(),
                peer,
            });
        }

        if now >= self.retry_at && !self.reading_store && self.needs_list(now) {
            self.list(actions);
        }

        if self.watcher_rank.is_some()
            && !self.watching
            && let Some(after) = self.watch_revision
        {
            self.watching = true;
            actions.push(Action::Watch { after });
        }

        self.write_snapshot(actions);
    }

    fn list(&mut self, actions: &mut Vec<Action>) {
        self.reading_store = true;
        actions.push(Action::List {
            after: self.log.version(),
        });
    }

    fn check_proposals(&mut self, now: Time, actions: &mut Vec<Action>) {
        loop {
            if self.current_proposal.is_none() {
                self.current_proposal = self.queue.pop_front();
            }

            let Some(proposal) = &self.current_proposal else {
                return;
            };

            match proposal.check(now, &self.log) {
                Next::Wait => return,
                next => self.apply_next(next, actions),
            }
        }
    }

    fn apply_next(&mut self, next: Next, actions: &mut Vec<Action>) {
        match next {
            Next::Create(change) => actions.push(Action::Create(change)),
            Next::Reply(outcome) => {
                if let Some(proposal) = self.current_proposal.take() {
                    let ticket = proposal.ticket();
                    actions.push(Action::Reply { outcome, ticket });
                }
            }
            Next::Wait => {}
        }
    }

    fn needs_list(&self, now: Time) -> bool {
        let proposal_needs_list = self
            .current_proposal
            .as_ref()
            .is_some_and(Proposal::needs_list);
        let peers_exhausted = self.watcher_rank.is_none() && self.peers.can_ask();
        let watcher_needs_list = self.watcher_rank.is_some()
            && (self.log.has_gap()
                || !self.watching && self.watch_revision.is_none()
                || self
                    .last_list
                    .is_none_or(|listed| now.since(listed) >= RELIST_INTERVAL));

        proposal_needs_list || peers_exhausted || watcher_needs_list
    }

    fn write_snapshot(&mut self, actions: &mut Vec<Action>) {
        let Some(rank) = self.watcher_rank else {
            return;
        };
        // The first watcher writes snapshots. Each later one waits for more
        // changes, another eighth of the interval, and writes only if those
        // before it have not.
        let rank_delay = self.limits.snapshot_interval / 8 * rank as u64;
        let version = self.log.version();

        if self.writing_snapshot
            || version < self.snapshot_version + self.limits.snapshot_interval + rank_delay
        {
            return;
        }

        self.writing_snapshot = true;
        actions.push(Action::WriteSnapshot {
            floor: Floor {
                snapshot: version,
                through: version.saturating_sub(self.limits.kept_changes),
            },
            snapshot: self.log.snapshot(),
        });
    }
}
