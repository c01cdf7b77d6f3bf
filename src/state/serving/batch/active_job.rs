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

/// Time until its deadline, in full calls, at which a late job goes before others:
/// its own call, the call in progress at the next endpoint, and others whose
/// deadline is as near.
pub(super) const LAST_CHANCE_CALLS: f64 = 3.0;

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
    /// Number of the job in the order in which the dispatcher accepted them.
    pub(super) admission: u64,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
    /// Whether the job becomes late, so that others are on time.
    pub(super) is_demoted: bool,
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
    /// Whether the job was ever demoted.
    pub(super) was_demoted: bool,
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

    /// Returns whether the job can still meet its goal.
    pub(super) fn is_on_time(&self, now: Time) -> bool {
        self.start_by >= now
    }

    /// Returns whether the job is to meet its goal.
    pub(super) fn is_planned(&self, now: Time) -> bool {
        self.is_on_time(now) && !self.is_demoted
    }

    /// Returns the urgency of the job.
    pub(super) fn urgency(&self, now: Time, call: Duration) -> Urgency {
        if self.is_planned(now) {
            Urgency::OnTime
        } else if self.deadline.since(now) <= call.mul_f64(LAST_CHANCE_CALLS) {
            Urgency::LastChance
        } else {
            Urgency::Late
        }
    }

    /// Returns the job's place in the dispatch order. `call` is the duration of a
    /// full call. With a `domain`, a job that belongs to another domain is moved
    /// back.
    pub(super) fn rank(&self, now: Time, call: Duration, domain: Option<&id::Domain>) -> Rank {
        let urgency = self.urgency(now, call);
        let own_domain = self.job.domain.as_ref();
        let in_other_domain = domain.is_some() && own_domain.is_some() && own_domain != domain;
        let penalty = if in_other_domain {
            DOMAIN_PENALTY
        } else {
            Duration::ZERO
        };
        let (priority, due) = match urgency {
            Urgency::OnTime => (self.job.priority, self.start_by),
            Urgency::LastChance | Urgency::Late => (0, self.deadline),
        };

        Rank {
            waits_to_begin: !self.has_begun(),
            urgency,
            priority,
            due: due + penalty,
        }
    }

    /// Returns whether the job has not begun and would not end before its
    /// deadline, given the duration of a call with its pieces.
    pub(super) fn is_hopeless(&self, now: Time, call: Duration) -> bool {
        !self.has_begun() && self.deadline < now + call
    }

    /// Returns whether any piece has left the queue.
    pub(super) fn has_begun(&self) -> bool {
        self.waiting < self.pieces.len()
    }
}

/// How urgent a job is, most urgent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Urgency {
    /// Late, and soon too late to end before its deadline.
    LastChance,
    /// Can still meet its goal.
    OnTime,
    /// Too late for its goal, with time left until its deadline.
    Late,
}

/// The place of a job in the dispatch order, lowest first: jobs that have begun,
/// since their outputs occupy storage until the last one is made, then late jobs
/// about to miss their deadline, then jobs that can still meet their goal.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    waits_to_begin: bool,
    pub(super) urgency: Urgency,
    /// 0 for late jobs, among which only the deadline counts: every one is to be
    /// served.
    priority: u8,
    due: Time,
}

impl Rank {
    pub(super) const fn has_begun(&self) -> bool {
        !self.waits_to_begin
    }
}
