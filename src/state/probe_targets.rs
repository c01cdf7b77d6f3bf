//! Chooses which hosts to probe in a probe period.

use {
    crate::state::fleet::peers::Peers,
    rand::{
        Rng,
        seq::{IteratorRandom, SliceRandom},
    },
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Number of hosts of the round, and maximum number of suspected hosts, that are
/// probed in each period.
const PROBES: usize = 3;

/// The addresses from the configuration and the host list, and a shuffled round
/// over all peers.
#[derive(Clone, Debug, Default)]
pub struct ProbeTargets {
    listed: BTreeSet<SocketAddr>,
    round: Vec<SocketAddr>,
    seeds: BTreeSet<SocketAddr>,
}

impl ProbeTargets {
    /// Creates the targets with the addresses from the configuration.
    pub fn new(seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            seeds: seeds.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Replaces the addresses from the host list.
    pub fn set_listed(&mut self, addresses: Vec<SocketAddr>) {
        self.listed = addresses.into_iter().collect();
    }

    /// Chooses the addresses to probe: suspected hosts, so that they can refute the
    /// suspicion at once, the next hosts of the round, and one address without a
    /// known host, or more while there are few peers.
    pub fn choose(
        &mut self,
        peers: &Peers,
        own: SocketAddr,
        random: &mut impl Rng,
    ) -> BTreeSet<SocketAddr> {
        let present = peers
            .present()
            .map(|member| member.peer_address)
            .collect::<BTreeSet<SocketAddr>>();
        let unknown = (self.seeds.iter().chain(&self.listed).copied())
            .chain(peers.gone_addresses())
            .filter(|address| !present.contains(address) && *address != own)
            .collect::<BTreeSet<SocketAddr>>();
        let suspected = peers.suspected().map(|member| member.peer_address);

        let mut targets = suspected.take(PROBES).collect::<BTreeSet<SocketAddr>>();
        targets.extend(self.next_in_round(&present, random));
        let missing = PROBES.saturating_sub(targets.len()).max(1);
        targets.extend(unknown.into_iter().choose_multiple(random, missing));
        targets
    }

    /// Returns the next addresses of the round. Each round covers every present
    /// address once, in a new random order.
    fn next_in_round(
        &mut self,
        present: &BTreeSet<SocketAddr>,
        random: &mut impl Rng,
    ) -> BTreeSet<SocketAddr> {
        let count = PROBES.min(present.len());
        let mut next = BTreeSet::new();

        while next.len() < count {
            match self.round.pop() {
                Some(address) if present.contains(&address) => drop(next.insert(address)),
                Some(_) => {}
                None => {
                    self.round = present.iter().copied().collect();
                    self.round.shuffle(random);
                }
            }
        }

        next
    }
}
