//! A job in progress: its pieces, and its place in the order.

use {
    crate::state::{
        clock::Time,
        id,
        serving::piece::{Job, Output},
    },
    std::time::Duration,
};

/// Time to spare above which a piece waits for an endpoint in its own domain.
/// It covers a call in progress there.
const DOMAIN_SLACK: Duration = Duration::from_millis(400);

/// Time by which a piece is set back at an endpoint outside its own domain.
const DOMAIN_PENALTY: Duration = Duration::from_millis(250);

#[derive(Clone, Debug)]
pub(super) struct Piece {
    pub(super) attempts: u32,
    pub(super) output: Option<Output>,
    /// Calls in progress that hold the piece.
    pub(super) running: u32,
    pub(super) queued: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) deadline: Time,
    pub(super) job: Job,
    /// Room that one output takes.
    pub(super) output_bytes: u64,
    pub(super) pieces: Vec<Piece>,
    pub(super) start_by: Time,
    /// Pieces that wait.
    pub(super) waiting: usize,
}

impl Work {
    /// Puts a piece into the queue, or takes it out.
    pub(super) fn queue(&mut self, piece: usize, queued: bool) {
        let slot = &mut self.pieces[piece];

        if slot.queued != queued {
            slot.queued = queued;
            self.waiting = if queued {
                self.waiting + 1
            } else {
                self.waiting - 1
            };
        }
    }

    /// Returns whether the job has the time to wait for an endpoint in its own
    /// domain, where its inputs are or its outputs will be used.
    pub(super) fn waits_for_domain(
        &self,
        now: Time,
        offered: &id::Domain,
        open: &[id::Domain],
    ) -> bool {
        self.job.domain.as_ref().is_some_and(|domain| {
            domain != offered && open.contains(domain) && self.start_by.since(now) > DOMAIN_SLACK
        })
    }

    /// Returns whether a piece has left the queue.
    pub(super) fn has_begun(&self) -> bool {
        self.waiting < self.pieces.len()
    }
}

/// Orders jobs: those that have begun first, since their outputs take room
/// until the last one is made, then those that can meet their goal, then by
/// priority and by the time at which they have to start.
pub(super) fn rank(work: &Work, now: Time, domain: Option<&id::Domain>) -> (bool, bool, u8, Time) {
    let late = work.start_by < now;
    let away = domain.is_some() && work.job.domain.is_some() && work.job.domain.as_ref() != domain;
    let penalty = if away { DOMAIN_PENALTY } else { Duration::ZERO };
    let due = if late { work.deadline } else { work.start_by };
    (!work.has_begun(), late, work.job.priority, due + penalty)
}
