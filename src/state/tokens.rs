//! The tokens of one streamed answer, put together from its attempts.

use crate::state::id;

/// The tokens that the caller gets, each once and in order.
///
/// One attempt at a time owns the stream. When it fails, another takes over
/// at the first token that the caller does not have yet.
#[derive(Debug, Default)]
pub struct Tokens {
    delivered: usize,
    owner: Option<id::Attempt>,
}

impl Tokens {
    /// Returns the number of tokens delivered.
    pub fn delivered(&self) -> usize {
        self.delivered
    }

    /// Returns the tokens to deliver now, given that `attempt` has read `read`
    /// so far, of which the first has index `start`.
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

    /// Ends the stream with the whole answer of `attempt`. Returns the tokens
    /// still to deliver, or `None` if another attempt has delivered more than
    /// the whole answer has.
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

    /// Lets another attempt take the stream over from a failed one.
    pub fn release(&mut self, attempt: id::Attempt) {
        if self.owner == Some(attempt) {
            self.owner = None;
        }
    }
}
