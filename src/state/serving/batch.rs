//! The dispatcher of one stage pool: queues the pieces of all hosts, batches
//! them into calls to endpoints and returns the outputs.
//!
//! Most of a call's time is overhead that does not depend on the number of
//! pieces, so pieces are queued while every endpoint is busy and sent in
//! batches. Jobs that have begun go first, since their outputs occupy storage.
//! Jobs that can still meet their goal come next, ordered by priority and by
//! their latest start; jobs that are already late come last. With the order by
//! value, a plan decides which jobs become late when not all can be on time.

mod active_job;
mod call;
mod deferrals;
mod endpoint_state;
mod fill;
mod handles;
mod load;
mod served;
mod value;
mod watch;

pub use {
    handles::Origin,
    load::Summary,
    value::{Demotion, Note, Order},
};

use {
    self::{
        active_job::{ActiveJob, Piece},
        call::{Call, Member},
        deferrals::Deferrals,
        endpoint_state::EndpointState,
        load::Forecast,
        value::Planning,
    },
    crate::state::{
        clock::Time,
        id,
        serving::{
            budget::{Bounds, RetryBudget},
            cold,
            config::Pool,
            health::Notice,
            pace::{Load, Pace},
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

/// Maximum number of attempts of one piece, including the first.
const MAX_ATTEMPTS: u32 = 4;

/// Storage reserved for an output, relative to its configured size. Configured
/// sizes are approximate.
const OUTPUT_MARGIN: f64 = 1.1;

/// Time for which a failed piece may wait for the retry budget. The budget
/// grows with new requests, so it either recovers soon or not in time.
const MAX_BUDGET_WAIT: Duration = Duration::from_millis(300);

/// Minimum `retry_after` of a refused or failed job.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Identifies a call of this dispatcher.
pub type CallId = u64;

/// One piece of a call to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    pub input: Input,
    pub piece: u16,
    /// Time until the request's deadline.
    pub remaining: Duration,
    pub request: String,
    pub stage: u16,
}

/// An action for the caller of the dispatcher to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the outcome of a job to its home.
    Finish { job: JobId, outcome: Outcome },
    /// Call an endpoint.
    Send {
        call: CallId,
        entry: Arc<Entry>,
        items: Vec<Item>,
        timeout: Duration,
    },
    /// Free outputs that are no longer needed.
    Release { outputs: Vec<Output> },
}

/// The outcome of a call.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The endpoint answered with one result per item.
    Answered(Vec<piece::Result>),
    /// The call failed after it was sent, so the endpoint may have run it.
    Broken,
    /// The endpoint refused the call because it is full.
    Full,
    /// Another endpoint now uses the address.
    Replaced,
    /// The connection could not be established.
    Unreachable,
}

/// Queues the pieces of one pool and assigns them to endpoints.
#[derive(Debug)]
pub struct Dispatcher {
    bounds: Bounds,
    budget: RetryBudget,
    calls: HashMap<CallId, Call>,
    /// The calls to cold endpoints.
    cold: cold::Pacer,
    deferrals: Deferrals,
    /// Number of hosts that may dispatch to the endpoints.
    hosts: usize,
    next_admission: u64,
    next_call: CallId,
    endpoints: BTreeMap<id::Endpoint, EndpointState>,
    order: Order,
    planning: Planning,
    pool: Pool,
    active_jobs: BTreeMap<JobId, ActiveJob>,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints.
    pub fn new(pool: Pool, bounds: Bounds) -> Self {
        Self {
            bounds,
            budget: RetryBudget::default(),
            calls: HashMap::new(),
            cold: cold::Pacer::default(),
            deferrals: Deferrals::default(),
            hosts: 1,
            next_admission: 0,
            next_call: 0,
            endpoints: BTreeMap::new(),
            order: Order::default(),
            planning: Planning::default(),
            pool,
            active_jobs: BTreeMap::new(),
        }
    }

    /// Updates the pool's configuration, its endpoints and the number of hosts
    /// that may dispatch to them. The state of an endpoint is kept as long as
    /// its incarnation stays the same.
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

    /// Sets which hosts may send calls to cold endpoints.
    pub fn set_fleet(&mut self, fleet: cold::Fleet) {
        self.cold.set_fleet(fleet);
    }

    /// Reserves a request to an endpoint that is not a call with pieces, and returns the
    /// time until it may be sent.
    pub fn reserve(&mut self, now: Time, entry: &Entry) -> Duration {
        let at = self.cold.next(now, entry);
        self.cold.record_request(at, entry);
        at.since(now)
    }

