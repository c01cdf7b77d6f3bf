//! Requests changes from other hosts, and answers the requests of those that
//! follow this one.

use {
    crate::{
        coordination::serving::control::{Control, Event, STORE_STALE_AFTER, replica::Waiter},
        state::{
            clock::Time,
            fleet::member::Phase,
            serving::readers::{self, Role},
        },
    },
    rand::seq::IteratorRandom,
    std::{sync::atomic::Ordering, time::Duration},
};

/// Minimum interval between requests to peers for the same kind, unless this
/// host follows a peer that answers.
const PEER_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum time for which a followed host holds a request until a change
/// arrives. Its answer also shows that it is still alive.
const PEER_WAIT: Duration = Duration::from_millis(2000);

/// Number of consecutive failures to follow a peer at which a host reads the
/// store itself.
const FOLLOW_FAILURE_LIMIT: u32 = 3;

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

    /// Requests changes from a peer that reports a newer revision. Otherwise
    /// requests them from a host that reads the store, if this host has to follow
    /// one, or from any live peer, if this host reads the store itself and its
    /// last call failed or its copy is stale.
    pub(super) fn ask_peers(&mut self, now: Time) {
        let alive = self.member_view.members.iter();
        let alive = alive.filter(|member| member.phase == Phase::Alive);
        let local = (!self.view.leaving).then_some(&self.member_view.local);
        let role = readers::role(&self.member_view.local.host, alive.clone().chain(local));
        let newest_revision = self.newest_revision();
        let ahead = self.member_view.members.iter();
        let ahead =
            ahead.filter(|member| member.settings > newest_revision && member.phase != Phase::Gone);
        let ahead = ahead
            .choose(&mut rand::rng())
            .map(|member| member.peer_address);
        let any = alive
            .choose(&mut rand::rng())
            .map(|member| member.peer_address);
        let mut reading = role == Role::Read;

        for (kind, replica) in &mut self.replicas {
            replica.answer_waiters(now);
            reading |= replica.peer_failures >= FOLLOW_FAILURE_LIMIT
                || replica.mirror.revision().is_none();
            let store_stale =
                replica.store_failed || now.since(replica.confirmed_at) > STORE_STALE_AFTER;
            let (address, wait) = match (&role, ahead) {
                (_, Some(ahead)) => (Some(ahead), Duration::ZERO),
                (Role::Follow(readers), None) => {
                    let next = replica.peer_failures as usize % readers.len().max(1);
                    (readers.get(next).copied(), PEER_WAIT)
                }
                (Role::Read, None) => (any.filter(|_| store_stale), Duration::ZERO),
            };
            let pause = if wait.is_zero() || replica.peer_failures > 0 {
                PEER_INTERVAL
            } else {
                Duration::ZERO
            };
            let Some(address) = address else {
                continue;
            };

            if replica.request_pending || now.since(replica.last_asked) < pause {
                continue;
            }

            replica.last_asked = now;
            replica.request_pending = true;
            let sender = self.sender.clone();
            let kind = *kind;
            let revision = replica.mirror.revision().unwrap_or(0);
            self.links
                .object_changes(address, kind.name(), revision, wait, move |answer| {
                    let event = match answer {
                        Ok(relayed) => Event::PeerChanges { kind, relayed },
                        Err(error) => {
                            log::info!(
                                peer = address.to_string().as_str(),
                                kind = kind.name();
                                "cannot get changes from a peer: {error}"
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
}
