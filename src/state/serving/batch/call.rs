//! A call in progress at an endpoint.

use {
    crate::state::{clock::Time, id, serving::piece::JobId},
    std::time::Duration,
};

#[derive(Clone, Debug)]
pub(super) struct Call {
    /// Storage reserved for the output of each item, in bytes.
    pub(super) bytes: Vec<u64>,
    pub(super) endpoint: id::Endpoint,
    /// Expected duration of the call.
    pub(super) expected: Duration,
    /// Incarnation of the endpoint that received the call.
    pub(super) incarnation: u64,
    pub(super) items: Vec<Member>,
    pub(super) sent: Time,
    /// Pace by which the usual duration was multiplied.
    pub(super) pace: f64,
    /// Load of the endpoint that was known when the call was sent.
    pub(super) load: f64,
    /// Whether the call took much longer than expected and its pieces were
    /// requeued.
    pub(super) is_straggler: bool,
}

impl Call {
    /// Returns how long the call has taken, relative to the usual duration of its
    /// pieces.
    pub(super) fn ratio(&self, now: Time) -> f64 {
        let usual = self.expected.as_secs_f64() / self.pace;
        now.since(self.sent).as_secs_f64() / usual.max(0.001)
    }
}

/// A piece of a job in a call.
#[derive(Clone, Debug)]
pub(super) struct Member {
    /// Tells jobs apart that have the same id, one after the other.
    pub(super) admission: u64,
    pub(super) job: JobId,
    /// Index of the piece in the job.
    pub(super) piece: usize,
}
