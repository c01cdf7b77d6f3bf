//! Network of a
//! [`Simulation`](crate::state::replay::claims_simulation::Simulation).

use {
    crate::state::claims::witness::WitnessAnswer,
    std::collections::{BTreeMap, BTreeSet},
};

/// Content of a message.
#[derive(Clone, Copy, Debug)]
pub enum Content {
    /// Reply to a permit.
    PermitReply {
        nonce: u64,
        answer: WitnessAnswer,
    },
    Permit {
        nonce: u64,
    },
    Void,
    /// Reply to a void.
    VoidReply(WitnessAnswer),
}

/// Message about a ticket from one host to another.
#[derive(Clone, Copy, Debug)]
pub struct Message {
    pub content: Content,
    pub from: usize,
    pub ticket: usize,
    pub to: usize,
}

/// Messages in flight and links that are cut.
#[derive(Debug, Default)]
pub struct Network {
    cut: BTreeSet<[usize; 2]>,
    messages: BTreeMap<usize, Message>,
    sent: usize,
}

impl Network {
    /// Cuts a link. Messages in flight on it are held until it is restored.
    pub fn cut(&mut self, between: [usize; 2]) {
        self.cut.insert(pair(between));
    }

    /// Restores a link.
    pub fn heal(&mut self, between: [usize; 2]) {
        self.cut.remove(&pair(between));
    }

    /// Returns whether the link between two hosts is up.
    pub fn is_connected(&self, between: [usize; 2]) -> bool {
        !self.cut.contains(&pair(between))
    }

    /// Returns the indexes of the messages in flight, oldest first.
    pub fn indexes(&self) -> impl Iterator<Item = usize> {
        self.messages.keys().copied()
    }

    /// Returns a message in flight, unless its link is cut.
    pub fn message(&self, index: usize) -> Option<Message> {
        let message = *self.messages.get(&index)?;
        self.is_connected([message.from, message.to])
            .then_some(message)
    }

    /// Removes a message.
    pub fn remove(&mut self, index: usize) {
        self.messages.remove(&index);
    }

    /// Sends a message.
    pub fn send(&mut self, message: Message) {
        self.messages.insert(self.sent, message);
        self.sent += 1;
    }
}

fn pair(mut between: [usize; 2]) -> [usize; 2] {
    between.sort_unstable();
    between
}
