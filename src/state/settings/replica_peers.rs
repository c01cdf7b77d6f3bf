//! The peers from which a replica catches up.

use {crate::state::id, std::collections::BTreeSet};

/// Peers that fail to answer before the store is read instead.
const MAX_FAILED_PEERS: usize = 3;

/// The peers with a newer version, and the question to one of them.
#[derive(Clone, Debug)]
pub struct Peers {
    asking: bool,
    /// Spreads the questions.
    peer_offset: u64,
    failed: BTreeSet<id::Host>,
    newer: Vec<id::Host>,
}

impl Peers {
    /// Builds an empty list. `peer_offset` spreads the hosts over the peers they ask
    /// first.
    pub fn new(peer_offset: u64) -> Self {
        Self {
            asking: false,
            peer_offset,
            failed: BTreeSet::new(),
            newer: Vec::new(),
        }
    }

    /// Replaces the peers with a newer version.
    pub fn set(&mut self, newer: Vec<id::Host>) {
        self.newer = newer;
    }

    /// Takes an answer that led to a newer version.
    pub fn record_success(&mut self) {
        self.asking = false;
        self.failed.clear();
    }

    /// Takes a failure, or an answer that led to no newer version.
    pub fn record_failure(&mut self, peer: id::Host) {
        self.asking = false;
        self.failed.insert(peer);
    }

    /// Lets peers that failed be asked again.
    pub fn clear_failures(&mut self) {
        self.failed.clear();
    }

    /// Whether peers have a newer version and none is being asked.
    pub fn can_ask(&self) -> bool {
        !self.asking && !self.newer.is_empty()
    }

    /// Chooses the next peer to ask, unless too many failed.
    pub fn choose(&mut self) -> Option<id::Host> {
        if self.failed.len() >= MAX_FAILED_PEERS {
            return None;
        }

        let peers = self
            .newer
            .iter()
            .filter(|peer| !self.failed.contains(*peer))
            .collect::<Vec<_>>();
        self.peer_offset = self.peer_offset.wrapping_add(1);
        let index = self.peer_offset.checked_rem(peers.len() as u64)?;
        let peer = peers[usize::try_from(index).ok()?].clone();
        self.asking = true;
        Some(peer)
    }
}
