//! An endpoint of the pool: its calls and the room for its outputs.

use {
    crate::state::{
        clock::Time,
        serving::{config::Pool, health::Health, roster::Entry},
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Time in which room that other dispatchers have filled is taken to become
/// free again.
const REMOTE_USE_DECAY: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) calls: usize,
    pub(super) entry: Arc<Entry>,
    /// Room that outputs of other dispatchers take, as of when it was found.
    pub(super) remote_use: (u64, Time),
    pub(super) health: Health,
    /// Space of the outputs that calls in progress will make.
    pub(super) reserved: u64,
    /// Outputs that were made and not freed: size, and when they expire.
    pub(super) stored: HashMap<String, (u64, Time)>,
}

impl EndpointState {
    pub(super) fn new(entry: &Arc<Entry>) -> Self {
        Self {
            calls: 0,
            entry: Arc::clone(entry),
            remote_use: (0, Time::ZERO),
            health: Health::default(),
            reserved: 0,
            stored: HashMap::new(),
        }
    }

    /// Returns the space for outputs that is left.
    pub(super) fn free_storage(&self, now: Time, pool: &Pool) -> u64 {
        let (bytes, found) = self.remote_use;
        let age = now.since(found).as_secs_f64() / REMOTE_USE_DECAY.as_secs_f64();
        let remote_use = (bytes as f64 * (1.0 - age).max(0.0)) as u64;
        self.free_storage_without_remote(pool)
            .saturating_sub(remote_use)
    }

    /// Returns the space that this dispatcher's outputs leave.
    pub(super) fn free_storage_without_remote(&self, pool: &Pool) -> u64 {
        let stored = self.stored.values().map(|(bytes, _)| bytes).sum::<u64>();
        pool.storage_bytes.saturating_sub(stored + self.reserved)
    }
}
