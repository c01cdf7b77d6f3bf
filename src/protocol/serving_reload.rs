//! Which settings of a changed file come into force while a host runs.

use {
    crate::protocol::serving_file::File,
    std::{mem, sync::Arc},
};

/// A changed file, compared with the settings in force.
#[derive(Debug)]
pub struct Reload {
    /// Settings that are different and are kept until the next start.
    pub deferred: Vec<&'static str>,
    /// The settings in force from now on.
    pub settings: Arc<File>,
    /// Settings that are different from now on.
    pub applied: Vec<&'static str>,
}

impl Reload {
    /// Compares a changed file with the settings in force. What a running
    /// process cannot change, such as the addresses that it listens on, stays.
    pub fn new(known: &File, mut changed: File) -> Self {
        let applied = [
            ("retries", changed.budget != known.budget),
            ("limits.grace_s", changed.grace != known.grace),
            (
                "limits.keep_addresses_ms",
                changed.keep_addresses != known.keep_addresses,
            ),
            ("log.level", changed.level != known.level),
            ("host.peers", changed.peers != known.peers),
        ];
        let deferred = [
            (
                "host addresses",
                keep(&mut changed.addresses, &known.addresses),
            ),
            (
                "host.cores and link_mbps",
                keep(&mut changed.capacity, &known.capacity),
            ),
            (
                "limits.connections",
                keep(&mut changed.connections, &known.connections),
            ),
            ("host.domain", keep(&mut changed.domain, &known.domain)),
            (
                "host.fleet_key",
                keep(&mut changed.fleet_key, &known.fleet_key),
            ),
            ("host.id", keep(&mut changed.host, &known.host)),
            ("store", keep(&mut changed.store, &known.store)),
        ];

        Self {
            deferred: names(&deferred),
            settings: Arc::new(changed),
            applied: names(&applied),
        }
    }

    /// Returns whether the file says anything new.
    pub fn is_change(&self) -> bool {
        !self.deferred.is_empty() || !self.applied.is_empty()
    }
}

/// Puts the known value back and returns whether it was different.
fn keep<T: Clone + PartialEq>(changed: &mut T, known: &T) -> bool {
    mem::replace(changed, known.clone()) != *known
}

fn names(settings: &[(&'static str, bool)]) -> Vec<&'static str> {
    let different = settings.iter().filter(|(_, different)| *different);
    different.map(|(name, _)| *name).collect()
}
