//! The control thread: follows the store, or a peer where the store turns
//! this host away, and keeps the membership.

mod apply;
mod follow;
mod peers;

use {
    self::follow::{Follow, Waiting},
    crate::{
        coordination::{
            membership::{self, Membership},
            serving::follower,
        },
        protocol::edge::{Kind, Store},
        state::{
            clock::Time,
            fleet::member::Member,
            serving::{
                mirror::{Changes, Relayed},
                view::View,
            },
            view,
        },
        transport::{boot_clock, incoming::Incoming, links::Links},
    },
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::AtomicBool,
            mpsc::{Receiver, RecvTimeoutError, Sender},
        },
        time::Duration,
    },
    tokio::sync::{oneshot, watch},
};

/// Longest time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// Time without news from the store after which a host asks its peers. A
/// watch that waits answers sooner.
const STORE_SILENCE: Duration = Duration::from_millis(4000);

/// An event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// A peer asks for changed objects.
    Asked {
        kind: String,
        reply: oneshot::Sender<Relayed>,
        revision: u64,
        wait: Duration,
    },
    /// This host takes no new work from now on.
    Leave,
    Membership(membership::Event),
    /// A peer answered with changed objects.
    Peer {
        kind: Kind,
        relayed: Relayed,
    },
    /// A peer gave no answer.
    PeerFailed {
        kind: Kind,
    },
    /// The store answered a follower.
    Store {
        changes: Changes,
        kind: Kind,
    },
    /// The store gave a follower no answer.
    StoreFailed {
        kind: Kind,
        message: String,
    },
}

/// The control state of one host on the platform.
pub struct Control {
    follows: BTreeMap<Kind, Follow>,
    links: Links,
    membership: Membership,
    published: watch::Sender<Arc<View>>,
    reading: follower::Reading,
    /// The membership's own snapshot.
    record: view::View,
    sender: Sender<Event>,
    store: Arc<dyn Store>,
    view: View,
}

impl Control {
    /// Builds the control state of a host that knows nothing yet.
    pub fn new(
        local: Member,
        membership: Membership,
        links: Links,
        store: Arc<dyn Store>,
        published: watch::Sender<Arc<View>>,
        sender: Sender<Event>,
    ) -> Self {
        let view = published.borrow().as_ref().clone();

        Self {
            follows: Kind::ALL.map(|kind| (kind, Follow::default())).into(),
            links,
            membership,
            published,
            reading: Arc::new(AtomicBool::new(true)),
            record: view::View {
                endpoints: Arc::default(),
                had_peers: false,
                last_peer_answer: None,
                last_store_answer: None,
                local,
                members: Arc::default(),
                policy: Arc::default(),
            },
            sender,
            store,
            view,
        }
    }

    /// Returns the view of a host that knows nothing yet.
    pub fn first_view(local: Member) -> View {
        View {
            config: None,
            config_since: Time::ZERO,
            leaving: false,
            local,
            members: Arc::default(),
            roster: Arc::default(),
            roster_loaded: false,
        }
    }

    /// Starts the followers of the store and handles events until every
    /// sender is gone.
    pub fn run(mut self, receiver: &Receiver<Event>) {
        for kind in Kind::ALL {
            let reading = Arc::clone(&self.reading);
            follower::start(kind, Arc::clone(&self.store), reading, self.sender.clone());
        }

        follower::announce(
            Arc::clone(&self.store),
            &self.record.local,
            self.sender.clone(),
        );
        let mut ticked = boot_clock::now();

        loop {
            match receiver.recv_timeout(TICK) {
                Ok(event) => self.handle(boot_clock::now(), event),
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }

            let now = boot_clock::now();

            if now.since(ticked) >= TICK {
                ticked = now;
                self.tick(now);
            }
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Asked {
                kind,
                reply,
                revision,
                wait,
            } => self.answer(
                now,
                &kind,
                Waiting {
                    deadline: now + wait,
                    reply,
                    revision,
                },
            ),
            Event::Leave => {
                self.membership
                    .handle(now, membership::Event::Leave, &mut self.record);
                self.view.leaving = true;
                self.publish();
            }
            Event::Membership(event) => self.membership.handle(now, event, &mut self.record),
            Event::Peer { kind, relayed } => {
                let follow = self.follows.entry(kind).or_default();
                let fresh = relayed.age < STORE_SILENCE;
                follow.asking = false;
                follow.misses = if fresh { 0 } else { follow.misses + 1 };

                if fresh {
                    follow.heard = follow.heard.max(now.before(relayed.age));
                }

                self.apply(now, kind, &relayed.changes, "peer");
            }
            Event::PeerFailed { kind } => {
                let follow = self.follows.entry(kind).or_default();
                follow.asking = false;
                follow.misses += 1;
            }
            Event::Store { changes, kind } => {
                let follow = self.follows.entry(kind).or_default();

                if follow.failed {
                    follow.failed = false;
                    log::info!(kind = kind.name(); "store regained");
                }

                follow.heard = now;
                self.apply(now, kind, &changes, "store");
            }
            Event::StoreFailed { kind, message } => {
                let follow = self.follows.entry(kind).or_default();
                let age = now.since(follow.heard).as_millis();

                if !follow.failed {
                    follow.failed = true;
                    log::warn!(
                        kind = kind.name(),
                        age_ms = age,
                        revision = follow.mirror.revision();
                        "store lost: {message}"
                    );
                }
            }
        }
    }

    fn tick(&mut self, now: Time) {
        self.record.local.settings = self.newest();
        self.membership.tick(now, &mut self.record);
        self.ask_peers(now);
        let local = &self.record.local;

        if !Arc::ptr_eq(&self.view.members, &self.record.members) || self.view.local != *local {
            self.publish();
        }
    }

    /// Returns the revision of the newest object that this host knows.
    fn newest(&self) -> u64 {
        let objects = self
            .follows
            .values()
            .flat_map(|follow| follow.mirror.objects());
        objects.map(|object| object.revision).max().unwrap_or(0)
    }

    fn publish(&mut self) {
        self.view.members = Arc::clone(&self.record.members);
        self.view.local = self.record.local.clone();
        self.published.send_replace(Arc::new(self.view.clone()));
    }
}

/// Which thread serves a call of another host.
pub enum Call {
    Control(Box<Event>),
    Traffic(Incoming),
}

/// Finds the thread that serves a call of another host.
pub fn sort(call: Incoming) -> Call {
    let event = match call {
        Incoming::ObjectChanges {
            kind,
            reply,
            revision,
            wait,
        } => Event::Asked {
            kind,
            reply,
            revision,
            wait,
        },
        Incoming::Probe { message, reply } => {
            Event::Membership(membership::Event::Probed { message, reply })
        }
        Incoming::ProbeFor { reply, target } => {
            Event::Membership(membership::Event::ProbeFor { reply, target })
        }
        other => return Call::Traffic(other),
    };

    Call::Control(Box::new(event))
}
