//! A job in progress: the state of its pieces and its dispatch order.

use {
    crate::state::{
        clock::Time,
        id,
        serving::piece::{Job, Output},
    },
    std::time::Duration,
};

/// Minimum time until a job's latest start for its pieces to wait for an
/// endpoint in their own domain. Covers a call in progress there.
const DOMAIN_SLACK: Duration = Duration::from_millis(400);

/// Added to the due time of a job at an endpoint outside its own domain, which
/// moves it back in the dispatch order.
const DOMAIN_PENALTY: Duration = Duration::from_millis(250);

#[derive(Clone, Debug)]
pub(super) struct Piece {
    pub(super) attempts: u32,
    pub(super) output: Option<Output>,
    /// Number of calls in progress that include the piece.
    pub(super) running: u32,
    pub(super) queued: bool,
}

#[derive(Clone, Debug)]
pub(super) struct ActiveJob {
    pub(super) deadline: Time,
    pub(super) job: Job,
    /// Storage that one output takes.
    pub(super) output_bytes: u64,
    pub(super) pieces: Vec<Piece>,
    /// Latest start at which the request can still meet its goal.
    pub(super) start_by: Time,
    /// Since when the retry budget has held back a piece that failed and runs
    /// nowhere else.
    pub(super) starved_since: Option<Time>,
    /// Number of queued pieces.
    pub(super) waiting: usize,
}

impl ActiveJob {
    /// Adds a piece to the queue, or removes it if `queued` is false.
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

    /// Returns whether the job should wait for an endpoint in its own domain,
    /// where its inputs are or its outputs will be used, instead of using one
    /// in the `offered` domain. `open` holds the domains that accept calls.
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

    /// Returns whether any piece has left the queue.
    pub(super) fn has_begun(&self) -> bool {
        self.waiting < self.pieces.len()
    }
}

/// Returns the sort key of a job in the dispatch order, lowest first: jobs that
/// have begun, since their outputs occupy storage until the last one is made,
/// then jobs that can still meet their goal, then by priority and due time.
///
/// With a `domain`, jobs that belong to another domain are moved back.
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
