//! The control thread: follows the store or the hosts that read it, maintains
//! the fleet membership and publishes views of both.

mod apply;
mod options;
mod peers;
mod replica;

pub use options::Options;

use {
    self::replica::{Replica, Waiter},
    crate::{
        coordination::{
            membership::{self, Membership},
            serving::follower,
        },
        protocol::adapter::{Kind, Store},
        state::{
            clock::Time,
            fleet::{member::Member, record::Record},
            id,
            serving::{
                catch_up::Purpose,
                cold,
                crashes::Crash,
                departures::Departures,
                evacuation::Evacuations,
                mirror::{Changes, RelayedChanges},
                readers::Ranking,
                restoration::Restoration,
                revision::Revision,
                roster::Roster,
                view::View,
            },
            view,
        },
        transport::{boot_clock, links::Links, peer_call::PeerCall},
    },
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

/// Interval between ticks of the control thread.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum wait of a watch by a host that others follow. A store that falls silent
/// is noticed only after this time and the timeout of an answer.
const MAX_FOLLOWED_WATCH_WAIT: Duration = Duration::from_millis(800);

/// Maximum pause between failed calls to the store. A host has to detect that the
/// store is available again within the time in which a new configuration must
/// come into force.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum pause between failed calls of a host that reads the store in place of
/// the readers, which detect the end of an outage themselves.
const MAX_STANDBY_BACKOFF: Duration = Duration::from_millis(1600);

/// Time after the end of a watch's wait at which a copy is stale.
const STALE_MARGIN: Duration = Duration::from_millis(1400);

/// Time after the start by which a host has heard of all live hosts, even if all of
/// a large fleet start at once.
const JOIN_TIME: Duration = Duration::from_millis(5000);

/// Time after the start at which a host of a large fleet decides whether it reads
/// the store. By then it knows the others.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// An event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// A peer requests the objects that changed after a revision.
    ChangesRequested {
        kind: String,
        reply: oneshot::Sender<RelayedChanges>,
        revision: Revision,
        wait: Duration,
    },
    /// A request was answered under which endpoints have crashed.
    Answered(u64),
    /// An endpoint has crashed.
    EndpointCrashed(Crash),
    /// An endpoint's incarnation said in an answer that it is leaving.
    EndpointLeaving {
        endpoint: id::Endpoint,
        incarnation: u64,
    },
    /// This host stops accepting new work.
    Leave,
    Membership(membership::Event),
    /// A peer sent changed objects.
    PeerChanges {
        kind: Kind,
        purpose: Purpose,
        relayed: RelayedChanges,
    },
    /// A part of prompts has to be kept away from the engines.
    Quarantine(u64),
    /// A part of prompts no longer crashes engines.
    Release(u64),
    /// The hosts that are registered in the store were listed.
    Registered(Vec<Record>),
    /// A request to a peer failed.
    PeerFailed {
        kind: Kind,
        purpose: Purpose,
    },
    /// The store sent changed objects to a follower.
    StoreChanges {
        changes: Changes,
        kind: Kind,
    },
    /// A follower's call to the store failed.
    StoreFailed {
        kind: Kind,
        message: String,
    },
}

/// The state of the control thread.
pub struct Control {
    departures: Departures,
    /// The latest era of the store, in which this host has to be registered.
    era: follower::Era,
    evacuations: Evacuations,
    /// The endpoints as listed, of which the published ones in evacuated domains are
    /// closed. `None` before the first listing.
    listed: Option<Roster>,
    options: Options,
    replicas: BTreeMap<Kind, Replica>,
    links: Links,
    membership: Membership,
    published: watch::Sender<Arc<View>>,
    /// The order in which the live hosts become readers of the store.
    ranking: Ranking,
    /// The members of which `ranking` consists.
    ranked_members: Option<Arc<Vec<Member>>>,
    /// The endpoints known from the time before the store was restored.
    restoration: Restoration,
    /// The view that the membership updates. Its members are copied to `view`.
    member_view: view::View,
    sender: Sender<Event>,
    started: Time,
    /// When the endpoints started.
    starts: cold::Starts,
    store: Arc<dyn Store>,
    view: View,
}

