//! The order of jobs by value: which jobs are late when not all can be on time.

use {
    crate::state::{
        clock::Time,
        id,
        serving::{
            batch::{
                Dispatcher,
                active_job::{ActiveJob, Urgency},
                fill::LAST_CHANCE_SHARE,
                served::Served,
            },
            config::Pool,
            order::{self, Candidate, Capacity, Shares, Verdict},
        },
    },
    std::time::Duration,
};

/// Minimum interval between plans. A plan of some hundred jobs takes a noticeable
/// part of half a core if it is made for every call.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);

/// Time within which last chances are counted as work ahead of the plan.
const LAST_CHANCE_HORIZON: Duration = Duration::from_secs(1);

/// Share of a call's pieces for last chances. Smaller than in the order by urgency,
/// since the largest jobs are demoted first and use all of it: in simulated long
/// overloads, a half left fewer jobs on time than a third.
const LATE_SHARE: f64 = 0.33;

/// Maximum number of notes that are kept until they are taken.
const MAX_NOTES: usize = 1000;

/// What decides which jobs are done first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Order {
    /// How much time a job has until it is late.
    #[default]
    Urgency,
    /// What the delay of a job costs; see [`order`].
    Value,
}

/// Something that happened to a job, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// The first piece of the job left the queue after a time.
    Begun { priority: u8, wait: Duration },
    /// The job becomes late, so that others are on time.
    Demoted(Demotion),
}

/// A demoted job and what it was compared by.
#[derive(Clone, Debug, PartialEq)]
pub struct Demotion {
    pub pieces: usize,
    pub priority: u8,
    pub request: String,
    /// Time until the latest start at which the job meets its goal.
    pub start_within: Duration,
    pub team: Option<id::Team>,
    /// Time until the job's deadline.
    pub time_left: Duration,
}

/// What the order by value rests on. A dispatcher that takes over starts without
/// it and learns it anew.
#[derive(Debug, Default)]
pub(super) struct Planning {
    /// Pieces that may get a last chance. A job that is larger than its share of one
    /// call uses that of several.
    credit: f64,
    notes: Vec<Note>,
    /// When the jobs were last planned.
    planned: Option<Time>,
    pub(super) served: Served,
    shares: Shares,
}

impl Planning {
    fn note(&mut self, note: Note) {
        if self.notes.len() < MAX_NOTES {
            self.notes.push(note);
        }
    }

    /// Adds the share of last chances in one call.
    pub(super) fn add_credit(&mut self, pool: &Pool) {
        let batch = pool.batch as f64;
        self.credit = (self.credit + batch * LATE_SHARE).min(batch);
    }

    /// Records that the first piece of a job leaves the queue.
    pub(super) fn record_begin(&mut self, now: Time, active: &ActiveJob, urgency: Urgency) {
        if urgency == Urgency::LastChance {
            self.credit -= active.waiting as f64;
        }

        self.note(Note::Begun {
            priority: active.job.priority,
            wait: now.since(active.arrived),
        });
    }
}

/// How many more jobs get a last chance in a call.
pub(super) enum LastChances {
    /// Up to a number of pieces, without the job that exceeds it.
    Urgency { left: usize },
    /// Jobs below a priority, until the pieces that are left are used up.
    Value { left: f64, limit: Option<u8> },
}

impl LastChances {
    /// Returns whether a job gets a last chance.
    pub(super) fn take(&mut self, active: &ActiveJob) -> bool {
        match self {
            Self::Urgency { left } => {
                let fits = active.waiting <= *left;
                *left = left.saturating_sub(active.waiting);
                fits
            }
            Self::Value { left, limit } => {
                let has_chance = limit.is_none_or(|limit| active.job.priority < limit);

                if !has_chance || *left <= 0.0 {
                    return false;
                }

                *left -= active.waiting as f64;
                true
            }
        }
    }
}

