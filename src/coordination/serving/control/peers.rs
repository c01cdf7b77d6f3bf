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
            fleet::member::{Member, Phase},
            serving::{
                catch_up::{Request, Sources},
                readers::{self, Ranking, Role},
                revision::Revision,
            },
        },
    },
    rand::seq::IteratorRandom,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

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
            self.options.watch_wait.min(MAX_FOLLOWED_WATCH_WAIT)
        } else {
            self.options.watch_wait
        }
    }

    /// Decides for each kind whether this host reads the store, and requests
    /// changes from other hosts.
    pub(super) fn ask_peers(&mut self, now: Time) {
        self.rank_readers();
        let settled = now.since(self.started) >= SETTLE_TIME || !self.may_join_large_fleet();
        let members = Arc::clone(&self.member_view.members);
        let any = choose(&members, |member| member.phase == Phase::Alive);
        let (watch_wait, stale_after) = (self.watch_wait(), self.stale_after());
        let mut requests = Vec::new();

        for (kind, replica) in &mut self.replicas {
            replica.answer_waiters(now);
            let role = replica.catch_up.role(&self.ranking);
            let known = replica.mirror.revision().unwrap_or_default();
            let reading = reading(role, known, watch_wait).filter(|_| settled);

            if role == Role::Read {
                replica.catch_up.clear_failures();
            }

            if replica.mode.set(reading) {
                replica.store_failed &= reading.is_some();
                log::info!(
                    kind = kind.name(),
                    reading = reading.is_some().to_string().as_str(),
                    failures = replica.catch_up.failures(),
                    age_ms = now.since(replica.confirmed_at).as_millis();
                    "role at the store changed"
                );
            }

            let newest = replica.covered_revision(*kind);
            let ahead = choose(&members, |member| {
                let has_objects = revision(member, *kind).number > 0;
                has_objects && revision(member, *kind) > newest && member.phase != Phase::Gone
            });
            let sources = Sources {
                ahead,
                any,
                role,
                stale: replica.store_failed || now.since(replica.confirmed_at) > stale_after,
            };
            let due = replica.catch_up.requests(now, &sources);
            requests.extend(due.into_iter().map(|request| (*kind, known, request)));
        }

        for (kind, revision, request) in requests {
            self.ask(kind, revision, &request);
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

    fn ask(&self, kind: Kind, revision: Revision, request: &Request) {
        let sender = self.sender.clone();
        let (address, purpose) = (request.address, request.purpose);
        self.links.object_changes(
            address,
            kind.name(),
            revision,
            request.wait,
            move |answer| {
                let event = match answer {
                    Ok(relayed) => Event::PeerChanges {
                        kind,
                        purpose,
                        relayed,
                    },
                    Err(error) => {
                        log::info!(
                            peer = address.to_string().as_str(),
                            kind = kind.name(),
                            purpose = purpose.name();
                            "cannot get changes from a peer: {error}"
                        );
                        Event::PeerFailed { kind, purpose }
                    }
                };
                // Fails only after the control thread has stopped.
                drop(sender.send(event));
            },
        );
    }
}

/// Returns how a host with a role reads the store.
fn reading(role: Role, known: Revision, wait: Duration) -> Option<Reading> {
    let max_backoff = match role {
        Role::Follow(_) => return None,
        Role::Read => MAX_BACKOFF,
        Role::ReadFor(_) => MAX_STANDBY_BACKOFF,
    };
    Some(Reading {
        known,
        max_backoff,
        wait,
    })
}

/// Returns the highest revision of a kind's objects that a member reported.
const fn revision(member: &Member, kind: Kind) -> Revision {
    let number = match kind {
        Kind::Config => member.settings,
        Kind::Endpoints => member.endpoints,
        Kind::Evacuations => member.evacuations,
    };
    Revision::new(member.era, number)
}

/// Returns the address of a random member for which a condition holds.
fn choose(members: &[Member], condition: impl Fn(&Member) -> bool) -> Option<SocketAddr> {
    let members = members.iter().filter(|member| condition(member));
    let chosen = members.choose(&mut rand::rng());
    chosen.map(|member| member.peer_address)
}
