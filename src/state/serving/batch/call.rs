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
    /// Whether the call took much longer than expected and its pieces were
    /// requeued.
    pub(super) is_straggler: bool,
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