impl Dispatcher {
    /// Returns which jobs get a last chance in the next call.
    pub(super) fn last_chances(&self, now: Time) -> LastChances {
        let batch = self.pool.batch as f64;

        match self.order {
            Order::Urgency => LastChances::Urgency {
                left: (batch * LAST_CHANCE_SHARE).ceil() as usize,
            },
            Order::Value => LastChances::Value {
                left: self.planning.credit + batch * LATE_SHARE,
                limit: self.planning.served.limit(now),
            },
        }
    }

    /// Sets the order of jobs.
    pub fn set_order(&mut self, order: Order) {
        if self.order == order {
            return;
        }

        self.order = order;
        self.planning = Planning::default();

        for active in self.active_jobs.values_mut() {
            active.is_demoted = false;
        }
    }

    /// Returns what has happened to jobs since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.planning.notes)
    }

    /// Records the work of a job that has arrived.
    pub(super) fn record_arrival(&mut self, now: Time, team: Option<&id::Team>, pieces: usize) {
        if self.order == Order::Value {
            self.planning.shares.record(now, team, pieces as f64);
        }
    }

    /// Records whether a job was served.
    pub(super) fn record_end(&mut self, now: Time, priority: u8, served: bool) {
        if self.order == Order::Value {
            self.planning.served.record(now, priority, served);
        }
    }

    /// Plans the queued jobs anew if the last plan is old enough.
    pub(super) fn replan(&mut self, now: Time) {
        let is_due = |planned| now.since(planned) >= PLAN_INTERVAL;

        if self.order == Order::Urgency || !self.planning.planned.is_none_or(is_due) {
            return;
        }

        self.planning.planned = Some(now);
        let capacity = self.plan_capacity(now);
        let queued = self.active_jobs.values_mut();
        let mut queued = queued
            .filter(|active| active.waiting > 0)
            .collect::<Vec<&mut ActiveJob>>();
        let candidates = queued.iter().map(|active| Candidate {
            begun: active.has_begun(),
            deadline: active.deadline,
            priority: active.job.priority,
            start_by: active.start_by,
            team: active.job.team.as_ref(),
            work: active.waiting as f64,
        });
        let candidates = candidates.collect::<Vec<Candidate>>();
        let verdicts = order::plan(now, &candidates, capacity, &self.planning.shares);

        for (active, verdict) in queued.iter_mut().zip(verdicts) {
            active.is_demoted = verdict == Verdict::Demoted;

            if active.is_demoted && !active.was_demoted {
                active.was_demoted = true;
                self.planning.note(Note::Demoted(demotion(now, active)));
            }
        }
    }

    /// Returns what the pool can do, without the last chances of late jobs, which go
    /// before jobs that are on time.
    fn plan_capacity(&self, now: Time) -> Capacity {
        let rate = self.rate(now);
        let call = self.call_time(self.pool.batch);
        let soon = now + LAST_CHANCE_HORIZON;
        let last_chances = self.active_jobs.values().filter(|active| {
            !active.has_begun() && active.urgency(soon, call) == Urgency::LastChance
        });
        let limit = self.planning.served.limit(now);
        let last_chances = last_chances
            .filter(|active| !active.is_on_time(now) || active.is_demoted)
            .filter(|active| limit.is_none_or(|limit| active.job.priority < limit));
        let pieces = last_chances.map(|active| active.waiting).sum::<usize>();
        let taken = pieces as f64 / LAST_CHANCE_HORIZON.as_secs_f64();

        Capacity {
            free: (self.idle(now) * self.pool.batch) as f64,
            rate: rate - taken.min(rate * LATE_SHARE),
        }
    }
}

fn demotion(now: Time, active: &ActiveJob) -> Demotion {
    Demotion {
        pieces: active.waiting,
        priority: active.job.priority,
        request: active.job.request.clone(),
        start_within: active.start_by.since(now),
        team: active.job.team.clone(),
        time_left: active.deadline.since(now),
    }
}
