//! The records of all other hosts.

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

/// How long the record of a gone host is kept.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// Number of forgotten hosts whose last incarnation is remembered.
const MAX_TOMBSTONES: usize = 16_384;

/// The other hosts, by id.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Last incarnation of forgotten hosts, and when they were forgotten.
    tombstones: BTreeMap<id::Host, (id::Incarnation, Time)>,
    peers: BTreeMap<id::Host, Peer>,
}

impl Peers {
    /// Returns what is known of a host.
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

    /// Returns the addresses of gone hosts at which nobody else is present.
    pub fn gone_addresses(&self) -> BTreeSet<SocketAddr> {
        self.peers
            .values()
            .filter(|peer| peer.is_gone())
            .map(|peer| peer.member().peer_address)
            .collect()
    }

    /// Returns the newest record of a host at an address.
    pub fn member_at(&self, address: SocketAddr) -> Option<&Member> {
        self.peers
            .values()
            .filter(|peer| peer.member().peer_address == address)
            .min_by_key(|peer| peer.is_gone())
            .map(Peer::member)
    }

    /// Returns the present hosts, the most recently heard first.
    pub fn members(&self) -> Vec<Member> {
        let mut peers = self
            .peers
            .values()
            .filter(|peer| !peer.is_gone())
            .collect::<Vec<&Peer>>();
        peers.sort_by_key(|peer| Reverse(peer.last_received()));
        peers.iter().map(|peer| peer.member().clone()).collect()
    }

    /// Takes over a record if it is newer than what is known. `direct` says
    /// that the host itself sent it. Returns whether other hosts should hear
    /// of it.
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

    /// Returns what contradicts a host's record of itself: a higher
    /// incarnation, or that it is suspected or gone.
    pub fn conflicting_record(&self, record: &Member) -> Option<Member> {
        if let Some(known) = self.peers.get(&record.host).map(Peer::member) {
            let suspected_or_gone = known.incarnation == record.incarnation
                && matches!(known.phase, Phase::Gone | Phase::Suspect);
            return (suspected_or_gone || known.incarnation > record.incarnation)
                .then(|| known.clone());
        }

        let (incarnation, _) = self.tombstones.get(&record.host)?;

        (*incarnation >= record.incarnation).then(|| Member {
            demand: BTreeMap::new(),
            incarnation: *incarnation,
            phase: Phase::Gone,
            ..record.clone()
        })
    }

    /// Suspects a host whose probe had no answer. Returns whether other hosts
    /// should hear of it.
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

    /// Ends suspicions and forgets hosts that have been gone for long. Returns
    /// the hosts that are gone from now on.
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

    /// Starts all suspicions again, after this host itself was paused.
    pub fn restart_suspicions(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            peer.restart_suspicion(now);
        }
    }

    fn has_tombstone(&self, record: &Member) -> bool {
        self.tombstones
            .get(&record.host)
            .is_some_and(|(incarnation, _)| *incarnation >= record.incarnation)
    }

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
