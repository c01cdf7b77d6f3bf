//! Determines which settings of a changed file a running host applies.

use {
    crate::protocol::serving_file::File,
    std::{mem, sync::Arc},
};

/// A changed file, compared with the settings in force.
#[derive(Debug)]
pub struct Reload {
    /// Names of the changed settings that apply only after a restart.
    pub deferred: Vec<&'static str>,
    /// The settings in force from now on.
    pub settings: Arc<File>,
    /// Names of the changed settings that apply from now on.
    pub applied: Vec<&'static str>,
}

impl Reload {
    /// Compares a changed file with the settings in force. Settings that a
    /// running process cannot change, such as the addresses that it listens on,
    /// keep their values.
    pub fn new(current: &File, mut changed: File) -> Self {
        let applied = [
            ("engines", changed.engines != current.engines),
            ("retries", changed.budget != current.budget),
            ("callers", changed.callers != current.callers),
            ("limits.grace_s", changed.grace != current.grace),
            (
                "limits.keep_addresses_ms",
                changed.keep_addresses != current.keep_addresses,
            ),
            ("limits.memory_mb", changed.memory != current.memory),
            ("log.level", changed.level != current.level),
            ("overload.forecast", changed.forecast != current.forecast),
            ("overload.order", changed.order != current.order),
            ("host.peers", changed.peers != current.peers),
            (
                "directory.weighted",
                changed.weighted_directory != current.weighted_directory,
            ),
            (
                "endpoints.load_reports",
                changed.load_reports != current.load_reports,
            ),
        ];
        let deferred = [
            (
                "host addresses",
                restore(&mut changed.addresses, &current.addresses),
            ),
            ("cold", restore(&mut changed.cold, &current.cold)),
            (
                "evacuations.follow",
                restore(&mut changed.follow_evacuations, &current.follow_evacuations),
            ),
            (
                "host.cores and link_mbps",
                restore(&mut changed.capacity, &current.capacity)
                    | restore(&mut changed.cores, &current.cores),
            ),
            (
                "limits.connections",
                restore(&mut changed.connections, &current.connections),
            ),
            ("host.domain", restore(&mut changed.domain, &current.domain)),
            (
                "host.fleet_key",
                restore(&mut changed.fleet_key, &current.fleet_key),
            ),
            ("host.id", restore(&mut changed.host, &current.host)),
            ("store", restore(&mut changed.store, &current.store)),
        ];

        Self {
            deferred: changed_names(&deferred),
            settings: Arc::new(changed),
            applied: changed_names(&applied),
        }
    }

    /// Returns whether any setting has changed.
    pub fn is_change(&self) -> bool {
        !self.deferred.is_empty() || !self.applied.is_empty()
    }
}

/// Restores the current value and returns whether it had changed.
fn restore<T: Clone + PartialEq>(changed: &mut T, current: &T) -> bool {
    mem::replace(changed, current.clone()) != *current
}

fn changed_names(settings: &[(&'static str, bool)]) -> Vec<&'static str> {
    let different = settings.iter().filter(|(_, different)| *different);
    different.map(|(name, _)| *name).collect()
}
