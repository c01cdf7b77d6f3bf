//! Applies settings in the control thread and serves them to peers and
//! operators.

use {
    crate::{
        coordination::settings_worker::Job,
        state::{
            clock::Time,
            fleet::member::{Member, Phase},
            fleet::watchers::watchers,
            id,
            policy::Policy,
            rendezvous,
            settings::change::{Change, Draft, Outcome},
            settings::replica::{Limits, Replica},
            settings::replica_action::Action,
            settings::replica_event,
            settings::tree::Tree,
            view::View,
        },
    },
    std::{
        collections::HashMap,
        iter,
        sync::{
            Arc,
            mpsc::{self, Sender},
        },
        time::Duration,
    },
};

/// Interval at which the versions of the other hosts are compared with this
/// host's.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An event that concerns the settings.
#[derive(Debug)]
pub enum Event {
    /// A peer requests the changes after a version, as JSON text.
    ChangesAfter {
        reply: mpsc::Sender<String>,
        version: u64,
    },
    /// An operator requests the latest changes, the newest first.
    History {
        limit: usize,
        reply: Sender<Vec<Change>>,
    },
    /// An operator requests the tree and its version.
    Read(Sender<(u64, Arc<Tree>)>),
    /// A call that the replica requested has completed.
    Replica(replica_event::Event),
    /// An operator submits a change.
    Submit {
        draft: Draft,
        reply: Sender<Outcome>,
    },
}

/// This host's replica of the settings and the pending replies to operators.
#[derive(Debug)]
pub struct Settings {
    actions: Vec<Action>,
    /// Version of the policy in the view.
    applied: u64,
    jobs: Sender<Job>,
    last_peer_check: Option<Time>,
    replica: Replica,
    /// Reply channels for the outcomes of submitted changes, by ticket.
    replies: HashMap<u64, Sender<Outcome>>,
    /// Number of the last submitted change.
    last_ticket: u64,
}

impl Settings {
    /// Creates an empty replica. `jobs` is the queue of the threads that carry
    /// out its calls.
    pub fn new(view: &View, jobs: Sender<Job>) -> Self {
        let peer_offset = rendezvous::weight(&"ask", &view.local.host);

        Self {
            actions: Vec::new(),
            applied: 0,
            jobs,
            last_peer_check: None,
            replica: Replica::new(Limits::default(), peer_offset),
            replies: HashMap::new(),
            last_ticket: 0,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, event: Event, view: &mut View) {
        let log = self.replica.log();

        match event {
            Event::ChangesAfter { reply, version } => {
                if let Ok(text) = serde_json::to_string(&log.batch_after(version)) {
                    let _ = reply.send(text);
                }
            }
            Event::History { limit, reply } => {
                let known = log.recent().take(limit).cloned().collect();
                let version = log.version();
                self.send(Job::History {
                    known,
                    limit,
                    reply,
                    version,
                });
            }
            Event::Read(reply) => {
                let _ = reply.send((log.version(), Arc::clone(log.tree())));
            }
            Event::Replica(event) => {
                if event.is_store_response() {
                    view.last_store_answer = Some(now);
                }

                self.advance(now, event, view);
            }
            Event::Submit { draft, reply } => {
                self.last_ticket += 1;
                let ticket = self.last_ticket;
                self.replies.insert(ticket, reply);
                self.advance(now, replica_event::Event::Submitted { draft, ticket }, view);
            }
        }
    }

    /// Passes changes of the view to the replica and advances it.
    pub fn tick(&mut self, now: Time, view: &mut View) {
        if self
            .last_peer_check
            .is_some_and(|last_peer_check| now.since(last_peer_check) < PEER_CHECK_INTERVAL)
        {
            return;
        }

        self.last_peer_check = Some(now);
        let version = self.replica.log().version();
        let newer = view
            .members
            .iter()
            .filter(|member| member.settings > version)
            .map(|member| member.host.clone())
            .collect();
        self.advance(
            now,
            replica_event::Event::WatcherRank(watcher_rank(view)),
            view,
        );
        self.advance(now, replica_event::Event::Peers(newer), view);
        self.advance(now, replica_event::Event::Tick, view);
    }

    fn advance(&mut self, now: Time, event: replica_event::Event, view: &mut View) {
        let mut actions = std::mem::take(&mut self.actions);
        self.replica.handle(now, event, &mut actions);
        self.apply(view);

        for action in actions.drain(..) {
            self.perform(action, view);
        }

        self.actions = actions;
    }

    fn perform(&mut self, action: Action, view: &View) {
        match action {
            Action::AskPeer { after, peer } => {
                let address = view.member(&peer).map(|member| member.peer_address);
                self.send(Job::FetchChanges {
                    address,
                    after,
                    peer,
                });
            }
            Action::Reply { outcome, ticket } => {
                if let Some(reply) = self.replies.remove(&ticket) {
                    let _ = reply.send(outcome);
                }
            }
            action => self.send(Job::Store(action)),
        }
    }

    fn send(&self, job: Job) {
        // The receiving threads end only after this one.
        let _ = self.jobs.send(job);
    }

    /// Copies a new version of the settings into the view.
    fn apply(&mut self, view: &mut View) {
        let log = self.replica.log();

        if log.version() == self.applied {
            return;
        }

        let policy = match log.changes_from(self.applied + 1) {
            Some(changes) if self.applied > 0 => {
                let edits = changes.flat_map(|change| &change.edits);
                let paths = edits.map(|edit| edit.path.as_str());
                view.policy.updated(log.version(), log.tree(), paths)
            }
            _ => Policy::new(log.version(), log.tree()),
        };
        self.applied = log.version();
        view.local.settings = log.version();
        view.policy = Arc::new(policy);
        log::info!(version = log.version(); "settings applied");
    }
}

/// Returns this host's rank among the watchers, or `None` if it is not one.
fn watcher_rank(view: &View) -> Option<usize> {
    let live = iter::once(&view.local)
        .chain(view.members.iter())
        .filter(|member| member.phase == Phase::Alive)
        .map(host_and_domain);

    watchers(live)
        .into_iter()
        .position(|host| *host == view.local.host)
}

fn host_and_domain(member: &Member) -> (&id::Host, &id::Domain) {
    (&member.host, &member.domain)
}
