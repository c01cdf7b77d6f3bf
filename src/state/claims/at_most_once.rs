//! Limit on the attempts of a request that is not repeatable.

use crate::state::id;

/// Guard that allows one attempt at a time whose call may have reached an
/// endpoint.
///
/// It is independent of the scheduler: it refuses every further attempt until
/// the previous one is proven not to have run.
#[derive(Debug, Default)]
pub struct AtMostOnce {
    sent: Option<id::Attempt>,
}

impl AtMostOnce {
    /// Returns whether the attempt may be sent, and records it as sent if so.
    pub fn begin(&mut self, attempt: id::Attempt) -> bool {
        let free = self.sent.is_none();

        if free {
            self.sent = Some(attempt);
        }

        free
    }

    /// Records that the attempt is proven not to have run.
    pub fn not_run(&mut self, attempt: id::Attempt) {
        if self.sent == Some(attempt) {
            self.sent = None;
        }
    }

    /// Returns whether an attempt was sent that may have run.
    pub fn may_have_run(&self) -> bool {
        self.sent.is_some()
    }
}
