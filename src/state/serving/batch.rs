//! The dispatcher of one stage pool: gathers the pieces of all hosts, fills
//! calls with them and hands the outputs back.
//!
//! An endpoint spends most of a call's time on the call itself, so pieces
//! wait while every endpoint is busy and go out together. Jobs that have begun
//! go first, since their outputs take room. Then come pieces that can still
//! meet their goal, in the order of priority and of the time at which they
//! have to start; pieces that are already late take what is left.

mod active_job;
mod endpoint_state;
mod fill;
mod load;
mod watch;

pub use load::Summary;

use {
    self::{
        active_job::{ActiveJob, Piece},
        endpoint_state::EndpointState,
    },
    crate::state::{
        clock::Time,
        id,
        serving::{
            budget::{Bounds, Budget},
            config::Pool,
            piece::{self, Failure, Input, Job, JobId, Outcome, Output},
            roster::Entry,
        },
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

/// Attempts of one piece, the first one included.
const MAX_ATTEMPTS: u32 = 4;

/// Size of an output relative to the listed one that room is kept for. Listed
/// sizes are approximate.
const OUTPUT_MARGIN: f64 = 1.1;

/// Least time to spare of a refused request's retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Identifies a call of this dispatcher.
pub type CallId = u64;

/// One piece as it is sent to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    pub input: Input,
    pub piece: u16,
    pub remaining: Duration,
    pub request: String,
    pub stage: u16,
}

/// What the dispatcher wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer the home of a job.
    Finish { job: JobId, outcome: Outcome },
    /// Make a call.
    Send {
        call: CallId,
        entry: Arc<Entry>,
        items: Vec<Item>,
        timeout: Duration,
    },
    /// Free outputs that nobody will use.
    Release { outputs: Vec<Output> },
}

/// How a call ended.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The endpoint answered with one result an item.
    Answered(Vec<piece::Result>),
    /// The endpoint may have run the call.
    Broken,
    /// The endpoint refused the call because it is full.
    Full,
    /// Another endpoint has the address.
    Replaced,
    /// No connection could be made.
    Unreachable,
}

#[derive(Clone, Debug)]
struct Call {
    /// Expected size of each item's output.
    bytes: Vec<u64>,
    endpoint: id::Endpoint,
    expected: Duration,
    incarnation: u64,
    items: Vec<(JobId, usize)>,
    sent: Time,
    is_straggler: bool,
}

/// The dispatcher of one pool.
#[derive(Debug)]
pub struct Dispatcher {
    bounds: Bounds,
    budget: Budget,
    calls: HashMap<CallId, Call>,
    hosts: usize,
    next_call: CallId,
    endpoints: BTreeMap<id::Endpoint, EndpointState>,
    pool: Pool,
    active_jobs: BTreeMap<JobId, ActiveJob>,
}

impl Dispatcher {
    /// Builds a dispatcher without endpoints.
    pub fn new(pool: Pool, bounds: Bounds) -> Self {
        Self {
            bounds,
            budget: Budget::default(),
            calls: HashMap::new(),
            hosts: 1,
            next_call: 0,
            endpoints: BTreeMap::new(),
            pool,
            active_jobs: BTreeMap::new(),
        }
    }