    /// Sets the bounds of the fleet's retry budget.
    pub fn set_budget_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Creates the state of an endpoint, including its deferral and the calls in
    /// progress that it received before it was last removed from the roster.
    fn new_endpoint_state(&self, entry: &Arc<Entry>) -> EndpointState {
        let mut state = EndpointState::new(entry, self.deferrals.health(entry));
        let belongs =
            |call: &&Call| call.endpoint == entry.endpoint && call.incarnation == entry.incarnation;

        for call in self.calls.values().filter(belongs) {
            state.calls += 1;
            state.reserved += call.bytes.iter().sum::<u64>();
        }

        state
    }

    /// Adds a job to the queue and ignores one that is already active. Refuses
    /// the first job of a request if it would not finish before its deadline.
    pub fn add(&mut self, now: Time, job: Job, actions: &mut Vec<Action>) {
        if self.active_jobs.contains_key(&job.id) {
            return;
        }

        self.record_arrival(now, job.team.as_ref(), job.pieces.len());
        let Forecast {
            backlog,
            is_hopeless,
        } = self.forecast(now, &job);

        if job.first && is_hopeless {
            self.record_end(now, job.priority, false);
            actions.push(Action::Finish {
                job: job.id,
                outcome: Outcome {
                    backlog,
                    failure: Some(Failure::Overloaded),
                    outputs: Vec::new(),
                    retry_after: backlog.saturating_sub(job.urgency).max(MIN_RETRY_AFTER),
                },
            });
            return;
        }

        let count = u32::try_from(job.pieces.len()).unwrap_or(u32::MAX);
        self.budget.record_requests(now, &self.bounds, count);
        let pieces = job.pieces.iter().map(|_| Piece {
            attempts: 0,
            output: None,
            queued: true,
            running: 0,
        });

        let active = ActiveJob {
            admission: self.next_admission,
            arrived: now,
            deadline: now + job.remaining,
            is_demoted: false,
            output_bytes: (job.output_bytes as f64 * OUTPUT_MARGIN) as u64,
            pieces: pieces.collect(),
            starved_since: None,
            start_by: now + job.urgency,
            waiting: job.pieces.len(),
            was_demoted: false,
            job,
        };
        self.next_admission += 1;
        self.active_jobs.insert(active.job.id.clone(), active);
        self.dispatch_queued(now, actions);
    }

    /// Cancels a job and releases its outputs. Calls in progress continue,
    /// since endpoints do not support cancellation.
    pub fn cancel(&mut self, now: Time, id: &JobId, actions: &mut Vec<Action>) {
        if let Some(active) = self.active_jobs.remove(id) {
            let outputs = active.pieces.into_iter().filter_map(|piece| piece.output);
            discard(outputs.collect(), actions);
            self.dispatch_queued(now, actions);
        }
    }

    /// Records that an endpoint wants no calls from this host for a time, also if it
    /// is not listed at the moment.
    pub fn defer(&mut self, now: Time, entry: &Entry, time: Duration) {
        self.deferrals.health_mut(now, entry).defer(now, time);
        let state = self.endpoints.get_mut(&entry.endpoint);

        if let Some(state) = state.filter(|state| state.entry.incarnation == entry.incarnation) {
            state.health.defer(now, time);
        }
    }

    /// Records what an endpoint says in an answer of the calls that it takes, also if
    /// it is not listed at the moment.
    pub fn record_notice(&mut self, now: Time, entry: &Entry, notice: Notice) {
        self.deferrals
            .health_mut(now, entry)
            .record_notice(now, notice);
        let state = self.endpoints.get_mut(&entry.endpoint);

        if let Some(state) = state.filter(|state| state.entry.incarnation == entry.incarnation) {
            state.health.record_notice(now, notice);
        }
    }

    /// Records the load that an endpoint reports in an answer.
    pub fn record_load(&mut self, now: Time, entry: &Entry, load: Load) {
        let state = self.endpoints.get_mut(&entry.endpoint);

        if let Some(state) = state.filter(|state| state.entry.incarnation == entry.incarnation) {
            state.pace.record_report(now, load, state.calls);
        }
    }

    /// Forgets the load that endpoints have reported.
    pub fn forget_loads(&mut self) {
        for state in self.endpoints.values_mut() {
            state.pace = Pace::default();
        }
    }

