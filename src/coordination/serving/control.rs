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
                mirror::{Changes, Mirror},
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

/// Longest time for a peer's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);

/// An event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// A peer asks for changed objects.
    Asked {
        kind: String,
        reply: oneshot::Sender<Changes>,
        revision: u64,
    },
    /// This host takes no new work from now on.
    Leave,
    Membership(membership::Event),
    /// A peer answered with changed objects.
    Peer {
        changes: Changes,
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
    /// Whether the last call to the store failed.
    failed: bool,
    heard: Time,
    mirror: Mirror,
}

/// The control state of one host on the platform.
pub struct Control {
    follows: BTreeMap<Kind, Follow>,
    links: Links,
    membership: Membership,
    published: watch::Sender<Arc<View>>,
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
            follower::start(kind, Arc::clone(&self.store), self.sender.clone());
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
            } => self.answer(&kind, reply, revision),
            Event::Leave => {
                self.membership
                    .handle(now, membership::Event::Leave, &mut self.record);
                self.view.leaving = true;
                self.publish();
            }
            Event::Membership(event) => self.membership.handle(now, event, &mut self.record),
            Event::Peer { changes, kind } => self.apply(now, kind, &changes, "peer"),
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

    fn answer(&self, kind: &str, reply: oneshot::Sender<Changes>, revision: u64) {
        let follow = self.follows.iter().find(|(known, _)| known.name() == kind);

        if let Some((_, follow)) = follow
            && follow.mirror.revision().is_some()
        {
            // The peer is gone if this fails.
            let _ = reply.send(follow.mirror.since(revision));
        }
    }

    /// Asks a peer for what the store does not say, or what the peer seems to
    /// know already.
    fn ask_peers(&mut self, now: Time) {
        let newest = self.newest();
        let peers = self.record.members.iter();
        let ahead = peers
            .clone()
            .filter(|member| member.settings > newest && member.phase != Phase::Gone);
        let ahead = ahead.choose(&mut rand::rng());
        let any = peers
            .filter(|member| member.phase == Phase::Alive)
            .choose(&mut rand::rng());

        for (kind, follow) in &mut self.follows {
            let cut_off = follow.failed || now.since(follow.heard) > STORE_SILENCE;
            let Some(peer) = ahead.or(any.filter(|_| cut_off)) else {
                continue;
            };

            if now.since(follow.asked) < PEER_INTERVAL {
                continue;
            }

            follow.asked = now;
            let sender = self.sender.clone();
            let kind = *kind;
            let address = peer.peer_address;
            self.links.object_changes(
                address,
                kind.name(),
                follow.mirror.revision().unwrap_or(0),
                PEER_TIMEOUT,
                move |answer| match answer {
                    // A send fails only after the control thread has stopped.
                    Ok(changes) => drop(sender.send(Event::Peer { changes, kind })),
                    Err(error) => log::debug!(
                        peer = address.to_string().as_str();
                        "cannot follow a peer: {error}"
                    ),
                },
            );
        }
    }

    fn apply(&mut self, now: Time, kind: Kind, changes: &Changes, source: &'static str) {
        let follow = self.follows.entry(kind).or_default();

        if !follow.mirror.apply(changes) {
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

/// Returns the control thread's event for a call of another host, or the call
/// itself if the traffic thread serves it.
pub fn event(call: Incoming) -> Result<Event, Incoming> {
    match call {
        Incoming::ObjectChanges {
            kind,
            reply,
            revision,
        } => Ok(Event::Asked {
            kind,
            reply,
            revision,
        }),
        Incoming::Probe { message, reply } => Ok(Event::Membership(membership::Event::Probed {
            message,
            reply,
        })),
        Incoming::ProbeFor { reply, target } => {
            Ok(Event::Membership(membership::Event::ProbeFor {
                reply,
                target,
            }))
        }
        other => Err(other),
    }
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
