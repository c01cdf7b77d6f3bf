//! The state of one endpoint of the pool: its calls, its health and the storage
//! left for outputs.

use {
    crate::state::{
        clock::Time,
        serving::{
            batch::handles::Handles,
            config::Pool,
            health::Health,
            pace::{self, Pace},
            roster::Entry,
        },
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Time over which storage used by other dispatchers is assumed to become free
/// again, at a constant rate.
const REMOTE_USE_DECAY: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    /// Number of calls in progress.
    pub(super) calls: usize,
    pub(super) entry: Arc<Entry>,
    pub(super) handles: Handles,
    /// Storage in bytes that outputs of other dispatchers take, and when it was
    /// observed.
    pub(super) remote_use: (u64, Time),
    pub(super) health: Health,
    /// The pace that the endpoint reports.
    pub(super) pace: Pace,
    /// Storage in bytes reserved for the outputs of calls in progress.
    pub(super) reserved: u64,
    /// Size in bytes and expiry of the outputs that are not freed yet, by
    /// handle.
    pub(super) stored: HashMap<String, (u64, Time)>,
}

impl EndpointState {
    pub(super) fn new(entry: &Arc<Entry>, health: Health) -> Self {
        Self {
            calls: 0,
            entry: Arc::clone(entry),
            handles: Handles::default(),
            remote_use: (0, Time::ZERO),
            health,
            pace: Pace::default(),
            reserved: 0,
            stored: HashMap::new(),
        }
    }

    /// Returns the duration of calls, relative to the usual one: as reported if the
    /// endpoint reports its load, otherwise as measured. `call` is the usual duration.
    pub(super) fn latency_ratio(&self, now: Time, call: Duration) -> f64 {
        let reported = self.pace.ratio(now, call);
        reported.unwrap_or_else(|| self.health.latency_ratio())
    }

    /// Returns whether calls take much longer than usual. Of an endpoint that reports
    /// its load, a smaller deviation is significant.
    pub(super) fn is_slow(&self, now: Time, call: Duration) -> bool {
        let reported = self.pace.ratio(now, call);
        reported.map_or_else(|| self.health.is_slow(), |pace| pace >= pace::SLOW_PACE)
    }

    /// Returns the storage left for outputs, in bytes.
    pub(super) fn free_storage(&self, now: Time, pool: &Pool) -> u64 {
        let (bytes, observed) = self.remote_use;
        let decayed = now.since(observed).as_secs_f64() / REMOTE_USE_DECAY.as_secs_f64();
        let remote_use = (bytes as f64 * (1.0 - decayed).max(0.0)) as u64;
        self.free_storage_without_remote(pool)
            .saturating_sub(remote_use)
    }

    /// Returns the storage that this dispatcher's outputs leave, in bytes,
    /// ignoring those of other dispatchers.
    pub(super) fn free_storage_without_remote(&self, pool: &Pool) -> u64 {
        let stored = self.stored.values().map(|(bytes, _)| bytes).sum::<u64>();
        pool.storage_bytes.saturating_sub(stored + self.reserved)
    }
}
