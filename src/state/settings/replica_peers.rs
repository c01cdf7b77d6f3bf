//! Peers from which a settings replica catches up.

use {crate::state::id, std::collections::BTreeSet};

/// Number of failed peers after which the store is read instead.
const MAX_FAILED_PEERS: usize = 3;

/// Peers with a newer version, of which at most one is asked at a time.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Whether a peer has been asked and has not answered yet.
    asking: bool,
    /// Round-robin counter, which selects the next peer.
    peer_offset: u64,
    failed: BTreeSet<id::Host>,
    newer: Vec<id::Host>,
}

impl Peers {
    /// Builds an empty list. `peer_offset` spreads the first requests of
    /// different hosts over their peers.
    pub fn new(peer_offset: u64) -> Self {
        Self {
            asking: false,
            peer_offset,
            failed: BTreeSet::new(),
            newer: Vec::new(),
        }
    }

    /// Replaces the list of peers that have a newer version.
    pub fn set(&mut self, newer: Vec<id::Host>) {
        self.newer = newer;
    }

    /// Records an answer with a newer version.
    pub fn record_success(&mut self) {
        self.asking = false;
        self.failed.clear();
    }

    /// Records a failure, or an answer without a newer version.
    pub fn record_failure(&mut self, peer: id::Host) {
        self.asking = false;
        self.failed.insert(peer);
    }

    /// Clears the failures, so that all peers may be asked again.
    pub fn clear_failures(&mut self) {
        self.failed.clear();
    }

    /// Returns whether some peer has a newer version and none is being asked.
    pub fn can_ask(&self) -> bool {
        !self.asking && !self.newer.is_empty()
    }

    /// Returns the next peer to ask, or `None` if too many have failed or none
    /// is left.
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
