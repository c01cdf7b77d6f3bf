//! The state of all other hosts.

use {
    crate::state::{
        clock::Time,
        fleet::member::{Member, Phase},
        fleet::peer::Peer,
        id,
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time for which the record of a gone host is kept.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of tombstones of removed hosts.
const MAX_TOMBSTONES: usize = 16_384;

/// The other hosts, by id.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Last incarnation of removed hosts, and when they were removed. Prevents
    /// old records from adding them again.
    tombstones: BTreeMap<id::Host, (id::Incarnation, Time)>,
    peers: BTreeMap<id::Host, Peer>,
}

impl Peers {
    /// Returns the state of a host.
    pub fn get(&self, host: &id::Host) -> Option<&Peer> {
        self.peers.get(host)
    }

    /// Returns every host that is not gone.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.peers
            .values()
            .filter(|peer| !peer.is_gone())
            .map(Peer::member)
    }

    /// Returns the hosts that are suspected.
    pub fn suspected(&self) -> impl Iterator<Item = &Member> {
        self.peers
            .values()
            .filter(|peer| peer.is_suspected())
            .map(Peer::member)
    }

    /// Returns the addresses of gone hosts.
    pub fn gone_addresses(&self) -> BTreeSet<SocketAddr> {
        self.peers
            .values()
            .filter(|peer| peer.is_gone())
            .map(|peer| peer.member().peer_address)
            .collect()
    }

    /// Returns the record of a host with this address. Prefers hosts that are not
    /// gone.
    pub fn member_at(&self, address: SocketAddr) -> Option<&Member> {
        self.peers
            .values()
            .filter(|peer| peer.member().peer_address == address)
            .min_by_key(|peer| peer.is_gone())
            .map(Peer::member)
    }

    /// Returns the hosts that are not gone, sorted by the last record received
    /// from them, latest first.
    pub fn members(&self) -> Vec<Member> {
        let mut peers = self
            .peers
            .values()
            .filter(|peer| !peer.is_gone())
            .collect::<Vec<&Peer>>();
        peers.sort_by_key(|peer| Reverse(peer.last_received()));
        peers.iter().map(|peer| peer.member().clone()).collect()
    }

    /// Merges a record if it is newer than the current one. `direct` means that
    /// the host itself sent it. Returns whether the change should be
    /// disseminated.
    pub fn merge(&mut self, now: Time, record: Member, direct: bool) -> bool {
        if self.has_tombstone(&record) {
            return false;
        }

        match self.peers.get_mut(&record.host) {
            Some(peer) => peer.merge(now, record, direct),
            None if record.phase == Phase::Gone => {
                self.add_tombstone(now, record.host, record.incarnation);
                false
            }
            None => {
                let peer = Peer::new(now, record, direct);
                self.peers.insert(peer.member().host.clone(), peer);
                true
            }
        }
    }

    /// Returns a record that conflicts with a host's record of itself, because it
    /// has a higher incarnation or because the host is suspected or gone.
    pub fn conflicting_record(&self, record: &Member) -> Option<Member> {
        if let Some(current) = self.peers.get(&record.host).map(Peer::member) {
            let suspected_or_gone = current.incarnation == record.incarnation
                && matches!(current.phase, Phase::Gone | Phase::Suspect);
            return (suspected_or_gone || current.incarnation > record.incarnation)
                .then(|| current.clone());
        }

        let (incarnation, _) = self.tombstones.get(&record.host)?;

        (*incarnation >= record.incarnation).then(|| Member {
            demand: BTreeMap::new(),
            incarnation: *incarnation,
            phase: Phase::Gone,
            ..record.clone()
        })
    }

    /// Suspects a host that did not answer a probe. Returns whether the suspicion
    /// should be disseminated.
    pub fn suspect(
        &mut self,
        now: Time,
        sent: Time,
        host: &id::Host,
        incarnation: id::Incarnation,
    ) -> bool {
        self.peers
            .get_mut(host)
            .is_some_and(|peer| peer.suspect(now, sent, incarnation))
    }

    /// Removes hosts whose retention has expired and declares hosts gone whose
    /// suspicion has expired. Returns the hosts that were declared gone.
    pub fn expire(&mut self, now: Time) -> Vec<id::Host> {
        let expired = self
            .peers
            .values()
            .filter(|peer| peer.gone_for(now, GONE_RETENTION))
            .map(|peer| (peer.member().host.clone(), peer.member().incarnation))
            .collect::<Vec<(id::Host, id::Incarnation)>>();

        for (host, incarnation) in expired {
            self.peers.remove(&host);
            self.add_tombstone(now, host, incarnation);
        }

        self.peers
            .iter_mut()
            .filter_map(|(host, peer)| peer.expire(now).then(|| host.clone()))
            .collect()
    }

    /// Restarts the timers of all suspicions, after this host itself was paused.
    pub fn restart_suspicions(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            peer.restart_suspicion(now);
        }
    }

    /// Returns whether a record belongs to a removed incarnation of a host.
    fn has_tombstone(&self, record: &Member) -> bool {
        self.tombstones
            .get(&record.host)
            .is_some_and(|(incarnation, _)| *incarnation >= record.incarnation)
    }

    /// Adds a tombstone for a host, and removes the oldest one if there are too
    /// many.
    fn add_tombstone(&mut self, now: Time, host: id::Host, incarnation: id::Incarnation) {
        if self.tombstones.len() >= MAX_TOMBSTONES {
            let oldest = self.tombstones.iter().min_by_key(|(_, (_, at))| *at);

            if let Some(oldest) = oldest.map(|(host, _)| host.clone()) {
                self.tombstones.remove(&oldest);
            }
        }

        let entry = self.tombstones.entry(host).or_insert((incarnation, now));
        entry.0 = entry.0.max(incarnation);
    }
}
