//! News about hosts that is still to be passed on.

use crate::state::id;

#[derive(Clone, Debug)]
struct PendingUpdate {
    host: id::Host,
    sequence: u64,
    sends: u32,
}

/// Hosts whose records changed, each passed on a limited number of times.
#[derive(Clone, Debug, Default)]
pub struct PendingUpdates {
    sequence: u64,
    updates: Vec<PendingUpdate>,
}

impl PendingUpdates {
    /// Adds a host whose record changed, or starts again with it.
    pub fn add(&mut self, host: &id::Host) {
        self.updates.retain(|update| update.host != *host);
        self.sequence += 1;
        self.updates.push(PendingUpdate {
            host: host.clone(),
            sequence: self.sequence,
            sends: 0,
        });
    }

    /// Picks at most `count` hosts for one message, those sent least often
    /// first and the newest among these, and drops the ones that were sent
    /// `sends` times.
    pub fn pick(&mut self, count: usize, sends: u32) -> Vec<id::Host> {
        self.updates
            .sort_by_key(|update| (update.sends, std::cmp::Reverse(update.sequence)));
        let picked = self.updates.iter_mut().take(count);
        let hosts = picked
            .map(|update| {
                update.sends += 1;
                update.host.clone()
            })
            .collect();
        self.updates.retain(|update| update.sends < sends);
        hosts
    }
}
