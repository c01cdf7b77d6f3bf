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
pub(super) struct ActiveJob {
    pub(super) deadline: Time,
    pub(super) job: Job,
    /// Room that one output takes.
    pub(super) output_bytes: u64,
    pub(super) pieces: Vec<Piece>,
    pub(super) start_by: Time,
    /// Pieces that wait.
    pub(super) waiting: usize,
}

impl ActiveJob {
    /// Puts a piece into the queue, or takes it out.
    pub(super) fn queue(&mut self, piece: usize, queued: bool) {
        let piece_state = &mut self.pieces[piece];

        if piece_state.queued != queued {
            piece_state.queued = queued;
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
pub(super) fn rank(
    active: &ActiveJob,
    now: Time,
    domain: Option<&id::Domain>,
) -> (bool, bool, u8, Time) {
    let late = active.start_by < now;
    let in_other_domain =
        domain.is_some() && active.job.domain.is_some() && active.job.domain.as_ref() != domain;
    let penalty = if in_other_domain {
        DOMAIN_PENALTY
    } else {
        Duration::ZERO
    };
    let due = if late {
        active.deadline
    } else {
        active.start_by
    };
    (
        !active.has_begun(),
        late,
        active.job.priority,
        due + penalty,
    )
}
