//! The control thread: follows the store, or a peer where the store turns
//! this host away, and keeps the membership.

use {
    crate::{
        coordination::{
            membership::{self, Membership},
            serving::follower,
        },
        protocol::edge::{Kind, Store},
        state::{
            clock::Time,
            member::{Member, Phase},
            serving::{
                mirror::{Changes, Mirror, Relayed},
                readers::{self, Role},
                roster::Roster,
                view::View,
            },
            view,
        },
        transport::{boot_clock, incoming::Incoming, links::Links},
    },
    rand::seq::IteratorRandom,
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
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

/// Time between two questions to peers.
const PEER_INTERVAL: Duration = Duration::from_millis(400);

/// How long a host that follows another one waits for a change. The answer
/// shows that the other host is still there.
const PEER_WAIT: Duration = Duration::from_millis(2000);

/// Failures to follow one after the other from which on a host reads the
/// store itself.
const FOLLOW_FAILURES: u32 = 3;

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

/// What is known of one kind.
#[derive(Debug, Default)]
struct Follow {
    asked: Time,
    /// Whether a question to a peer waits for its answer.
    asking: bool,
    /// Whether the last call to the store failed.
    failed: bool,
    /// When the store confirmed the copy, here or at the host that is
    /// followed.
    heard: Time,
    mirror: Mirror,
    /// Questions to peers one after the other that did not help.
    misses: u32,
    /// Peers that wait for a change.
    waiting: Vec<Waiting>,
}

/// A peer that waits for a change.
#[derive(Debug)]
struct Waiting {
    deadline: Time,
    reply: oneshot::Sender<Relayed>,
    revision: u64,
}

impl Follow {
    /// Answers the peers whose change has come or whose time is over.
    fn answer_waiting(&mut self, now: Time) {
        let changed = self.mirror.changed();
        let (due, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition::<Vec<Waiting>, _>(|waiting| {
                waiting.deadline <= now || waiting.revision < changed
            });
        self.waiting = waiting;

        for waiting in due {
            // The peer is gone if this fails.
            let _ = waiting.reply.send(Relayed {
                age: now.since(self.heard),
                changes: self.mirror.since(waiting.revision),
            });
        }
    }
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
                heard_peer: None,
                heard_store: None,
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
            roster_known: false,
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

    fn answer(&mut self, now: Time, kind: &str, waiting: Waiting) {
        let follow = (self.follows.iter_mut()).find(|(known, _)| known.name() == kind);

        // A host that knows nothing refuses by dropping the reply.
        if let Some((_, follow)) = follow
            && follow.mirror.revision().is_some()
        {
            follow.waiting.push(waiting);
            follow.answer_waiting(now);
        }
    }

    /// Follows the hosts that read the store, or asks any peer where the
    /// store turns this host away or a peer seems to know more.
    fn ask_peers(&mut self, now: Time) {
        let alive = self.record.members.iter();
        let alive = alive.filter(|member| member.phase == Phase::Alive);
        let local = (!self.view.leaving).then_some(&self.record.local);
        let role = readers::role(&self.record.local.host, alive.clone().chain(local));
        let newest = self.newest();
        let ahead = self.record.members.iter();
        let ahead = ahead.filter(|member| member.settings > newest && member.phase != Phase::Gone);
        let ahead = ahead
            .choose(&mut rand::rng())
            .map(|member| member.peer_address);
        let any = alive
            .choose(&mut rand::rng())
            .map(|member| member.peer_address);
        let mut reading = role == Role::Read;

        for (kind, follow) in &mut self.follows {
            follow.answer_waiting(now);
            reading |= follow.misses >= FOLLOW_FAILURES || follow.mirror.revision().is_none();
            let cut_off = follow.failed || now.since(follow.heard) > STORE_SILENCE;
            let (address, wait) = match (&role, ahead) {
                (_, Some(ahead)) => (Some(ahead), Duration::ZERO),
                (Role::Follow(readers), None) => {
                    let next = follow.misses as usize % readers.len().max(1);
                    (readers.get(next).copied(), PEER_WAIT)
                }
                (Role::Read, None) => (any.filter(|_| cut_off), Duration::ZERO),
            };
            let pause = if wait.is_zero() || follow.misses > 0 {
                PEER_INTERVAL
            } else {
                Duration::ZERO
            };
            let Some(address) = address else {
                continue;
            };

            if follow.asking || now.since(follow.asked) < pause {
                continue;
            }

            follow.asked = now;
            follow.asking = true;
            let sender = self.sender.clone();
            let kind = *kind;
            let revision = follow.mirror.revision().unwrap_or(0);
            self.links
                .object_changes(address, kind.name(), revision, wait, move |answer| {
                    let event = match answer {
                        Ok(relayed) => Event::Peer { kind, relayed },
                        Err(error) => {
                            log::info!(
                                peer = address.to_string().as_str(),
                                kind = kind.name();
                                "cannot follow a peer: {error}"
                            );
                            Event::PeerFailed { kind }
                        }
                    };
                    // Fails only after the control thread has stopped.
                    drop(sender.send(event));
                });
        }

        if self.reading.swap(reading, Ordering::Relaxed) != reading {
            log::info!(reading = reading.to_string().as_str(); "role at the store changed");
        }
    }

    fn apply(&mut self, now: Time, kind: Kind, changes: &Changes, source: &'static str) {
        let follow = self.follows.entry(kind).or_default();

        let changed = follow.mirror.apply(changes);
        follow.answer_waiting(now);

        if !changed {
            return;
        }

        match kind {
            Kind::Config => self.apply_config(now, source),
            Kind::Endpoints => self.apply_endpoints(source, changes),
        }
    }

    fn apply_config(&mut self, now: Time, source: &'static str) {
        let follow = &self.follows[&Kind::Config];
        let Some(object) = follow.mirror.objects().max_by_key(|object| object.revision) else {
            return;
        };
        let revision = object.revision;

        match self.store.config(&object.value) {
            Ok(config) => {
                let version = config.version;
                let known = self.view.config.as_ref().map_or(0, |known| known.version);

                if version < known {
                    log::warn!(version = version, known = known; "older configuration passed over");
                    return;
                }

                log::info!(
                    version = version,
                    revision = revision,
                    routes = config.route_count(),
                    source = source;
                    "configuration in force"
                );
                self.view.config = Some(Arc::new(config));
                self.view.config_since = now;
                self.publish();
            }
            Err(fault) => log::error!(revision = revision; "configuration refused: {fault}"),
        }
    }

    fn apply_endpoints(&mut self, source: &'static str, changes: &Changes) {
        let follow = &self.follows[&Kind::Endpoints];
        let mut entries = Vec::new();

        for object in follow.mirror.objects() {
            match self.store.endpoint(&object.name, &object.value) {
                Ok(entry) => entries.push(entry),
                Err(fault) if changes.objects.contains(object) => {
                    log::warn!(endpoint = object.name.as_str(); "entry passed over: {fault}");
                }
                // Logged when it came.
                Err(_) => {}
            }
        }

        let roster = Roster::new(entries);
        log_changes(&self.view.roster, &roster, source, changes.revision);
        self.view.roster = Arc::new(roster);
        self.view.roster_known = true;
        self.publish();
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

fn log_changes(old: &Roster, new: &Roster, source: &'static str, revision: u64) {
    for entry in new.entries() {
        let known = old.get(&entry.endpoint);

        if known.is_none_or(|known| known != entry) {
            log::info!(
                endpoint = entry.endpoint.as_str(),
                service = entry.service.as_str(),
                address = entry.address.to_string().as_str(),
                domain = entry.domain.as_str(),
                leaving = entry.leaving.to_string().as_str(),
                incarnation = entry.incarnation,
                source = source,
                revision = revision;
                "endpoint listed"
            );
        }
    }

    for entry in old.entries() {
        if new.get(&entry.endpoint).is_none() {
            log::info!(
                endpoint = entry.endpoint.as_str(),
                service = entry.service.as_str(),
                source = source,
                revision = revision;
                "endpoint removed"
            );
        }
    }
}
