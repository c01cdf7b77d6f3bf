//! The queue of changed records that are still to be disseminated.

use crate::state::id;

/// A host whose record is to be disseminated.
#[derive(Clone, Debug)]
struct PendingUpdate {
    host: id::Host,
    /// Position in the order of changes.
    sequence: u64,
    /// Number of messages that have included the record.
    sends: u32,
}

/// Hosts whose records changed. Each record is sent a limited number of times.
#[derive(Clone, Debug, Default)]
pub struct PendingUpdates {
    sequence: u64,
    updates: Vec<PendingUpdate>,
}

impl PendingUpdates {
    /// Adds a host whose record changed. Resets the number of sends of a host
    /// that is already queued.
    pub fn add(&mut self, host: &id::Host) {
        self.updates.retain(|update| update.host != *host);
        self.sequence += 1;
        self.updates.push(PendingUpdate {
            host: host.clone(),
            sequence: self.sequence,
            sends: 0,
        });
    }

    /// Returns at most `count` hosts for one message, those sent least often
    /// first and the newest first among equals. Removes hosts that have been sent
    /// `max_sends` times.
    pub fn pick(&mut self, count: usize, max_sends: u32) -> Vec<id::Host> {
        self.updates
            .sort_by_key(|update| (update.sends, std::cmp::Reverse(update.sequence)));
        let picked = self.updates.iter_mut().take(count);
        let hosts = picked
            .map(|update| {
                update.sends += 1;
                update.host.clone()
            })
            .collect();
        self.updates.retain(|update| update.sends < max_sends);
        hosts
    }
}
