//! Assembles the tokens of a streamed answer from several attempts.

use crate::state::id;

/// Delivers the tokens of an answer to the caller, each once and in order.
///
/// One attempt at a time owns the stream. When it fails, another takes over
/// at the first token that has not been delivered yet.
#[derive(Debug, Default)]
pub struct TokenDelivery {
    delivered: usize,
    owner: Option<id::Attempt>,
}

impl TokenDelivery {
    /// Returns the number of tokens delivered so far.
    pub fn delivered(&self) -> usize {
        self.delivered
    }

    /// Returns the tokens to deliver now. `read` holds the tokens that `attempt` has
    /// read so far, and `start` is the index of the first. Returns none if another
    /// attempt owns the stream.
    pub fn offer<'a>(
        &mut self,
        attempt: id::Attempt,
        start: usize,
        read: &'a [String],
    ) -> &'a [String] {
        if *self.owner.get_or_insert(attempt) != attempt {
            return &[];
        }

        let undelivered = read.get(self.delivered - start..).unwrap_or(&[]);
        self.delivered += undelivered.len();
        undelivered
    }

    /// Ends the stream with the complete answer of `attempt`. Returns the remaining
    /// tokens to deliver, or `None` if other attempts have delivered more tokens
    /// than the answer has.
    pub fn finish<'a>(
        &mut self,
        attempt: id::Attempt,
        start: usize,
        read: &'a [String],
    ) -> Option<&'a [String]> {
        if start + read.len() < self.delivered {
            return None;
        }

        self.owner = Some(attempt);
        Some(self.offer(attempt, start, read))
    }

    /// Releases the stream of a failed attempt, so that another can take over.
    pub fn release(&mut self, attempt: id::Attempt) {
        if self.owner == Some(attempt) {
            self.owner = None;
        }
    }
}