impl Control {
    /// Creates the control state of a host without objects and members.
    pub fn new(
        local: Member,
        membership: Membership,
        links: Links,
        store: Arc<dyn Store>,
        options: Options,
        published: watch::Sender<Arc<View>>,
        sender: Sender<Event>,
    ) -> Self {
        let view = published.borrow().as_ref().clone();

        Self {
            departures: Departures::default(),
            era: follower::Era::default(),
            evacuations: if options.follow_evacuations {
                Evacuations::default()
            } else {
                Evacuations::unfollowed()
            },
            listed: None,
            options,
            replicas: options
                .kinds()
                .map(|kind| (kind, Replica::default()))
                .collect(),
            links,
            membership,
            published,
            ranking: Ranking::default(),
            ranked_members: None,
            restoration: Restoration::default(),
            member_view: view::View {
                endpoints: Arc::default(),
                had_peers: false,
                last_peer_answer: None,
                last_store_answer: None,
                local,
                members: Arc::default(),
                policy: Arc::default(),
            },
            sender,
            started: boot_clock::now(),
            starts: cold::Starts::default(),
            store,
            view,
        }
    }

    /// Returns the view before the first objects and members have arrived.
    pub fn initial_view(local: Member) -> View {
        View {
            config: None,
            config_since: Time::ZERO,
            evacuated: Arc::default(),
            harmful_requests: Arc::default(),
            leaving: false,
            local,
            members: Arc::default(),
            quarantine: Arc::default(),
            registered: None,
            roster: Arc::default(),
            roster_loaded: false,
            settled: false,
            suspects: Arc::default(),
        }
    }

    /// Starts the followers of the store and handles events until every
    /// sender has been dropped.
    pub fn run(mut self, receiver: &Receiver<Event>) {
        for (kind, replica) in &self.replicas {
            let mode = replica.mode.clone();
            follower::start(*kind, Arc::clone(&self.store), mode, self.sender.clone());
        }

        follower::announce(
            Arc::clone(&self.store),
            &self.member_view.local,
            self.era.clone(),
            self.sender.clone(),
        );
        let mut last_tick = boot_clock::now();

        loop {
            match receiver.recv_timeout(TICK_INTERVAL) {
                Ok(event) => self.handle(boot_clock::now(), event),
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }

            let now = boot_clock::now();

            if now.since(last_tick) >= TICK_INTERVAL {
                last_tick = now;
                self.tick(now);
            }
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::ChangesRequested {
                kind,
                reply,
                revision,
                wait,
            } => self.answer(
                now,
                &kind,
                Waiter {
                    deadline: now + wait,
                    reply,
                    revision,
                },
            ),
            Event::Answered(fingerprint) => self.membership.record_answer(now, fingerprint),
            Event::EndpointCrashed(crash) => self.membership.record_crash(now, &crash),
            Event::EndpointLeaving {
                endpoint,
                incarnation,
            } => self.apply_departure(now, &endpoint, incarnation),
            Event::Leave => {
                self.membership
                    .handle(now, membership::Event::Leave, &mut self.member_view);
                self.view.leaving = true;
                self.publish();
            }
            Event::Membership(event) => self.membership.handle(now, event, &mut self.member_view),
            Event::PeerChanges {
                kind,
                purpose,
                relayed,
            } => {
                let fresh = relayed.age < self.stale_after();
                let replica = self.replicas.entry(kind).or_default();
                replica.catch_up.record(now, purpose, fresh);

                if fresh {
                    replica.confirmed_at = replica.confirmed_at.max(now.before(relayed.age));
                }

                self.apply(now, kind, &relayed.changes, "peer");
            }
            Event::PeerFailed { kind, purpose } => {
                let replica = self.replicas.entry(kind).or_default();
                replica.catch_up.record_silence(now, purpose);
            }
            Event::Quarantine(part) => self.membership.quarantine(now, part),
            Event::Release(part) => self.membership.release(part),
            Event::Registered(records) => {
                let addresses = records.iter().map(|record| record.peer_address);
                let event = membership::Event::Listed(addresses.collect());
                self.membership.handle(now, event, &mut self.member_view);
                self.view.registered = Some(records.into());
                self.publish();
            }
            Event::StoreChanges { changes, kind } => {
                let replica = self.replicas.entry(kind).or_default();

                if replica.store_failed {
                    replica.store_failed = false;
                    log::info!(kind = kind.name(); "store regained");
                }

                replica.confirmed_at = now;
                self.apply(now, kind, &changes, "store");
            }
            Event::StoreFailed { kind, message } => {
                let replica = self.replicas.entry(kind).or_default();
                let age = now.since(replica.confirmed_at).as_millis();

                if !replica.store_failed {
                    replica.store_failed = true;
                    log::warn!(
                        kind = kind.name(),
                        age_ms = age,
                        era = replica.mirror.era(),
                        revision = replica.mirror.revision().map(|revision| revision.number);
                        "store lost: {message}"
                    );
                }

                replica.answer_waiters(now);
            }
        }

        if let Some((harmful, suspects)) = self.membership.take_crashes()
            && (*self.view.harmful_requests != harmful || *self.view.suspects != suspects)
        {
            self.view.harmful_requests = Arc::new(harmful);
            self.view.suspects = Arc::new(suspects);
            self.publish();
        }

        if let Some(quarantine) = self.membership.take_quarantine() {
            self.view.quarantine = Arc::new(quarantine);
            self.publish();
        }
    }

