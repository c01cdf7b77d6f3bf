//! The control state that is shared with the traffic thread.

use {
    crate::state::{
        clock::Time,
        fleet::{member::Member, record::Record},
        id,
        serving::{
            cold, config::Config, crashes::Suspects, quarantine::Quarantine, roster::Roster,
        },
    },
    std::{collections::BTreeSet, sync::Arc},
};

/// An immutable snapshot of the control state.
#[derive(Clone, Debug)]
pub struct View {
    pub config: Option<Arc<Config>>,
    /// Time at which the configuration took effect on this host.
    pub config_since: Time,
    /// The failure domains to whose endpoints nothing may be sent.
    pub evacuated: Arc<BTreeSet<id::Domain>>,
    /// The requests that are kept away from endpoints, by their fingerprints.
    pub harmful_requests: Arc<Quarantine>,
    /// Whether this host accepts no new work.
    pub leaving: bool,
    /// The record of this host itself.
    pub local: Member,
    /// The other hosts that are not gone.
    pub members: Arc<Vec<Member>>,
    /// The parts of prompts that are kept away from the engines.
    pub quarantine: Arc<Quarantine>,
    /// The hosts registered in the store, once they have been listed.
    pub registered: Option<Arc<[Record]>>,
    pub roster: Arc<Roster>,
    /// Whether the endpoints have been listed at least once.
    pub roster_loaded: bool,
    /// Whether this host has had time to hear of all live hosts.
    pub settled: bool,
    /// The requests under which endpoints have crashed.
    pub suspects: Arc<Suspects>,
}

impl View {
    /// Returns whether this host accepts requests from callers.
    pub fn is_ready(&self) -> bool {
        !self.leaving && self.config.is_some() && self.roster_loaded
    }

    /// Returns the registered hosts that may be alive although nothing was heard
    /// from them.
    pub fn presumed(&self) -> &[Record] {
        match &self.registered {
            Some(records) if !self.settled => records,
            _ => &[],
        }
    }

    /// Returns the number of hosts that may send work to endpoints, including
    /// this one.
    pub fn hosts(&self) -> usize {
        (self.members.len() + 1).max(self.presumed().len())
    }

    /// Returns the hosts that may send requests to a cold endpoint. A host that
    /// others have lost contact with is still registered.
    pub fn cold_fleet(&self) -> cold::Fleet {
        let visible = self.members.len() + 1;
        let registered = self.registered.as_ref().map_or(0, |records| records.len());
        cold::Fleet {
            possible: visible.max(registered),
            visible,
        }
    }
}