    /// Takes the pool's sizes, its endpoints and the number of hosts that may
    /// dispatch to them.
    pub fn update<'a>(
        &mut self,
        pool: &Pool,
        entries: impl Iterator<Item = &'a Arc<Entry>>,
        hosts: usize,
    ) {
        self.pool = pool.clone();
        self.hosts = hosts;
        let mut endpoints = BTreeMap::new();

        for entry in entries {
            let previous = self.endpoints.remove(&entry.endpoint);
            let unchanged = previous.filter(|state| state.entry.incarnation == entry.incarnation);
            let state = unchanged.map_or_else(
                || self.new_endpoint_state(entry),
                |state| EndpointState {
                    entry: Arc::clone(entry),
                    ..state
                },
            );
            endpoints.insert(entry.endpoint.clone(), state);
        }

        self.endpoints = endpoints;
    }

    /// Takes the bounds of the fleet's retry budget.
    pub fn set_budget_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Builds a node with the calls that it still has from an earlier listing.
    fn new_endpoint_state(&self, entry: &Arc<Entry>) -> EndpointState {
        let mut state = EndpointState::new(entry);
        let belongs =
            |call: &&Call| call.endpoint == entry.endpoint && call.incarnation == entry.incarnation;

        for call in self.calls.values().filter(belongs) {
            state.calls += 1;
            state.reserved += call.bytes.iter().sum::<u64>();
        }

        state
    }

    /// Takes a job.
    pub fn add(&mut self, now: Time, job: Job, actions: &mut Vec<Action>) {
        if self.active_jobs.contains_key(&job.id) {
            return;
        }

        let backlog = self.backlog_before(now, &job);

        if job.first && backlog + self.call_time(job.pieces.len()) > job.remaining {
            actions.push(Action::Finish {
                job: job.id,
                outcome: Outcome {
                    backlog,
                    failure: Some(Failure::Overloaded),
                    outputs: Vec::new(),
                    retry_after: (backlog.saturating_sub(job.remaining)).max(MIN_RETRY_AFTER),
                },
            });
            return;
        }

        let count = u32::try_from(job.pieces.len()).unwrap_or(u32::MAX);
        self.budget.request(now, &self.bounds, count);
        let pieces = job.pieces.iter().map(|_| Piece {
            attempts: 0,
            output: None,
            queued: true,
            running: 0,
        });

        let active = ActiveJob {
            deadline: now + job.remaining,
            output_bytes: (job.output_bytes as f64 * OUTPUT_MARGIN) as u64,
            pieces: pieces.collect(),
            start_by: now + job.urgency,
            waiting: job.pieces.len(),
            job,
        };
        self.active_jobs.insert(active.job.id.clone(), active);
        self.dispatch_queued(now, actions);
    }

    /// Gives a job up. Outputs that exist are released; calls in progress go
    /// on, since an endpoint does not stop them.
    pub fn cancel(&mut self, now: Time, id: &JobId, actions: &mut Vec<Action>) {
        if let Some(active) = self.active_jobs.remove(id) {
            let outputs = active.pieces.into_iter().filter_map(|piece| piece.output);
            discard(outputs.collect(), actions);
            self.dispatch_queued(now, actions);
        }
    }

    /// Notes that an endpoint has freed outputs.
    pub fn mark_freed(
        &mut self,
        now: Time,
        endpoint: &id::Endpoint,
        handles: &[String],
        actions: &mut Vec<Action>,
    ) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            for handle in handles {
                state.stored.remove(handle);
            }
        }

        self.dispatch_queued(now, actions);
    }

    /// Takes the end of a call.
    pub fn finish(
        &mut self,
        now: Time,
        call: CallId,
        outcome: CallOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.remove(&call) else {
            return;
        };

        self.record_health(now, &call, &outcome);
        self.record_outputs(now, &call, &outcome);
        let mut affected = HashSet::new();
        let mut unused = Vec::new();

        for (index, (id, piece)) in call.items.iter().enumerate() {
            let result = match &outcome {
                CallOutcome::Answered(results) => {
                    results.get(index).cloned().unwrap_or(piece::Result::Failed)
                }
                _ => piece::Result::Failed,
            };
            let delivered = !matches!(outcome, CallOutcome::Unreachable);
            let Some(active) = self.active_jobs.get_mut(id) else {
                unused.extend(output(&call, 0, result));
                continue;
            };
            let index = active.job.pieces[*piece];
            let piece_state = &mut active.pieces[*piece];
            piece_state.running = piece_state.running.saturating_sub(1);

            if !delivered {
                piece_state.attempts = piece_state.attempts.saturating_sub(1);
            }

            affected.insert(id.clone());

            match (result, &piece_state.output) {
                (piece::Result::Done(handle), None) => {
                    piece_state.output = output(&call, index, piece::Result::Done(handle));
                    active.queue(*piece, false);
                }
                (piece::Result::Done(handle), Some(_)) => {
                    unused.extend(output(&call, index, piece::Result::Done(handle)));
                }
                (_, Some(_)) => {}
                (piece::Result::InputGone, None) => {
                    self.fail_job(now, id, Failure::InputGone, actions);
                }
                (piece::Result::Late, None) => self.fail_job(now, id, Failure::Late, actions),
                (piece::Result::NoSpace, None) => {
                    piece_state.attempts = piece_state.attempts.saturating_sub(1);
                    let not_running = piece_state.running == 0;
                    active.queue(*piece, not_running);
                }
                (piece::Result::Failed, None) => {
                    let not_running = piece_state.running == 0;
                    active.queue(*piece, not_running);
                }
            }
        }

        discard(unused, actions);

        for id in affected {
            self.finish_or_fail(now, &id, actions);
        }

        self.dispatch_queued(now, actions);
    }

    /// Does what is due: ends late jobs and gives the pieces of calls that
    /// take too long to another endpoint as well.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let late = self
            .active_jobs
            .values()
            .filter(|active| active.deadline <= now);
        let late = late.map(|active| active.job.id.clone());

        for id in late.collect::<Vec<JobId>>() {
            self.fail_job(now, &id, Failure::Late, actions);
        }

        for state in self.endpoints.values_mut() {
            state.stored.retain(|_, (_, expiry)| *expiry > now);
        }

        self.hedge(now);
        self.dispatch_queued(now, actions);
    }

    /// Answers a job whose pieces are all done, and ends one whose pieces
    /// cannot be tried again.
    fn finish_or_fail(&mut self, now: Time, id: &JobId, actions: &mut Vec<Action>) {
        let Some(active) = self.active_jobs.get(id) else {
            return;
        };

        if active.pieces.iter().all(|piece| piece.output.is_some()) {
            let backlog = self.backlog(now);
            let active = self.active_jobs.remove(id).expect("the job was just found");
            let outputs = active.pieces.into_iter().filter_map(|piece| piece.output);
            actions.push(Action::Finish {
                job: id.clone(),
                outcome: Outcome {
                    backlog,
                    failure: None,
                    outputs: outputs.collect(),
                    retry_after: Duration::ZERO,
                },
            });
        } else if active.pieces.iter().any(|piece| {
            piece.output.is_none() && piece.running == 0 && piece.attempts >= MAX_ATTEMPTS
        }) {
            self.fail_job(now, id, Failure::Failed, actions);
        }
    }

    fn fail_job(&mut self, now: Time, id: &JobId, failure: Failure, actions: &mut Vec<Action>) {
        let Some(active) = self.active_jobs.get(id) else {
            return;
        };
        let job_id = active.job.id.clone();
        self.cancel(now, id, actions);
        actions.push(Action::Finish {
            job: job_id,
            outcome: Outcome {
                backlog: Duration::ZERO,
                failure: Some(failure),
                outputs: Vec::new(),
                retry_after: MIN_RETRY_AFTER,
            },
        });
    }
}

fn discard(outputs: Vec<Output>, actions: &mut Vec<Action>) {
    if !outputs.is_empty() {
        actions.push(Action::Release { outputs });
    }
}

fn output(call: &Call, piece: u16, result: piece::Result) -> Option<Output> {
    match result {
        piece::Result::Done(handle) => Some(Output {
            endpoint: call.endpoint.clone(),
            handle,
            piece,
        }),
        _ => None,
    }
}
