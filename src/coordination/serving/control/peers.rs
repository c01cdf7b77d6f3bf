//! Follows other hosts, and answers those that follow this one.

use {
    crate::{
        coordination::serving::control::{Control, Event, STORE_SILENCE, follow::Waiting},
        state::{
            clock::Time,
            fleet::member::Phase,
            serving::readers::{self, Role},
        },
    },
    rand::seq::IteratorRandom,
    std::{sync::atomic::Ordering, time::Duration},
};

/// Time between two questions to peers.
const PEER_INTERVAL: Duration = Duration::from_millis(400);

/// How long a host that follows another one waits for a change. The answer
/// shows that the other host is still there.
const PEER_WAIT: Duration = Duration::from_millis(2000);

/// Failures to follow one after the other from which on a host reads the
/// store itself.
const FOLLOW_FAILURES: u32 = 3;

impl Control {
    pub(super) fn answer(&mut self, now: Time, kind: &str, waiting: Waiting) {
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
    pub(super) fn ask_peers(&mut self, now: Time) {
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
}
