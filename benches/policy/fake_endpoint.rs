//! A model of an endpoint with continuous batching, whose time per step grows
//! with the batch, and with a prefix cache of limited size.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time per step of a batch with one call.
const STEP_MS: f64 = 8.0;
/// Fraction of [`STEP_MS`] that each further call adds to the time per step.
const BATCH_GROWTH: f64 = 0.08;
/// Number of prompt tokens that one step prefills.
const PREFILL_PER_STEP: f64 = 25.0;
/// Number of tokens of a shared prefix.
pub const PREFIX_TOKENS: f64 = 800.0;
/// Number of tokens of a prompt after its shared prefix.
pub const PROMPT_TOKENS: f64 = 200.0;
/// Number of prefixes that a cache holds.
const CACHE_PREFIXES: usize = 12;

/// Identifies a call by the host and its attempt.
pub type Key = (usize, u64);

/// The work of a call.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub key: Key,
    pub prefix: Option<u64>,
    /// Service time of a call that generates no tokens.
    pub service_ms: Option<f64>,
    pub tokens: u32,
}

/// A call in the batch.
#[derive(Clone, Copy, Debug)]
struct Running {
    end: f64,
    prefill: f64,
    since_ms: f64,
    start: f64,
}

/// The resources that a call used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    pub seconds: f64,
    pub tokens: f64,
}

/// A prefix that was stored in or evicted from the cache.
#[derive(Clone, Copy, Debug)]
pub struct CacheChange {
    pub prefix: u64,
    pub sequence: u64,
    pub stored: bool,
}

/// A fake endpoint. `steps` counts the steps of the batch, including
/// fractions; the ends of calls are given in steps.
#[derive(Debug)]
pub struct FakeEndpoint {
    cache: VecDeque<u64>,
    pub changes: Vec<CacheChange>,
    pub dead: bool,
    ends: BTreeSet<(u64, Key)>,
    engine: bool,
    /// Incremented whenever the time of the next completion may change.
    pub generation: u64,
    limit: usize,
    queue: VecDeque<Job>,
    running: BTreeMap<Key, Running>,
    sequence: u64,
    pub slowdown: f64,
    steps: f64,
    updated_ms: f64,
}

impl FakeEndpoint {
    pub fn new(engine: bool, limit: usize) -> Self {
        Self {
            cache: VecDeque::new(),
            changes: Vec::new(),
            dead: false,
            ends: BTreeSet::new(),
            engine,
            generation: 0,
            limit,
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            sequence: 0,
            slowdown: 1.0,
            steps: 0.0,
            updated_ms: 0.0,
        }
    }

    /// Adds a call to the queue and returns the calls that started.
    pub fn add(&mut self, now_ms: f64, job: Job) -> Vec<Key> {
        self.advance(now_ms);
        self.queue.push_back(job);
        self.start_queued(now_ms)
    }

    /// Cancels a call and returns its cost and the calls that started instead.
    pub fn cancel(&mut self, now_ms: f64, key: Key) -> (Cost, Vec<Key>) {
        self.advance(now_ms);
        self.queue.retain(|job| job.key != key);
        let cost = self.stop(now_ms, key);
        (cost, self.start_queued(now_ms))
    }

    /// Stops the endpoint and returns the calls that it had queued or started.
    pub fn crash(&mut self, now_ms: f64) -> Vec<Key> {
        self.advance(now_ms);
        self.dead = true;
        self.generation += 1;
        self.ends.clear();
        let queued = self.queue.drain(..).map(|job| job.key);
        let running = std::mem::take(&mut self.running).into_keys();
        running.chain(queued).collect()
    }

    /// Removes completed calls and returns them with their costs, and the calls
    /// that started.
    pub fn finish(&mut self, now_ms: f64) -> (Vec<(Key, Cost)>, Vec<Key>) {
        self.advance(now_ms);
        let mut done = Vec::new();

        while let Some((end, key)) = self.ends.first().copied()
            && f64::from_bits(end) <= self.steps + 1e-6
        {
            done.push((key, self.stop(now_ms, key)));
        }

        (done, self.start_queued(now_ms))
    }

    /// Returns the numbers of queued and of running calls.
    pub fn load(&self) -> (usize, usize) {
        (self.queue.len(), self.running.len())
    }

    /// Returns the time at which the next call completes.
    pub fn next_end_ms(&self) -> Option<f64> {
        let (end, _) = self.ends.first()?;
        let left = (f64::from_bits(*end) - self.steps).max(0.0);
        Some(self.updated_ms + left * self.step_ms())
    }

    pub fn set_slowdown(&mut self, now_ms: f64, slowdown: f64) {
        self.advance(now_ms);
        self.slowdown = slowdown;
        self.generation += 1;
    }

    /// Advances the batch to the given time.
    fn advance(&mut self, now_ms: f64) {
        self.steps += (now_ms - self.updated_ms).max(0.0) / self.step_ms();
        self.updated_ms = now_ms;
    }

    /// Returns whether a prefix is cached and makes it the most recently used.
    fn lookup_prefix(&mut self, prefix: Option<u64>) -> bool {
        let Some(prefix) = prefix else {
            return false;
        };

        if let Some(position) = self.cache.iter().position(|cached| *cached == prefix) {
            self.cache.remove(position);
            self.cache.push_back(prefix);
            return true;
        }

        self.cache.push_back(prefix);
        self.record_change(prefix, true);

        if self.cache.len() > CACHE_PREFIXES
            && let Some(evicted) = self.cache.pop_front()
        {
            self.record_change(evicted, false);
        }

        false
    }

    /// Starts queued calls up to the limit of the batch and returns them.
    fn start_queued(&mut self, now_ms: f64) -> Vec<Key> {
        let mut started = Vec::new();
        self.generation += 1;

        while self.running.len() < self.limit
            && let Some(job) = self.queue.pop_front()
        {
            let prefill = match (self.engine, self.lookup_prefix(job.prefix)) {
                (false, _) => 0.0,
                (true, true) => PROMPT_TOKENS,
                (true, false) => PREFIX_TOKENS + PROMPT_TOKENS,
            };
            let steps = match job.service_ms {
                Some(millis) => millis / STEP_MS,
                None => prefill / PREFILL_PER_STEP + f64::from(job.tokens),
            };
            let end = self.steps + steps.max(1e-3);
            self.ends.insert((end.to_bits(), job.key));
            self.running.insert(
                job.key,
                Running {
                    end,
                    prefill,
                    since_ms: now_ms,
                    start: self.steps,
                },
            );
            started.push(job.key);
        }

        started
    }

    fn record_change(&mut self, prefix: u64, stored: bool) {
        self.sequence += 1;
        self.changes.push(CacheChange {
            prefix,
            sequence: self.sequence,
            stored,
        });
    }

    fn step_ms(&self) -> f64 {
        let others = self.running.len().saturating_sub(1) as f64;
        STEP_MS * (1.0 + BATCH_GROWTH * others) * self.slowdown
    }

    fn stop(&mut self, now_ms: f64, key: Key) -> Cost {
        let Some(running) = self.running.remove(&key) else {
            return Cost::default();
        };

        self.ends.remove(&(running.end.to_bits(), key));
        let steps = self.steps - running.start;
        let prefill_steps = running.prefill / PREFILL_PER_STEP;
        let generated = (steps - prefill_steps).max(0.0);

        Cost {
            seconds: (now_ms - running.since_ms) / 1000.0,
            tokens: if self.engine {
                generated + running.prefill.min(steps * PREFILL_PER_STEP)
            } else {
                0.0
            },
        }
    }
}
