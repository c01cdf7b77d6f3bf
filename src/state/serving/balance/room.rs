//! Counts the slots and the memory of an engine that requests hold.

use {
    crate::state::{
        clock::Time,
        serving::{balance::Prompt, piece::JobId, quarantine},
    },
    std::{collections::HashMap, time::Duration},
};

/// Time for which a prompt of a host that does not report its deadline holds its room.
const UNKNOWN_DEADLINE: Duration = Duration::from_secs(6);

/// What each engine of a service can hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Number of tokens in memory; 0 if it is unknown.
    pub capacity: u64,
    pub slots: usize,
}

impl Limits {
    /// Returns whether a prompt does not even fit into an empty engine. The expected
    /// answer does not count, since it is often far too long.
    pub(super) fn exclude(self, prompt: &Prompt) -> bool {
        self.capacity > 0 && prompt.tokens() > self.capacity
    }

    /// Returns the share of an engine that a prompt takes: of the slots or of the
    /// memory, whichever is larger.
    pub(super) fn share(self, prompt: &Prompt) -> f64 {
        let slot = 1.0 / self.slots.max(1) as f64;

        if self.capacity == 0 {
            return slot;
        }

        let tokens = prompt.tokens() + u64::from(prompt.terms.output_tokens);
        slot.max(tokens as f64 / self.capacity as f64).min(1.0)
    }
}

/// A request that holds room.
#[derive(Clone, Debug)]
struct Held {
    /// Tokens that no other request shares.
    own: u64,
    placed: Time,
    share: f64,
    shared: Vec<u64>,
    until: Time,
}

/// A part that running requests share.
#[derive(Clone, Copy, Debug)]
struct Shared {
    tokens: u64,
    users: u32,
}

/// Room that a request held.
#[derive(Clone, Copy, Debug)]
pub(super) struct Released {
    pub share: f64,
    pub time: Duration,
}

/// The slots and the memory of one engine that requests hold.
#[derive(Clone, Debug, Default)]
pub(super) struct Room {
    held: HashMap<JobId, Held>,
    /// Sum of the shares of the requests.
    share: f64,
    shared: HashMap<u64, Shared>,
    /// Tokens that the requests hold. Shared parts count once, and cached parts that
    /// no request uses can be evicted.
    used: u64,
}

impl Room {
    /// Returns whether an engine has room for a prompt.
    pub fn fits(&self, prompt: &Prompt, limits: Limits) -> bool {
        self.copies(prompt, limits) > 0
    }

    /// Returns for how many prompts such as this one the engine has room.
    pub fn copies(&self, prompt: &Prompt, limits: Limits) -> u64 {
        let slots = limits.slots.saturating_sub(self.held.len()) as u64;

        if slots == 0 || limits.capacity == 0 {
            return slots;
        }

        // An expected answer that fits into no engine must not exclude the prompt.
        let need = self.need(prompt).min(limits.capacity).max(1);
        let free = limits.capacity.saturating_sub(self.used);
        slots.min(free / need)
    }

    /// Returns whether a slot is free.
    pub fn has_slot(&self, limits: Limits) -> bool {
        self.held.len() < limits.slots
    }

    /// Returns the sum of the shares that requests hold.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the tokens that requests hold.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Records that a request holds room until it ends, at most until its deadline.
    pub fn hold(&mut self, now: Time, prompt: &Prompt, limits: Limits) {
        let shared = quarantine::shared(&prompt.parts);

        for part in shared {
            let tokens = u64::from(part.tokens);
            let entry = (self.shared.entry(part.prefix)).or_insert(Shared { tokens, users: 0 });

            if entry.users == 0 {
                self.used += tokens;
            }

            entry.users += 1;
        }

        let own = own(prompt);
        self.used += own;
        let remaining = prompt.terms.remaining;
        let time = if remaining.is_zero() {
            UNKNOWN_DEADLINE
        } else {
            remaining
        };
        let held = Held {
            own,
            placed: now,
            share: limits.share(prompt),
            shared: shared.iter().map(|part| part.prefix).collect(),
            until: now + time,
        };
        self.share += held.share;
        self.held.insert(prompt.id.clone(), held);
    }

    /// Releases the room of a request.
    pub fn release(&mut self, now: Time, id: &JobId) -> Option<Released> {
        let held = self.held.remove(id)?;
        self.share -= held.share;
        self.used = self.used.saturating_sub(held.own);

        for prefix in held.shared {
            let Some(shared) = self.shared.get_mut(&prefix) else {
                continue;
            };
            shared.users -= 1;

            if shared.users == 0 {
                self.used = self.used.saturating_sub(shared.tokens);
                self.shared.remove(&prefix);
            }
        }

        Some(Released {
            share: held.share,
            time: now.since(held.placed),
        })
    }

    /// Returns the requests whose deadline has passed without a report of their end.
    pub fn overdue(&self, now: Time) -> impl Iterator<Item = &JobId> {
        let overdue = self.held.iter().filter(move |(_, held)| held.until < now);
        overdue.map(|(id, _)| id)
    }

    /// Returns the tokens that a prompt would hold in addition.
    fn need(&self, prompt: &Prompt) -> u64 {
        let shared = quarantine::shared(&prompt.parts).iter();
        let unused = shared.filter(|part| !self.shared.contains_key(&part.prefix));
        own(prompt) + unused.map(|part| u64::from(part.tokens)).sum::<u64>()
    }
}

/// Returns the tokens of a prompt and its answer that no other request shares.
fn own(prompt: &Prompt) -> u64 {
    let last = prompt.parts.last().map_or(0, |part| u64::from(part.tokens));
    last + u64::from(prompt.terms.output_tokens)
}
