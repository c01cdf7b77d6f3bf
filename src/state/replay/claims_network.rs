//! The network of a [`Simulation`](crate::state::replay::claims_world::World).

use {
    crate::state::claims::witness::Verdict,
    std::collections::{BTreeMap, BTreeSet},
};

/// What a message says.
#[derive(Clone, Copy, Debug)]
pub enum Content {
    /// The answer to a permit.
    PermitReply {
        nonce: u64,
        verdict: Verdict,
    },
    Permit {
        nonce: u64,
    },
    Void,
    /// The answer to a void.
    VoidReply(Verdict),
}

/// A message about a ticket from one host to another.
#[derive(Clone, Copy, Debug)]
pub struct Message {
    pub content: Content,
    pub from: usize,
    pub ticket: usize,
    pub to: usize,
}

/// Messages on the way and links that are cut.
#[derive(Debug, Default)]
pub struct Network {
    cut: BTreeSet<[usize; 2]>,
    messages: BTreeMap<usize, Message>,
    sent: usize,
}

impl Network {
    /// Cuts a link. Messages on it are held back.
    pub fn cut(&mut self, between: [usize; 2]) {
        self.cut.insert(pair(between));
    }

    /// Mends a link.
    pub fn heal(&mut self, between: [usize; 2]) {
        self.cut.remove(&pair(between));
    }

    /// Returns whether two hosts reach each other.
    pub fn is_connected(&self, between: [usize; 2]) -> bool {
        !self.cut.contains(&pair(between))
    }

    /// Returns the messages on the way, oldest first.
    pub fn indexes(&self) -> impl Iterator<Item = usize> {
        self.messages.keys().copied()
    }

    /// Returns a message whose link is not cut.
    pub fn message(&self, index: usize) -> Option<Message> {
        let message = *self.messages.get(&index)?;
        self.is_connected([message.from, message.to])
            .then_some(message)
    }

    /// Takes a message off the way.
    pub fn remove(&mut self, index: usize) {
        self.messages.remove(&index);
    }

    /// Puts a message on the way.
    pub fn send(&mut self, message: Message) {
        self.messages.insert(self.sent, message);
        self.sent += 1;
    }
}

fn pair(mut between: [usize; 2]) -> [usize; 2] {
    between.sort_unstable();
    between
}
