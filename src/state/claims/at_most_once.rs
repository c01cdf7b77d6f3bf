//! The bound on attempts of a request that is not repeatable.

use crate::state::id;

/// Allows one attempt at a time whose call may have reached an endpoint.
///
/// It holds whatever the scheduler orders: after an attempt that was not
/// proven to have run nothing, every further attempt is refused.
#[derive(Debug, Default)]
pub struct AtMostOnce {
    sent: Option<id::Attempt>,
}

impl AtMostOnce {
    /// Returns whether the attempt may be sent, and counts it as sent if so.
    pub fn begin(&mut self, attempt: id::Attempt) -> bool {
        let free = self.sent.is_none();

        if free {
            self.sent = Some(attempt);
        }

        free
    }

    /// Records the proof that the attempt ran nothing.
    pub fn not_run(&mut self, attempt: id::Attempt) {
        if self.sent == Some(attempt) {
            self.sent = None;
        }
    }

    /// Returns whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.sent.is_some()
    }
}
