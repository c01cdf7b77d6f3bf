//! News about hosts that is still to be passed on.

use crate::state::id;

#[derive(Clone, Debug)]
struct Rumour {
    host: id::Host,
    order: u64,
    sends: u32,
}

/// Hosts whose records changed, each passed on a limited number of times.
#[derive(Clone, Debug, Default)]
pub struct Rumours {
    order: u64,
    rumours: Vec<Rumour>,
}

impl Rumours {
    /// Adds a host whose record changed, or starts again with it.
    pub fn add(&mut self, host: &id::Host) {
        self.rumours.retain(|rumour| rumour.host != *host);
        self.order += 1;
        self.rumours.push(Rumour {
            host: host.clone(),
            order: self.order,
            sends: 0,
        });
    }

    /// Picks at most `count` hosts for one message, those sent least often
    /// first and the newest among these, and drops the ones that were sent
    /// `sends` times.
    pub fn pick(&mut self, count: usize, sends: u32) -> Vec<id::Host> {
        self.rumours
            .sort_by_key(|rumour| (rumour.sends, std::cmp::Reverse(rumour.order)));
        let picked = self.rumours.iter_mut().take(count);
        let hosts = picked
            .map(|rumour| {
                rumour.sends += 1;
                rumour.host.clone()
            })
            .collect();
        self.rumours.retain(|rumour| rumour.sends < sends);
        hosts
    }
}
