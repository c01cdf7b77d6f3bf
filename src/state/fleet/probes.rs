//! Probes that have no result yet.

use {
    crate::state::{clock::Time, id},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Why a probe was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// This host probes on its own behalf.
    Direct,
    /// Relays probe on this host's behalf. `waiting` of them have not answered.
    Indirect { waiting: usize },
    /// This host probes on behalf of a peer.
    Relay { token: u64 },
}

/// A probe that is waiting for an answer.
#[derive(Clone, Debug)]
pub struct Probe {
    pub address: SocketAddr,
    /// This host's incarnation when it sent the probe.
    pub incarnation: id::Incarnation,
    pub purpose: Purpose,
    pub sent: Time,
    /// The host that is expected at the address.
    pub target: Option<(id::Host, id::Incarnation)>,
}

/// The probes that are waiting for an answer, by number.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    next: u64,
    probes: BTreeMap<u64, Probe>,
}

impl Probes {
    /// Adds a probe and returns its number.
    pub fn add(&mut self, probe: Probe) -> u64 {
        let number = self.next;
        self.next += 1;
        self.probes.insert(number, probe);
        number
    }

    /// Removes and returns a probe that was answered or failed.
    pub fn take(&mut self, number: u64) -> Option<Probe> {
        self.probes.remove(&number)
    }

    /// Keeps a failed probe while `waiting` relays retry it.
    pub fn delegate(&mut self, number: u64, probe: Probe, waiting: usize) {
        let purpose = Purpose::Indirect { waiting };
        self.probes.insert(number, Probe { purpose, ..probe });
    }

    /// Records the answer of a relay that retried a probe. Returns the probe once
    /// every relay has failed to reach its target.
    pub fn record_relay_answer(&mut self, number: u64, reached: bool) -> Option<Probe> {
        let probe = self.probes.remove(&number)?;

        match probe.purpose {
            Purpose::Indirect { waiting } if !reached && waiting > 1 => {
                self.delegate(number, probe, waiting - 1);
                None
            }
            Purpose::Indirect { .. } if !reached => Some(probe),
            Purpose::Direct | Purpose::Indirect { .. } | Purpose::Relay { .. } => None,
        }
    }
}
