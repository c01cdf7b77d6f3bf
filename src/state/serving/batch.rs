//! The dispatcher of one stage pool: gathers the pieces of all hosts, fills
//! calls with them and hands the outputs back.
//!
//! An endpoint spends most of a call's time on the call itself, so pieces
//! wait while every endpoint is busy and go out together. Pieces that can
//! still meet their goal go first, in the order of priority and of the time
//! at which they have to start; pieces that are already late take what is
//! left.

use {
    crate::state::{
        clock::Time,
        id,
        serving::{
            budget::{Bounds, Budget},
            config::Pool,
            health::Health,
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

/// Time of a call, relative to the expected one, after which its pieces are
/// given to another endpoint as well.
const STRAGGLER: f64 = 2.0;

/// Added to the straggler's time, for the way to the endpoint and back.
const STRAGGLER_MARGIN: Duration = Duration::from_millis(150);

/// Time to spare above which a piece waits for an endpoint in its own domain.
/// It covers a call in progress there.
const DOMAIN_SLACK: Duration = Duration::from_millis(400);

/// Pieces that wait, relative to one full call of each endpoint, above which
/// no piece waits for its own domain.
const CROWDED: f64 = 0.4;

/// Time by which a piece is set back at an endpoint outside its own domain.
const DOMAIN_PENALTY: Duration = Duration::from_millis(250);

/// Size of an output relative to the listed one that room is kept for. Listed
/// sizes are approximate.
const OUTPUT_MARGIN: f64 = 1.1;

/// Time in which room that other dispatchers have filled is taken to become
/// free again.
const FOREIGN_TIME: Duration = Duration::from_millis(1500);

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
pub enum Ending {
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

/// The state of a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Summary {
    pub backlog: Duration,
    pub calls: usize,
    /// Endpoints that could take a call.
    pub idle: usize,
    pub jobs: usize,
    /// Jobs that can no longer meet their goal.
    pub late: usize,
    pub nodes: usize,
    pub paused: usize,
    /// Pieces that wait.
    pub queued: usize,
    /// Pieces in calls.
    pub running: usize,
    /// Outputs that are not freed yet.
    pub stored_bytes: u64,
}

#[derive(Clone, Debug)]
struct Piece {
    attempts: u32,
    output: Option<Output>,
    /// Calls in progress that hold the piece.
    running: u32,
    queued: bool,
}

#[derive(Clone, Debug)]
struct Work {
    deadline: Time,
    job: Job,
    /// Room that one output takes.
    output_bytes: u64,
    pieces: Vec<Piece>,
    start_by: Time,
    /// Pieces that wait.
    waiting: usize,
}

impl Work {
    /// Puts a piece into the queue, or takes it out.
    fn queue(&mut self, piece: usize, queued: bool) {
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
    fn waits_for_domain(&self, now: Time, offered: &id::Domain, open: &[id::Domain]) -> bool {
        self.job.domain.as_ref().is_some_and(|domain| {
            domain != offered && open.contains(domain) && self.start_by.since(now) > DOMAIN_SLACK
        })
    }

    /// Returns whether a piece has left the queue.
    fn has_begun(&self) -> bool {
        self.waiting < self.pieces.len()
    }
}

#[derive(Clone, Debug)]
struct Call {
    /// Expected size of each item's output.
    bytes: Vec<u64>,
    endpoint: id::Endpoint,
    expected: Duration,
    items: Vec<(JobId, usize)>,
    sent: Time,
    straggles: bool,
}

#[derive(Clone, Debug)]
struct Node {
    calls: usize,
    entry: Arc<Entry>,
    /// Room that outputs of other dispatchers take, as of when it was found.
    foreign: (u64, Time),
    health: Health,
    /// Space of the outputs that calls in progress will make.
    reserved: u64,
    /// Outputs that were made and not freed: size, and when they expire.
    stored: HashMap<String, (u64, Time)>,
}

impl Node {
    fn new(entry: &Arc<Entry>) -> Self {
        Self {
            calls: 0,
            entry: Arc::clone(entry),
            foreign: (0, Time::ZERO),
            health: Health::default(),
            reserved: 0,
            stored: HashMap::new(),
        }
    }

    /// Returns the space for outputs that is left.
    fn room(&self, now: Time, pool: &Pool) -> u64 {
        let (bytes, found) = self.foreign;
        let age = now.since(found).as_secs_f64() / FOREIGN_TIME.as_secs_f64();
        let foreign = (bytes as f64 * (1.0 - age).max(0.0)) as u64;
        self.own_room(pool).saturating_sub(foreign)
    }

    /// Returns the space that this dispatcher's outputs leave.
    fn own_room(&self, pool: &Pool) -> u64 {
        let stored = self.stored.values().map(|(bytes, _)| bytes).sum::<u64>();
        pool.room_bytes.saturating_sub(stored + self.reserved)
    }
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
                || Node::new(entry),
                |node| Node {
                    entry: Arc::clone(entry),
                    ..node
                },
            );
            nodes.insert(entry.endpoint.clone(), node);
        }

        self.nodes = nodes;
    }

    /// Returns the number of jobs in progress.
    pub fn jobs(&self) -> usize {
        self.works.len()
    }

    /// Returns the pieces that wait.
    pub fn queued(&self) -> usize {
        self.works.values().map(|work| work.waiting).sum()
    }

    /// Returns the state of the pool, for logs and metrics.
    pub fn summary(&self, now: Time) -> Summary {
        let nodes = self.nodes.values();
        let pieces = || self.works.values().flat_map(|work| &work.pieces);

        Summary {
            backlog: self.backlog(now),
            calls: self.calls.len(),
            idle: self.idle(now),
            jobs: self.works.len(),
            late: self
                .works
                .values()
                .filter(|work| work.start_by < now)
                .count(),
            nodes: self.nodes.len(),
            paused: nodes.filter(|node| node.health.is_paused(now)).count(),
            queued: self.queued(),
            running: pieces().filter(|piece| piece.running > 0).count(),
            stored_bytes: (self.nodes.values())
                .flat_map(|node| node.stored.values())
                .map(|(bytes, _)| bytes)
                .sum(),
        }
    }

    /// Returns the expected time until a new piece would start.
    pub fn backlog(&self, now: Time) -> Duration {
        let rate = self.rate(now);

        if rate <= 0.0 {
            return self.call_time(self.pool.batch);
        }

        let waiting = self
            .queued()
            .saturating_sub(self.idle(now) * self.pool.batch);
        Duration::from_secs_f64(waiting as f64 / rate)
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
    pub fn freed(
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
    pub fn finish(&mut self, now: Time, call: CallId, ending: Ending, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&call) else {
            return;
        };

        self.judge(now, &call, &ending);
        self.store(now, &call, &ending);
        let mut touched = HashSet::new();
        let mut unused = Vec::new();

        for (index, (id, piece)) in call.items.iter().enumerate() {
            let result = match &ending {
                Ending::Answered(results) => {
                    results.get(index).cloned().unwrap_or(piece::Result::Failed)
                }
                _ => piece::Result::Failed,
            };
            let arrived = !matches!(ending, Ending::Unreachable);
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
                (piece::Result::Room, None) => {
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

    fn hedge(&mut self, now: Time) {
        for call in self.calls.values_mut() {
            let elapsed = now.since(call.sent);
            let bound = call.expected.mul_f64(STRAGGLER) + STRAGGLER_MARGIN;

            if call.straggles || elapsed < bound {
                continue;
            }

            call.straggles = true;

            if let Some(node) = self.nodes.get_mut(&call.endpoint) {
                let ratio = elapsed.as_secs_f64() / call.expected.as_secs_f64();
                node.health.outlast(ratio);
                node.health.fail(now);
            }

            for (id, piece) in &call.items {
                if let Some(work) = self.works.get_mut(id) {
                    let slot = &work.pieces[*piece];
                    let again = slot.output.is_none() && slot.attempts < ATTEMPTS;
                    work.queue(*piece, again);
                }
            }
        }
    }

    /// Accounts for the outputs that a call has made.
    fn store(&mut self, now: Time, call: &Call, ending: &Ending) {
        let Some(node) = self.nodes.get_mut(&call.endpoint) else {
            return;
        };
        node.reserved = node.reserved.saturating_sub(call.bytes.iter().sum());

        if let Ending::Answered(results) = ending {
            for (result, bytes) in results.iter().zip(&call.bytes) {
                if let piece::Result::Done(handle) = result {
                    let expiry = now + self.pool.retention;
                    node.stored.insert(handle.clone(), (*bytes, expiry));
                }
            }

            if results.contains(&piece::Result::Room) {
                node.foreign = (node.own_room(&self.pool), now);
            }
        }
    }

    fn judge(&mut self, now: Time, call: &Call, ending: &Ending) {
        let Some(node) = self.nodes.get_mut(&call.endpoint) else {
            return;
        };
        node.calls = node.calls.saturating_sub(1);

        match ending {
            Ending::Answered(_) => {
                let elapsed = now.since(call.sent).as_secs_f64();
                node.health.succeed(elapsed / call.expected.as_secs_f64());
            }
            Ending::Broken => {
                node.health.fail(now);
            }
            Ending::Full => node.health.full(now),
            Ending::Replaced | Ending::Unreachable => node.health.unreachable(now),
        }
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

    /// Fills the endpoints that have a free place.
    fn pump(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut passed = Vec::new();

        while let Some(endpoint) = self.free(now, &passed) {
            if self.queued() == 0 {
                return;
            }

            if !self.send(now, &endpoint, actions) {
                passed.push(endpoint);
            }
        }
    }

    /// Returns the endpoint that takes the next call, none of `passed`, which
    /// have no room for any piece that waits.
    fn free(&self, now: Time, passed: &[id::Endpoint]) -> Option<id::Endpoint> {
        let slots = self.pool.slots;
        let usable = self.nodes.values().filter(|node| {
            !node.entry.leaving
                && node.calls < slots
                && !node.health.is_paused(now)
                && !passed.contains(&node.entry.endpoint)
        });
        let usable = usable.collect::<Vec<&Node>>();

        if usable.len() < 2 {
            return usable.first().map(|node| node.entry.endpoint.clone());
        }

        let next = self.next_domain(now);

        usable
            .into_iter()
            .min_by_key(|node| {
                let away = next.as_ref().is_some_and(|next| *next != node.entry.domain);
                let slowness = (node.health.slowness() * 4.0) as u64;
                (node.health.is_slow(), away, slowness)
            })
            .map(|node| node.entry.endpoint.clone())
    }

    /// Returns the domain of the piece that is first in order.
    fn next_domain(&self, now: Time) -> Option<id::Domain> {
        let works = self.works.values().filter(|work| work.waiting > 0);
        let first = works.min_by_key(|work| rank(work, now, None))?;
        first.job.domain.clone()
    }

    fn send(&mut self, now: Time, endpoint: &id::Endpoint, actions: &mut Vec<Action>) -> bool {
        let Some(entry) = self.nodes.get(endpoint).map(|node| Arc::clone(&node.entry)) else {
            return false;
        };
        let chosen = self.choose(now, &entry);

        if chosen.is_empty() {
            return false;
        }

        let items = chosen
            .iter()
            .map(|(id, piece)| {
                let work = &self.works[id];
                Item {
                    input: work.job.input.clone(),
                    piece: work.job.pieces[*piece],
                    remaining: work.deadline.since(now),
                    request: work.job.request.clone(),
                    stage: work.job.stage,
                }
            })
            .collect::<Vec<Item>>();
        let sizes = chosen.iter().map(|(id, _)| self.works[id].output_bytes);
        let bytes = sizes.collect::<Vec<u64>>();
        let longest = items.iter().map(|item| item.remaining).max();
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(
            call,
            Call {
                bytes: bytes.clone(),
                endpoint: endpoint.clone(),
                expected: self.call_time(items.len()),
                items: chosen,
                sent: now,
                straggles: false,
            },
        );

        if let Some(node) = self.nodes.get_mut(endpoint) {
            node.calls += 1;
            node.reserved += bytes.iter().sum::<u64>();
        }

        actions.push(Action::Send {
            call,
            entry,
            items,
            timeout: longest.unwrap_or_default(),
        });
        true
    }

    /// Takes the pieces of the next call out of the queue.
    fn choose(&mut self, now: Time, entry: &Entry) -> Vec<(JobId, usize)> {
        let mut order = self
            .works
            .values()
            .filter(|work| work.waiting > 0)
            .map(|work| (rank(work, now, Some(&entry.domain)), work.job.id.clone()))
            .collect::<Vec<_>>();
        order.sort();
        let mut chosen = Vec::new();
        let node = self.nodes.get(&entry.endpoint);
        let mut room = node.map_or(0, |node| node.room(now, &self.pool));

        let domains = self.open_domains(now);
        let crowded = self.is_crowded();

        for (_, id) in order {
            let work = self.works.get_mut(&id).expect("the job was just listed");

            if !crowded && work.waits_for_domain(now, &entry.domain, &domains) {
                continue;
            }

            for index in 0..work.pieces.len() {
                if chosen.len() >= self.pool.batch {
                    return chosen;
                }

                let output_bytes = work.output_bytes;
                let piece = &mut work.pieces[index];

                if !piece.queued || output_bytes > room {
                    continue;
                }

                let again = piece.attempts > 0;

                if again && !self.budget.take(now, &self.bounds, self.hosts, 1) {
                    continue;
                }

                piece.attempts += 1;
                piece.running += 1;
                work.queue(index, false);
                room -= output_bytes;
                chosen.push((id.clone(), index));
            }
        }

        chosen
    }

    /// Returns whether so much waits that every free place is worth more than
    /// the way between domains.
    fn is_crowded(&self) -> bool {
        let round = self.nodes.len() * self.pool.slots * self.pool.batch;
        self.queued() as f64 > round as f64 * CROWDED
    }

    /// Returns the domains with an endpoint that takes calls.
    fn open_domains(&self, now: Time) -> Vec<id::Domain> {
        let open = self.nodes.values().filter(|node| {
            !node.entry.leaving && !node.health.is_paused(now) && !node.health.is_slow()
        });
        open.map(|node| node.entry.domain.clone()).collect()
    }

    fn call_time(&self, pieces: usize) -> Duration {
        let pieces = u32::try_from(pieces.min(self.pool.batch)).unwrap_or(u32::MAX);
        self.pool.call + self.pool.item * pieces
    }

    fn idle(&self, now: Time) -> usize {
        let free = |node: &&Node| {
            !node.entry.leaving && node.calls < self.pool.slots && !node.health.is_paused(now)
        };
        self.nodes.values().filter(free).count()
    }

    /// Returns the pieces a second that the pool does with full calls.
    fn rate(&self, now: Time) -> f64 {
        let usable = |node: &&Node| !node.entry.leaving && !node.health.is_paused(now);
        let places = self.nodes.values().filter(usable).count() * self.pool.slots;
        let call = self.call_time(self.pool.batch).as_secs_f64();
        places as f64 * self.pool.batch as f64 / call.max(0.001)
    }

    /// Returns the expected time until a job would start, given what goes
    /// before it.
    fn backlog_before(&self, now: Time, job: &Job) -> Duration {
        let rate = self.rate(now);

        if rate <= 0.0 {
            return Duration::ZERO;
        }

        let before = self
            .works
            .values()
            .filter(|work| work.start_by > now && work.job.priority <= job.priority)
            .map(|work| work.waiting)
            .sum::<usize>();
        let waiting = before.saturating_sub(self.idle(now) * self.pool.batch);
        Duration::from_secs_f64(waiting as f64 / rate)
    }
}

/// Orders jobs: those that can meet their goal first, then by priority and by
/// the time at which they have to start.
fn rank(work: &Work, now: Time, domain: Option<&id::Domain>) -> (bool, bool, u8, Time) {
    let late = work.start_by < now;
    let away = domain.is_some() && work.job.domain.is_some() && work.job.domain.as_ref() != domain;
    let penalty = if away { DOMAIN_PENALTY } else { Duration::ZERO };
    let due = if late { work.deadline } else { work.start_by };
    // The outputs of a job that has begun take room until its last one is made.
    let begun = work.has_begun();
    (late, !begun, work.job.priority, due + penalty)
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