    fn tick(&mut self, now: Time) {
        self.expire_kept(now);
        self.report_revisions();
        self.membership.tick(now, &mut self.member_view);
        self.ask_peers(now);
        let local = &self.member_view.local;
        let settled = now.since(self.started) >= JOIN_TIME;
        let just_settled = settled && !self.view.settled;
        self.view.settled = settled;

        if just_settled
            || !Arc::ptr_eq(&self.view.members, &self.member_view.members)
            || self.view.local != *local
        {
            self.publish();
        }
    }

    /// Updates the revisions that other hosts are told. Those of copies that are still of
    /// an earlier era than another copy cannot be compared with it.
    fn report_revisions(&mut self) {
        let eras = self.replicas.values().map(|replica| replica.mirror.era());
        let era = eras.max().unwrap_or(0);
        let newest = |kind, newest: fn(&Replica) -> u64| {
            let replica = self.replicas.get(&kind);
            replica
                .filter(|replica| replica.mirror.era() == era)
                .map_or(0, newest)
        };
        let settings = newest(Kind::Config, Replica::newest_revision);
        let endpoints = newest(Kind::Endpoints, Replica::newest_revision);
        let evacuations = newest(Kind::Evacuations, |replica| replica.mirror.newest_change());
        let local = &mut self.member_view.local;
        local.era = era;
        self.era.raise(era);
        local.settings = settings;
        local.endpoints = endpoints;
        local.evacuations = evacuations;
    }

    fn publish(&mut self) {
        self.view.members = Arc::clone(&self.member_view.members);
        self.view.local = self.member_view.local.clone();
        self.published.send_replace(Arc::new(self.view.clone()));
    }
}

/// A call of another host, by the thread that serves it.
pub enum Call {
    Control(Box<Event>),
    Traffic(Box<PeerCall>),
}

/// Assigns a call of another host to the thread that serves it.
pub fn classify(call: PeerCall) -> Call {
    let event = match call {
        PeerCall::ObjectChanges {
            kind,
            reply,
            revision,
            wait,
        } => Event::ChangesRequested {
            kind,
            reply,
            revision,
            wait,
        },
        PeerCall::Probe { message, reply } => {
            Event::Membership(membership::Event::Probed { message, reply })
        }
        PeerCall::ProbeFor { reply, target } => {
            Event::Membership(membership::Event::ProbeFor { reply, target })
        }
        other => return Call::Traffic(Box::new(other)),
    };

    Call::Control(Box::new(event))
}