    /// Returns which call a response of an endpoint answers, as far as its handles show.
    pub fn origin(
        &mut self,
        now: Time,
        endpoint: &id::Endpoint,
        items: &[Item],
        results: &[piece::Result],
    ) -> Origin {
        let state = self.endpoints.get_mut(endpoint);
        state.map_or(Origin::ThisCall, |state| {
            state.handles.origin(now, items, results)
        })
    }

    /// Records that an endpoint has freed outputs, which makes storage
    /// available.
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

    /// Handles the outcome of a call: records outputs, requeues failed pieces
    /// and answers the jobs that have ended.
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

        for (index, member) in call.items.iter().enumerate() {
            let result = match &outcome {
                CallOutcome::Answered(results) => {
                    results.get(index).cloned().unwrap_or(piece::Result::Failed)
                }
                _ => piece::Result::Failed,
            };
            let delivered = !matches!(
                outcome,
                CallOutcome::Full | CallOutcome::Replaced | CallOutcome::Unreachable
            );
            let Some(active) = find_job(&mut self.active_jobs, member) else {
                unused.extend(output(&call, 0, result));
                continue;
            };
            let (id, piece) = (&member.job, member.piece);
            let index = active.job.pieces[piece];
            let piece_state = &mut active.pieces[piece];
            piece_state.running = piece_state.running.saturating_sub(1);

            if !delivered {
                piece_state.attempts = piece_state.attempts.saturating_sub(1);
            }

            affected.insert(id.clone());

            match (result, &piece_state.output) {
                (piece::Result::Done(handle), None) => {
                    piece_state.output = output(&call, index, piece::Result::Done(handle));
                    active.queue(piece, false);
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
                    active.queue(piece, not_running);
                }
                (piece::Result::Failed, None) => {
                    let not_running = piece_state.running == 0;
                    active.queue(piece, not_running);
                }
            }
        }

        discard(unused, actions);

        for id in affected {
            self.finish_or_fail(now, &id, actions);
        }

        self.dispatch_queued(now, actions);
    }

    /// Fails jobs that cannot end before their deadline or whose failed pieces
    /// get no retry from the budget, drops expired outputs and hedges the pieces
    /// of stragglers.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let late = self.active_jobs.values().filter(|active| {
            active.deadline <= now || active.is_hopeless(now, self.call_time(active.pieces.len()))
        });
        let late = late.map(|active| active.job.id.clone());

        for id in late.collect::<Vec<JobId>>() {
            self.fail_job(now, &id, Failure::Late, actions);
        }

        let starved = self.active_jobs.values().filter(|active| {
            (active.starved_since).is_some_and(|since| now.since(since) > MAX_BUDGET_WAIT)
        });
        let starved = starved.map(|active| active.job.id.clone());

        for id in starved.collect::<Vec<JobId>>() {
            self.fail_job(now, &id, Failure::Failed, actions);
        }

        for state in self.endpoints.values_mut() {
            state.stored.retain(|_, (_, expiry)| *expiry > now);
        }

        self.hedge(now);
        self.dispatch_queued(now, actions);
    }

    /// Answers a job if all of its pieces are done, and fails it if a piece has
    /// used up its attempts.
    fn finish_or_fail(&mut self, now: Time, id: &JobId, actions: &mut Vec<Action>) {
        let Some(active) = self.active_jobs.get(id) else {
            return;
        };

        if active.pieces.iter().all(|piece| piece.output.is_some()) {
            let backlog = self.backlog_for(now, active.job.priority);
            let active = self.active_jobs.remove(id).expect("the job was just found");
            self.record_end(now, active.job.priority, true);
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

    /// Cancels a job and reports the failure to its home.
    fn fail_job(&mut self, now: Time, id: &JobId, failure: Failure, actions: &mut Vec<Action>) {
        let Some(active) = self.active_jobs.get(id) else {
            return;
        };
        let job_id = active.job.id.clone();
        self.record_end(now, active.job.priority, false);
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

/// Returns the job of a call's piece, unless it has ended. A later job may have the
/// same id and other pieces.
fn find_job<'a>(
    active_jobs: &'a mut BTreeMap<JobId, ActiveJob>,
    member: &Member,
) -> Option<&'a mut ActiveJob> {
    let active = active_jobs.get_mut(&member.job);
    active.filter(|active| active.admission == member.admission)
}

/// Releases outputs, if there are any.
fn discard(outputs: Vec<Output>, actions: &mut Vec<Action>) {
    if !outputs.is_empty() {
        actions.push(Action::Release { outputs });
    }
}

/// Returns the output of a piece if its result is `Done`.
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
