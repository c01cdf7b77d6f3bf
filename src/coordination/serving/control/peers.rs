//! Requests changes from other hosts, and answers the requests of those that
//! follow this one.

use {
    crate::{
        coordination::serving::{
            control::{
                Control, Event, MAX_BACKOFF, MAX_FOLLOWED_WATCH_WAIT, MAX_STANDBY_BACKOFF,
                SETTLE_TIME, STALE_MARGIN, replica::Waiter,
            },
            follower::Reading,
        },
        protocol::adapter::Kind,
        state::{
            clock::Time,
            fleet::member::Phase,
            serving::readers::{self, Ranking, Role},
        },
    },
    rand::seq::IteratorRandom,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Minimum interval between requests for changes that a peer should have.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum time for which a followed host holds a request until a change
/// arrives. Its answer also shows that it is still alive.
const FOLLOW_WAIT: Duration = Duration::from_millis(1000);

/// Why a host asks a peer for changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Request {
    /// The peer reads the store for this host.
    Follow,
    /// The peer may have changes that this host lacks.
    Once,
}

/// A request to send to a peer.
struct Question {
    address: SocketAddr,
    interval: Duration,
    request: Request,
    wait: Duration,
}

impl Control {
    pub(super) fn answer(&mut self, now: Time, kind: &str, waiter: Waiter) {
        let replica = (self.replicas.iter_mut()).find(|(candidate, _)| candidate.name() == kind);

        // Without a copy of the objects, the request is refused by dropping
        // the reply.
        if let Some((_, replica)) = replica
            && replica.mirror.revision().is_some()
        {
            replica.waiting.push(waiter);
            replica.answer_waiters(now);
        }
    }

    /// Returns the age of the store's last confirmation from which a copy is
    /// stale.
    pub(super) fn stale_after(&self) -> Duration {
        self.watch_wait() + STALE_MARGIN
    }

    /// Returns the time for which a watch waits.
    fn watch_wait(&self) -> Duration {
        if self.ranking.has_followers() {
            self.watch_wait.min(MAX_FOLLOWED_WATCH_WAIT)
        } else {
            self.watch_wait
        }
    }

    /// Decides for each kind whether this host reads the store, and requests
    /// changes from other hosts.
    pub(super) fn ask_peers(&mut self, now: Time) {
        self.rank_readers();
        let settled = now.since(self.started) >= SETTLE_TIME || !self.may_join_large_fleet();
        let members = self.member_view.members.iter();
        let newest_revision = self.newest_revision();
        let ahead = (members.clone())
            .filter(|member| member.settings > newest_revision && member.phase != Phase::Gone)
            .choose(&mut rand::rng())
            .map(|member| member.peer_address);
        let any = members
            .filter(|member| member.phase == Phase::Alive)
            .choose(&mut rand::rng())
            .map(|member| member.peer_address);
        let (watch_wait, stale_after) = (self.watch_wait(), self.stale_after());
        let mut questions = Vec::new();

        for (kind, replica) in &mut self.replicas {
            replica.answer_waiters(now);
            let role = self.ranking.role(replica.peer_failures);
            let reading = reading(role, watch_wait).filter(|_| settled);

            if role == Role::Read {
                replica.peer_failures = 0;
            }

            if replica.mode.set(reading) {
                replica.store_failed &= reading.is_some();
                log::info!(
                    kind = kind.name(),
                    reading = reading.is_some().to_string().as_str(),
                    failures = replica.peer_failures,
                    age_ms = now.since(replica.confirmed_at).as_millis();
                    "role at the store changed"
                );
            }

            let stale = replica.store_failed || now.since(replica.confirmed_at) > stale_after;
            let Some(question) = next_question(role, replica.peer_failures, ahead, any, stale)
            else {
                continue;
            };

            if !replica.request_pending && now.since(replica.last_asked) >= question.interval {
                replica.last_asked = now;
                replica.request_pending = true;
                questions.push((*kind, replica.mirror.revision().unwrap_or(0), question));
            }
        }

        for (kind, revision, question) in questions {
            self.ask(kind, revision, &question);
        }
    }

    /// Returns whether the hosts registered in the store are too many for each to
    /// read it, or too old a listing to tell: one without this host.
    fn may_join_large_fleet(&self) -> bool {
        let local = &self.member_view.local.host;
        self.view.registered.as_ref().is_some_and(|records| {
            records.len() > readers::SMALL_FLEET
                || records.iter().all(|record| record.host != *local)
        })
    }

    /// Ranks the hosts again if the members have changed.
    fn rank_readers(&mut self) {
        let members = &self.member_view.members;

        if (self.ranked_members.as_ref()).is_some_and(|ranked| Arc::ptr_eq(ranked, members)) {
            return;
        }

        let alive = members.iter();
        let alive = alive.filter(|member| member.phase == Phase::Alive);
        let local = (!self.view.leaving).then_some(&self.member_view.local);
        self.ranking = Ranking::new(&self.member_view.local.host, alive.chain(local));
        self.ranked_members = Some(Arc::clone(members));
    }

    fn ask(&self, kind: Kind, revision: u64, question: &Question) {
        let sender = self.sender.clone();
        let (address, request) = (question.address, question.request);
        self.links.object_changes(
            address,
            kind.name(),
            revision,
            question.wait,
            move |answer| {
                let event = match answer {
                    Ok(relayed) => Event::PeerChanges {
                        kind,
                        relayed,
                        request,
                    },
                    Err(error) => {
                        log::info!(
                            peer = address.to_string().as_str(),
                            kind = kind.name();
                            "cannot get changes from a peer: {error}"
                        );
                        Event::PeerFailed { kind, request }
                    }
                };
                // Fails only after the control thread has stopped.
                drop(sender.send(event));
            },
        );
    }
}

/// Returns how a host with a role reads the store.
fn reading(role: Role, wait: Duration) -> Option<Reading> {
    let max_backoff = match role {
        Role::Follow(_) => return None,
        Role::Read => MAX_BACKOFF,
        Role::ReadFor(_) => MAX_STANDBY_BACKOFF,
    };
    Some(Reading { max_backoff, wait })
}

/// Returns the request to send next: to a peer that reports a newer revision,
/// to the host that this host follows, or, if this host reads the store and its
/// copy is stale, to any peer.
fn next_question(
    role: Role,
    failures: u32,
    ahead: Option<SocketAddr>,
    any: Option<SocketAddr>,
    stale: bool,
) -> Option<Question> {
    let once = |address| Question {
        address,
        interval: CATCH_UP_INTERVAL,
        request: Request::Once,
        wait: Duration::ZERO,
    };
    let follow = |address, wait| Question {
        address,
        interval: readers::pause(role, failures),
        request: Request::Follow,
        wait,
    };

    match (role, ahead) {
        (_, Some(ahead)) => Some(once(ahead)),
        (Role::Follow(reader), None) => Some(follow(reader, FOLLOW_WAIT)),
        (Role::ReadFor(reader), None) => Some(follow(reader, Duration::ZERO)),
        (Role::Read, None) if stale => any.map(once),
        (Role::Read, None) => None,
    }
}
