//! Balances the prompts of the whole fleet over the engines of one service.
//!
//! A single host sees too few requests to know how busy an engine is, and the
//! time that an engine needs for a prompt varies a hundredfold. One host
//! therefore chooses the engines for all hosts. It counts the prompt tokens that
//! each engine still has to read and remembers the prefixes that it has read
//! before. A prompt goes to the engine that is expected to reach its end first.

mod admission;
mod cold;
mod engine;
mod flow;
mod prompt;
mod queue;
mod report;
mod room;
mod runs;
mod speed;
mod speeds;

pub use {
    admission::Occupancy,
    cold::Later,
    prompt::{Answer, Choice, Part, Prompt, Terms, session},
    report::{Finding, Report},
    room::Limits,
    speeds::SpeedChange,
};

use {
    self::{admission::Admission, engine::Engine, runs::Runs, speed::Reference},
    crate::state::{
        clock::Time,
        id, rendezvous,
        serving::{cold::Pacer, piece::JobId, quarantine::Evidence, roster::Entry},
    },
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Tokens that are added to the work of each prompt: the engine's fixed time
/// until a first event, in prompt tokens.
const FIXED_TOKENS: u64 = 1500;

/// Tokens that are added at engines in another failure domain than the inputs.
const OTHER_DOMAIN_TOKENS: u64 = 3000;

/// Weight of a token that an engine has to read for the prompt, relative to one
/// that it reads for others before: reading a prefix again also takes time from
/// later prompts, and memory from the prefixes of other sessions.
const UNREAD_WEIGHT: u64 = 5;

/// Share of an engine's memory that cached prefixes are assumed to take. The
/// running requests take the rest.
const CACHE_SHARE: f64 = 0.6;

/// Time after which a prompt without a report is forgotten: its host has ended,
/// or the report was lost.
const REPORT_TIMEOUT: Duration = Duration::from_secs(6);

/// Weight of the newest prompt in the moving average of the time until a first
/// event.
const TYPICAL_WEIGHT: f64 = 0.05;

/// Bounds of an engine's time for a prompt, relative to that of the service.
const RATIO_BOUNDS: (f64, f64) = (0.5, 10.0);

/// A prompt that was placed and has no first event yet.
#[derive(Clone, Debug)]
struct Pending {
    endpoint: id::Endpoint,
    entry: Arc<Entry>,
    placed: Time,
    /// Tokens that the engine had to read for the prompt.
    tokens: u64,
    /// Tokens ahead of the first event, including those of other prompts.
    work: u64,
}

/// Chooses the engines of one service.
#[derive(Debug, Default)]
pub struct Balancer {
    /// The room at the engines and who waits for it; `None` unless room is counted.
    admission: Option<Admission>,
    /// Tokens that fit into an engine's memory.
    capacity: u64,
    /// The prompts at cold engines.
    cold: Pacer,
    engines: BTreeMap<id::Endpoint, Engine>,
    evidence: Evidence,
    /// Mean time until a first event over all engines, in seconds, by the
    /// binary logarithm of the tokens ahead of the event.
    typical: BTreeMap<u32, f64>,
    pending: HashMap<JobId, Pending>,
    /// Time that the engines need; `None` unless their speeds are estimated.
    reference: Option<Reference>,
    /// Prompts by the time at which they were placed.
    placed: VecDeque<(Time, JobId)>,
    runs: Runs,
    speed_changes: Vec<SpeedChange>,
}

impl Balancer {
    /// Updates the listed engines and the number of tokens that fit into the
    /// memory of each. What is known about an engine is kept as long as its
    /// incarnation stays the same.
    pub fn update<'a>(&mut self, entries: impl Iterator<Item = &'a Arc<Entry>>, capacity: u64) {
        self.capacity = capacity;
        let mut engines = BTreeMap::new();

        for entry in entries {
            let previous = self.engines.remove(&entry.endpoint);
            let unchanged = previous.filter(|engine| engine.incarnation == entry.incarnation);
            let mut engine = unchanged.unwrap_or_else(|| Engine {
                incarnation: entry.incarnation,
                ..Engine::default()
            });
            engine.leaving = entry.leaving;
            engines.insert(entry.endpoint.clone(), engine);
        }

        self.engines = engines;
    }

    /// Chooses the engine of a prompt, or `None` if all engines are leaving,
    /// excluded or cold without a slot. Paused engines are used only when no other
    /// one is left.
    pub fn place<'a>(
        &mut self,
        now: Time,
        entries: impl Iterator<Item = &'a Arc<Entry>>,
        prompt: &Prompt,
    ) -> Option<&'a Arc<Entry>> {
        self.expire(now);
        let (entry, _) = self.choose(now, entries, prompt)?;
        self.record_placement(now, entry, prompt);
        Some(entry)
    }

    /// Returns the engine that is best for a prompt, and whether it has room. Engines
    /// with room come before those without.
    fn choose<'a>(
        &self,
        now: Time,
        entries: impl Iterator<Item = &'a Arc<Entry>>,
        prompt: &Prompt,
    ) -> Option<(&'a Arc<Entry>, bool)> {
        let open = entries
            .filter(|entry| !entry.leaving && !prompt.exclude.contains(&entry.endpoint))
            .collect::<Vec<&Arc<Entry>>>();
        let open = self.with_slot(now, open);
        let presumed = self.presumed_engine(&open, prompt);
        let ranked = open.into_iter().map(|entry| {
            let rank = self.rank(now, entry, prompt, presumed.as_ref());
            (rank, entry)
        });
        let ((_, is_full, _), entry) = ranked.min_by_key(|(rank, _)| *rank)?;
        Some((entry, !is_full))
    }

    fn update_engine(&mut self, now: Time, pending: &Pending, report: Report) {
        let Some(engine) = self.engines.get_mut(&pending.endpoint) else {
            return;
        };
        engine.pending = engine.pending.saturating_sub(pending.tokens);
        engine.speed.forget(pending.placed);

        match report {
            Report::Abandoned | Report::Ended => {}
            Report::Failed | Report::Lost => {
                engine.health.record_failure(now);
            }
            Report::Full => engine.health.record_full(now),
            Report::Unreachable => engine.health.record_unreachable(now),
            Report::Started => {
                let elapsed = now.since(pending.placed).as_secs_f64();
                let size = pending.work.max(1).ilog2();
                let typical = self.typical.entry(size).or_insert(elapsed);
                *typical += TYPICAL_WEIGHT * (elapsed - *typical);
                let (low, high) = RATIO_BOUNDS;
                let ratio = (elapsed / typical.max(f64::MIN_POSITIVE)).clamp(low, high);
                engine.health.record_success(ratio);
                self.record_speed(now, pending);
            }
        }
    }

    /// Returns the number of prompts without a first event.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the engine that presumably holds the prefix of a session that is
    /// new to this balancer: the one to which the balancers before, and hosts
    /// that choose alone, send it unless that engine is busy.
    fn presumed_engine(&self, open: &[&Arc<Entry>], prompt: &Prompt) -> Option<id::Endpoint> {
        let session = session(&prompt.parts)?;
        let mut engines = self.engines.values();

        if engines.any(|engine| engine.cached.contains_key(&session)) {
            return None;
        }

        let entry = open
            .iter()
            .max_by_key(|entry| rendezvous::weight(&session, &entry.endpoint.as_str()))?;
        Some(entry.endpoint.clone())
    }

    /// Returns the sort key of an engine for a prompt, best first: the expected
    /// time until the end of the prompt, in tokens. The `presumed` engine counts
    /// as holding the prefix.
    fn rank(
        &self,
        now: Time,
        entry: &Entry,
        prompt: &Prompt,
        presumed: Option<&id::Endpoint>,
    ) -> (bool, bool, u64) {
        let Some(engine) = self.engines.get(&entry.endpoint) else {
            return (true, true, u64::MAX);
        };
        let elsewhere = (prompt.domain.as_ref()).is_some_and(|domain| *domain != entry.domain);
        let distance = if elsewhere { OTHER_DOMAIN_TOKENS } else { 0 };
        let own = prompt.parts.last().map_or(0, |part| u64::from(part.tokens));
        let shared = if presumed == Some(&entry.endpoint) {
            0
        } else {
            engine.unread(prompt).saturating_sub(own) * UNREAD_WEIGHT
        };
        let work = engine.pending + own + shared + FIXED_TOKENS + distance;
        let slowness = self.slowness(now, engine);
        let cost = work as f64 * slowness;
        let is_full = !self.has_room(entry, engine, prompt);
        (engine.health.is_paused(now), is_full, cost as u64)
    }

    fn record_placement(&mut self, now: Time, entry: &Arc<Entry>, prompt: &Prompt) {
        // An id that occurs twice must not leave the tokens of the first prompt pending.
        self.abandon(now, &prompt.id);
        self.release(now, &prompt.id);
        let Some(engine) = self.engines.get_mut(&entry.endpoint) else {
            return;
        };
        let tokens = engine.unread(prompt) + FIXED_TOKENS;
        let work = engine.pending + tokens;
        engine.pending = work;
        let limit = (self.capacity as f64 * CACHE_SHARE) as u64;
        engine.remember(now, prompt, limit);

        if let Some(reference) = &self.reference {
            reference.expect(now, &mut engine.speed, tokens);
        }

        if let Some(admission) = &mut self.admission {
            admission.hold(now, &mut engine.room, entry, prompt);
        }

        self.cold.record_request(now, entry);
        self.runs.add(now, entry, prompt);
        self.placed.push_back((now, prompt.id.clone()));
        self.pending.insert(
            prompt.id.clone(),
            Pending {
                endpoint: entry.endpoint.clone(),
                entry: Arc::clone(entry),
                placed: now,
                tokens,
                work,
            },
        );
    }

    /// Forgets prompts whose report has not arrived in time.
    fn expire(&mut self, now: Time) {
        self.sweep_runs(now);

        while let Some((placed, id)) = self.placed.front()
            && now.since(*placed) > REPORT_TIMEOUT
        {
            let (placed, id) = (*placed, id.clone());
            self.placed.pop_front();

            if self
                .pending
                .get(&id)
                .is_some_and(|pending| pending.placed == placed)
                && let Some(pending) = self.pending.remove(&id)
            {
                self.update_engine(now, &pending, Report::Abandoned);
            }
        }
    }
}
