//! The membership protocol: decides which hosts to probe and handles the
//! answers.

use {
    crate::state::{
        clock::Time,
        fleet::gossip::Message,
        fleet::member::{Member, Phase},
        fleet::membership_action::Action,
        fleet::membership_event::Event,
        fleet::peers::Peers,
        fleet::pending_updates::PendingUpdates,
        fleet::probes::{Probe, Probes, Purpose},
        id,
        incarnation_status::{self, Correction, IncarnationStatus},
        probe_targets::ProbeTargets,
    },
    rand::{SeedableRng, rngs::StdRng, seq::IteratorRandom},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Interval between two rounds of probes.
pub const PERIOD: Duration = Duration::from_millis(500);

/// Number of hosts that are asked to probe a host that did not answer.
const RELAYS: usize = 2;

/// Maximum number of records relayed in one message, besides the sender's own.
const MAX_UPDATES: usize = 16;

/// Number of hosts by which the sender of a probe must know fewer than this one
/// to receive more records than usual. Otherwise a fleet of some hundred hosts
/// that starts at once takes eight seconds until each host knows all others.
const JOIN_GAP: usize = 16;

/// Maximum number of records in the answer to such a host.
const MAX_JOIN_UPDATES: usize = 512;

/// Maximum number of hosts that are probed at once when this host starts to
/// leave, to announce its new phase.
const MAX_LEAVE_PROBES: usize = 128;

/// Time between two ticks from which this host assumes that it was paused
/// itself, so that missing answers are no evidence against its peers.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// The membership as observed by one host.
#[derive(Clone, Debug)]
pub struct Membership {
    /// Whether a record changed since `take_changed` was last called.
    changed: bool,
    /// Whether any peer has ever answered a probe of this process.
    established: bool,
    /// When a peer last answered a probe of the current incarnation.
    last_peer_answer: Option<Time>,
    /// Start of the current round of probes.
    period_start: Option<Time>,
    probes: Probes,
    random: StdRng,
    peers: Peers,
    pending_updates: PendingUpdates,
    incarnation_status: IncarnationStatus,
    targets: ProbeTargets,
    last_tick: Option<Time>,
}

impl Default for Membership {
    /// Creates the membership of a host without peers.
    fn default() -> Self {
        Self::new([], 0)
    }
}

impl Membership {
    /// Creates the membership of a new process. `seeds` are the addresses in its
    /// settings, `random` seeds the random number generator.
    pub fn new(seeds: impl IntoIterator<Item = SocketAddr>, random: u64) -> Self {
        Self {
            changed: false,
            established: false,
            last_peer_answer: None,
            period_start: None,
            probes: Probes::default(),
            random: StdRng::seed_from_u64(random),
            peers: Peers::default(),
            pending_updates: PendingUpdates::default(),
            incarnation_status: IncarnationStatus::New,
            targets: ProbeTargets::new(seeds),
            last_tick: None,
        }
    }

    /// Returns when a peer last answered a probe of the current incarnation.
    pub fn last_peer_answer(&self) -> Option<Time> {
        self.last_peer_answer
    }

    /// Returns the hosts that are not gone, sorted by the last record received
    /// from them, latest first.
    pub fn members(&self) -> Vec<Member> {
        self.peers.members()
    }

    /// Returns whether a host was added, changed its phase or was declared gone
    /// since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Handles one event. `local` is this host's record, whose clock, phase and
    /// incarnation are updated. Its phase is `Gone` while the host must not
    /// accept requests because peers declared it gone.
    pub fn handle(
        &mut self,
        now: Time,
        local: &mut Member,
        event: Event,
        actions: &mut Vec<Action>,
    ) {
        local.clock = now;

        match event {
            Event::Answered { message, probe } => {
                self.handle_answer(now, local, message, probe, actions);
            }
            Event::Failed { probe } => self.handle_failure(now, probe, actions),
            Event::Leave => self.leave(now, local, actions),
            Event::Listed(addresses) => self.targets.set_listed(addresses),
            Event::ProbeFor { target, token } => {
                self.probe(now, local, target, Purpose::Relay { token }, actions);
            }
            Event::Relayed { probe, reached } => {
                if let Some(probe) = self.probes.record_relay_answer(probe, reached) {
                    self.suspect(now, &probe);
                }
            }
            Event::Tick => self.tick(now, local, actions),
        }

        self.update_local_phase(local);
    }

    /// Handles the probe of a peer and returns the answer.
    pub fn handle_probe(&mut self, now: Time, local: &mut Member, message: Message) -> Message {
        local.clock = now;
        let from = message.from.clone();
        let known = message.known;
        let changed = self.merge_message(now, local, message);
        self.update_local_phase(local);

        let mut answer = self.message(now, local, Some(&from));

        if known > 0 && known + JOIN_GAP < answer.known {
            self.add_random_members(&from, MAX_JOIN_UPDATES, &mut answer);
        } else if changed {
            self.add_random_members(&from, MAX_UPDATES, &mut answer);
        }

        answer
    }

    fn tick(&mut self, now: Time, local: &mut Member, actions: &mut Vec<Action>) {
        let paused = self
            .last_tick
            .is_some_and(|last_tick| now.since(last_tick) >= PAUSE_THRESHOLD);
        self.last_tick = Some(now);

        if paused {
            self.peers.restart_suspicions(now);
        }

        for host in self.peers.expire(now) {
            self.queue_update(&host);
        }

        if self
            .period_start
            .is_none_or(|start| now.since(start) >= PERIOD)
        {
            self.period_start = Some(now);

            let own = local.peer_address;

            for address in self.targets.choose(&self.peers, own, &mut self.random) {
                self.probe(now, local, address, Purpose::Direct, actions);
            }
        }
    }

    /// Sends a probe to an address.
    fn probe(
        &mut self,
        now: Time,
        local: &Member,
        address: SocketAddr,
        purpose: Purpose,
        actions: &mut Vec<Action>,
    ) {
        let member = self.peers.member_at(address).cloned();
        let message = self.message(now, local, member.as_ref());
        let probe = self.probes.add(Probe {
            address,
            incarnation: local.incarnation,
            purpose,
            sent: now,
            target: member.map(|member| (member.host, member.incarnation)),
        });
        actions.push(Action::Probe {
            address,
            message,
            probe,
        });
    }

    /// Handles the answer to a probe. Suspects the probed host if another host
    /// answered.
    fn handle_answer(
        &mut self,
        now: Time,
        local: &mut Member,
        message: Message,
        probe: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(probe) = self.probes.take(probe) else {
            return;
        };
        let expected = (probe.target.as_ref()).is_none_or(|(host, _)| *host == message.from.host);
        self.merge_message(now, local, message);

        if !expected {
            self.suspect(now, &probe);
        }

        if probe.incarnation == local.incarnation {
            self.last_peer_answer = Some(now);
            self.established = true;
            self.incarnation_status = IncarnationStatus::Acknowledged;
        }

        if let Purpose::Relay { token } = probe.purpose {
            actions.push(Action::Reached {
                reached: true,
                token,
            });
        }
    }

    /// Handles a probe without an answer. Asks other hosts to probe the target,
    /// and suspects it if there are none.
    fn handle_failure(&mut self, now: Time, id: u64, actions: &mut Vec<Action>) {
        let Some(probe) = self.probes.take(id) else {
            return;
        };

        if let Purpose::Relay { token } = probe.purpose {
            return actions.push(Action::Reached {
                reached: false,
                token,
            });
        }

        let relays = (self.peers.present())
            .filter(|member| member.phase == Phase::Alive && member.peer_address != probe.address)
            .map(|member| member.peer_address)
            .choose_multiple(&mut self.random, RELAYS);

        if relays.is_empty() || probe.target.is_none() {
            return self.suspect(now, &probe);
        }

        let target = probe.address;
        let waiting = relays.len();
        self.probes.delegate(id, probe, waiting);
        actions.extend(relays.into_iter().map(|address| Action::ProbeFor {
            address,
            probe: id,
            target,
        }));
    }

    /// Suspects the target of a probe that had no valid answer.
    fn suspect(&mut self, now: Time, probe: &Probe) {
        if let Some((host, incarnation)) = &probe.target
            && self.peers.suspect(now, probe.sent, host, *incarnation)
        {
            self.queue_update(host);
        }
    }

    /// Sets the local phase to `Leaving` and announces it to peers.
    fn leave(&mut self, now: Time, local: &mut Member, actions: &mut Vec<Action>) {
        local.phase = Phase::Leaving;
        self.queue_update(&local.host);
        let addresses = (self.peers.present())
            .map(|member| member.peer_address)
            .choose_multiple(&mut self.random, MAX_LEAVE_PROBES);

        for address in addresses {
            self.probe(now, local, address, Purpose::Direct, actions);
        }
    }

    /// Merges the records of a message. Returns whether the sender's own record
    /// was new or had another phase or incarnation than before.
    fn merge_message(&mut self, now: Time, local: &mut Member, message: Message) -> bool {
        let Message { from, updates, .. } = message;
        let changed = from.host != local.host && self.merge(now, from, true);

        for record in updates {
            if record.host == local.host {
                self.handle_own_record(local, &record);
            } else {
                self.merge(now, record, false);
            }
        }

        changed
    }

    /// Queues the record of a host for dissemination.
    fn queue_update(&mut self, host: &id::Host) {
        self.changed = true;
        self.pending_updates.add(host);
    }

    /// Merges the record of another host and queues it if it changed. `direct`
    /// means that the host itself sent it.
    fn merge(&mut self, now: Time, record: Member, direct: bool) -> bool {
        let host = record.host.clone();
        let changed = self.peers.merge(now, record, direct);

        if changed {
            self.queue_update(&host);
        }

        changed
    }

    /// Handles a record of this host that a peer relayed, and refutes it if it
    /// is wrong.
    fn handle_own_record(&mut self, local: &mut Member, record: &Member) {
        match incarnation_status::correction(local, self.established, record) {
            Correction::None => return,
            Correction::Refute => {}
            Correction::Renew(incarnation) => {
                self.last_peer_answer = None;
                self.incarnation_status = IncarnationStatus::PresumedGone;
                local.incarnation = incarnation;
            }
            Correction::Replaced => local.phase = Phase::Leaving,
        }

        self.queue_update(&local.host);
    }

    /// Updates the local phase. A host that peers declared gone becomes alive
    /// again once a peer answers its new incarnation, or at once if no peer is
    /// left to do so.
    fn update_local_phase(&mut self, local: &mut Member) {
        if self.incarnation_status == IncarnationStatus::PresumedGone
            && self.peers.present().next().is_none()
        {
            self.incarnation_status = IncarnationStatus::New;
        }

        local.phase = match (local.phase, self.incarnation_status) {
            (Phase::Leaving, _) => Phase::Leaving,
            (_, IncarnationStatus::PresumedGone) => Phase::Gone,
            (_, IncarnationStatus::Acknowledged | IncarnationStatus::New) => Phase::Alive,
        };
    }

    /// Creates a message to the host with the record `to`. If a stored record
    /// conflicts with `to`, it comes first.
    fn message(&mut self, now: Time, local: &Member, to: Option<&Member>) -> Message {
        let from = incarnation_status::record(local, now);
        let mut updates = to
            .and_then(|to| self.peers.conflicting_record(to))
            .into_iter()
            .collect::<Vec<Member>>();
        let hosts = self.peers.present().count();
        let max_sends = 3 * usize::BITS.saturating_sub((hosts + 1).leading_zeros());

        for host in self
            .pending_updates
            .pick(MAX_UPDATES - updates.len(), max_sends)
        {
            if host == local.host {
                updates.push(from.clone());
            } else if let Some(peer) = self.peers.get(&host) {
                updates.push(peer.member().clone());
            }
        }

        updates
            .iter_mut()
            .for_each(|update| update.demand = BTreeMap::new());

        Message {
            from,
            known: hosts + 1,
            news: Box::default(),
            updates,
        }
    }

    /// Fills the answer to a host with random other members up to `limit`
    /// records, so that a new host discovers them.
    fn add_random_members(&mut self, to: &Member, limit: usize, answer: &mut Message) {
        let remaining = limit.saturating_sub(answer.updates.len());
        let others = (self.peers.present())
            .filter(|member| member.host != to.host)
            .choose_multiple(&mut self.random, remaining);

        answer
            .updates
            .extend(others.into_iter().map(|member| Member {
                demand: BTreeMap::new(),
                ..member.clone()
            }));
    }
}
