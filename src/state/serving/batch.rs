//! The dispatcher of one stage pool: gathers the pieces of all hosts, fills
//! calls with them and hands the outputs back.
//!
//! An endpoint spends most of a call's time on the call itself, so pieces
//! wait while every endpoint is busy and go out together. Jobs that have begun
//! go first, since their outputs take room. Then come pieces that can still
//! meet their goal, in the order of priority and of the time at which they
//! have to start; pieces that are already late take what is left.

mod fill;
mod load;
mod node;
mod watch;
mod work;

pub use load::Summary;

use {
    self::{
        node::Node,
        work::{Piece, Work},
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
const ATTEMPTS: u32 = 4;

/// Size of an output relative to the listed one that room is kept for. Listed
/// sizes are approximate.
const OUTPUT_MARGIN: f64 = 1.1;

/// Least time to spare of a refused request's retry.
const RETRY_AFTER: Duration = Duration::from_millis(200);

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
    straggles: bool,
}

/// The dispatcher of one pool.
#[derive(Debug)]
pub struct Dispatcher {
    bounds: Bounds,
    budget: Budget,
    calls: HashMap<CallId, Call>,
    hosts: usize,
    next_call: CallId,
    nodes: BTreeMap<id::Endpoint, Node>,
    pool: Pool,
    works: BTreeMap<JobId, Work>,
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
            nodes: BTreeMap::new(),
            pool,
            works: BTreeMap::new(),
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
        let mut nodes = BTreeMap::new();

        for entry in entries {
            let known = self.nodes.remove(&entry.endpoint);
            let same = known.filter(|node| node.entry.incarnation == entry.incarnation);
            let node = same.map_or_else(
                || self.new_node(entry),
                |node| Node {
                    entry: Arc::clone(entry),
                    ..node
                },
            );
            nodes.insert(entry.endpoint.clone(), node);
        }

        self.nodes = nodes;
    }

    /// Takes the bounds of the fleet's retry budget.
    pub fn set_budget_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Builds a node with the calls that it still has from an earlier listing.
    fn new_node(&self, entry: &Arc<Entry>) -> Node {
        let mut node = Node::new(entry);
        let own =
            |call: &&Call| call.endpoint == entry.endpoint && call.incarnation == entry.incarnation;

        for call in self.calls.values().filter(own) {
            node.calls += 1;
            node.reserved += call.bytes.iter().sum::<u64>();
        }

        node
    }

    /// Takes a job.
    pub fn add(&mut self, now: Time, job: Job, actions: &mut Vec<Action>) {
        if self.works.contains_key(&job.id) {
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
                    retry_after: (backlog.saturating_sub(job.remaining)).max(RETRY_AFTER),
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

        let work = Work {
            deadline: now + job.remaining,
            output_bytes: (job.output_bytes as f64 * OUTPUT_MARGIN) as u64,
            pieces: pieces.collect(),
            start_by: now + job.urgency,
            waiting: job.pieces.len(),
            job,
        };
        self.works.insert(work.job.id.clone(), work);
        self.pump(now, actions);
    }

    /// Gives a job up. Outputs that exist are released; calls in progress go
    /// on, since an endpoint does not stop them.
    pub fn cancel(&mut self, now: Time, id: &JobId, actions: &mut Vec<Action>) {
        if let Some(work) = self.works.remove(id) {
            let outputs = work.pieces.into_iter().filter_map(|piece| piece.output);
            discard(outputs.collect(), actions);
            self.pump(now, actions);
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
        if let Some(node) = self.nodes.get_mut(endpoint) {
            for handle in handles {
                node.stored.remove(handle);
            }
        }

        self.pump(now, actions);
    }

    /// Takes the end of a call.
    pub fn finish(
        &mut self,
        now: Time,
        call: CallId,
        ending: CallOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.remove(&call) else {
            return;
        };

        self.judge(now, &call, &ending);
        self.store(now, &call, &ending);
        let mut touched = HashSet::new();
        let mut unused = Vec::new();

        for (index, (id, piece)) in call.items.iter().enumerate() {
            let result = match &ending {
                CallOutcome::Answered(results) => {
                    results.get(index).cloned().unwrap_or(piece::Result::Failed)
                }
                _ => piece::Result::Failed,
            };
            let arrived = !matches!(ending, CallOutcome::Unreachable);
            let Some(work) = self.works.get_mut(id) else {
                unused.extend(output(&call, 0, result));
                continue;
            };
            let index = work.job.pieces[*piece];
            let slot = &mut work.pieces[*piece];
            slot.running = slot.running.saturating_sub(1);

            if !arrived {
                slot.attempts = slot.attempts.saturating_sub(1);
            }

            touched.insert(id.clone());

            match (result, &slot.output) {
                (piece::Result::Done(handle), None) => {
                    slot.output = output(&call, index, piece::Result::Done(handle));
                    work.queue(*piece, false);
                }
                (piece::Result::Done(handle), Some(_)) => {
                    unused.extend(output(&call, index, piece::Result::Done(handle)));
                }
                (_, Some(_)) => {}
                (piece::Result::InputGone, None) => {
                    self.end(now, id, Failure::InputGone, actions);
                }
                (piece::Result::Late, None) => self.end(now, id, Failure::Late, actions),
                (piece::Result::NoSpace, None) => {
                    slot.attempts = slot.attempts.saturating_sub(1);
                    let alone = slot.running == 0;
                    work.queue(*piece, alone);
                }
                (piece::Result::Failed, None) => {
                    let alone = slot.running == 0;
                    work.queue(*piece, alone);
                }
            }
        }

        discard(unused, actions);

        for id in touched {
            self.complete(now, &id, actions);
        }

        self.pump(now, actions);
    }

    /// Does what is due: ends late jobs and gives the pieces of calls that
    /// take too long to another endpoint as well.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let late = self.works.values().filter(|work| work.deadline <= now);
        let late = late.map(|work| work.job.id.clone());

        for id in late.collect::<Vec<JobId>>() {
            self.end(now, &id, Failure::Late, actions);
        }

        for node in self.nodes.values_mut() {
            node.stored.retain(|_, (_, expiry)| *expiry > now);
        }

        self.hedge(now);
        self.pump(now, actions);
    }

    /// Answers a job whose pieces are all done, and ends one whose pieces
    /// cannot be tried again.
    fn complete(&mut self, now: Time, id: &JobId, actions: &mut Vec<Action>) {
        let Some(work) = self.works.get(id) else {
            return;
        };

        if work.pieces.iter().all(|piece| piece.output.is_some()) {
            let backlog = self.backlog(now);
            let work = self.works.remove(id).expect("the job was just found");
            let outputs = work.pieces.into_iter().filter_map(|piece| piece.output);
            actions.push(Action::Finish {
                job: id.clone(),
                outcome: Outcome {
                    backlog,
                    failure: None,
                    outputs: outputs.collect(),
                    retry_after: Duration::ZERO,
                },
            });
        } else if work
            .pieces
            .iter()
            .any(|piece| piece.output.is_none() && piece.running == 0 && piece.attempts >= ATTEMPTS)
        {
            self.end(now, id, Failure::Failed, actions);
        }
    }

    fn end(&mut self, now: Time, id: &JobId, failure: Failure, actions: &mut Vec<Action>) {
        let Some(work) = self.works.get(id) else {
            return;
        };
        let home = work.job.id.clone();
        self.cancel(now, id, actions);
        actions.push(Action::Finish {
            job: home,
            outcome: Outcome {
                backlog: Duration::ZERO,
                failure: Some(failure),
                outputs: Vec::new(),
                retry_after: RETRY_AFTER,
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
