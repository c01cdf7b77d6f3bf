//! Probes that have not been decided yet.

use {
    crate::state::{clock::Time, id},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Why a probe was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// This host asks for itself.
    Direct,
    /// Others probe on this host's behalf; `waiting` of them have not answered.
    Indirect { waiting: usize },
    /// This host probes on behalf of a peer.
    Relay { token: u64 },
}

/// A probe without an answer so far.
#[derive(Clone, Debug)]
pub struct Probe {
    pub address: SocketAddr,
    /// This host's incarnation in the probe.
    pub incarnation: id::Incarnation,
    pub purpose: Purpose,
    pub sent: Time,
    /// The host that is expected at the address.
    pub target: Option<(id::Host, id::Incarnation)>,
}

/// The probes without an answer so far, by number.
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

    /// Removes a probe that was answered, or failed.
    pub fn take(&mut self, number: u64) -> Option<Probe> {
        self.probes.remove(&number)
    }

    /// Keeps a probe that others try again on this host's behalf.
    pub fn delegate(&mut self, number: u64, probe: Probe, waiting: usize) {
        let purpose = Purpose::Indirect { waiting };
        self.probes.insert(number, Probe { purpose, ..probe });
    }

    /// Notes the answer of a host that tried a probe again. Returns the probe
    /// once every such host has failed to reach its target.
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
