//! Prompts that wait for room at an engine.
//!
//! Their hosts ask again from time to time; a prompt that is not asked for any more
//! is dropped. Prompts start in the order of `order::plan`: first those that can be
//! on time, then those that cannot, of which the ones about to miss their deadline
//! get up to half of the room.

use {
    crate::state::{
        clock::Time,
        id,
        serving::{
            balance::Prompt,
            order::{self, Candidate, Capacity, Shares, Verdict},
            piece::JobId,
        },
    },
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Minimum time between two plans: planning some hundred prompts for each of 500 a
/// second would take a large part of half a core.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which the first prompts in order ask again. Room stays unused for about
/// half of it.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// Longest time after which a prompt asks again. A thousand waiting prompts ask at most
/// 2500 times a second.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Share of the expected time until a start after which a prompt asks again.
const WAIT_SHARE: f64 = 0.5;

/// Multiple of its wait after which a prompt that is not asked for is dropped.
const WAITS_TO_DROP: u32 = 3;

/// Time before a deadline within which a late prompt gets its last chance.
const LAST_CHANCE_TIME: Duration = Duration::from_millis(600);

/// Share of the room for last chances, before prompts that can be on time.
const LAST_CHANCE_SHARE: f64 = 0.5;

/// Shortest delay after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest delay after which a refused caller may retry, since nothing is known of
/// the load by then.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// A prompt that waits.
#[derive(Clone, Debug)]
struct Entry {
    /// Work that starts before, including its own.
    ahead: f64,
    arrived: u64,
    asked: Time,
    deadline: Time,
    /// Whether it has a place in the order; a new one gets it with the next plan.
    is_planned: bool,
    /// Work of late prompts with an earlier deadline, including its own; `None` while
    /// it can be on time.
    late_ahead: Option<f64>,
    /// Number of prompts that start before.
    position: usize,
    priority: u8,
    start_by: Time,
    team: Option<id::Team>,
    wait: Duration,
    work: f64,
}

/// What a waiting prompt does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Step {
    Refuse(Duration),
    Wait(Duration),
}

/// The prompts that wait for room.
#[derive(Debug, Default)]
pub(super) struct Queue {
    arrivals: u64,
    entries: HashMap<JobId, Entry>,
    /// Time of the last plan, if a prompt has waited since the queue was empty.
    planned: Option<Time>,
    shares: Shares,
    work: f64,
}

impl Queue {
    /// Returns the number of prompts that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no prompt waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a prompt waits.
    pub fn contains(&self, id: &JobId) -> bool {
        self.entries.contains_key(id)
    }

    /// Records work of a team that arrived.
    pub fn record(&mut self, now: Time, prompt: &Prompt, work: f64) {
        self.shares.record(now, prompt.terms.team.as_ref(), work);
    }

    /// Adds a prompt, or records that it was asked for again. It keeps its place.
    pub fn ask(&mut self, now: Time, prompt: &Prompt, work: f64) {
        let terms = &prompt.terms;

        if let Some(entry) = self.entries.get_mut(&prompt.id) {
            entry.asked = now;
            return;
        }

        self.arrivals += 1;
        self.work += work;
        let entry = Entry {
            ahead: self.work,
            arrived: self.arrivals,
            asked: now,
            deadline: now + terms.remaining,
            is_planned: false,
            late_ahead: None,
            position: self.entries.len(),
            priority: terms.priority,
            start_by: now + terms.urgency,
            team: terms.team.clone(),
            wait: PLAN_INTERVAL,
            work,
        };
        self.entries.insert(prompt.id.clone(), entry);
    }

    /// Removes a prompt that got an engine or is refused.
    pub fn remove(&mut self, id: &JobId) {
        if let Some(entry) = self.entries.remove(id) {
            self.work -= entry.work;
            self.move_up(entry.position);
        }

        if self.entries.is_empty() {
            self.work = 0.0;
            self.planned = None;
        }
    }

    /// Moves the prompts behind a position up, so that the plan stays usable.
    fn move_up(&mut self, position: usize) {
        for entry in self.entries.values_mut() {
            if entry.position > position {
                entry.position -= 1;
            }
        }
    }

    /// Plans the prompts again unless that was done just now. `rate` is the work that
    /// can start in a second; 0 if it is unknown.
    pub fn plan(&mut self, now: Time, rate: f64) {
        if (self.planned).is_some_and(|planned| now.since(planned) < PLAN_INTERVAL) {
            return;
        }

        self.drop_stale(now);
        self.planned = Some(now);
        let candidates = self.entries.values().map(|entry| Candidate {
            begun: false,
            deadline: entry.deadline,
            priority: entry.priority,
            start_by: entry.start_by,
            team: entry.team.as_ref(),
            work: entry.work,
        });
        let candidates = candidates.collect::<Vec<Candidate>>();
        let capacity = Capacity { free: 0.0, rate };
        let verdicts = order::plan(now, &candidates, capacity, &self.shares);
        let (on_time, late) = self
            .entries
            .values_mut()
            .zip(verdicts)
            .partition::<Vec<(&mut Entry, Verdict)>, _>(|(_, verdict)| *verdict == Verdict::OnTime);
        arrange(now, entries(on_time), entries(late));
    }

    /// Returns the number of prompts that start before the one with the id.
    pub fn position(&self, id: &JobId) -> usize {
        let entry = self.entries.get(id);
        entry.map_or(self.entries.len(), |entry| entry.position)
    }

    /// Returns what a waiting prompt does next, and removes it if it is refused.
    pub fn step(&mut self, now: Time, id: &JobId, rate: f64) -> Step {
        let Some(entry) = self.entries.get_mut(id) else {
            return Step::Wait(MIN_WAIT);
        };
        let remaining = entry.deadline.since(now);

        if let Some(excess) = entry.excess(remaining, rate) {
            let time = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            // Spread by the id, so that refused callers do not return together.
            let jitter = time.mul_f64((id.number % 512) as f64 / 1024.0);
            self.remove(id);
            return Step::Refuse(time + jitter);
        }

        let expected = if entry.is_planned && rate > 0.0 {
            Duration::try_from_secs_f64(entry.ahead / rate * WAIT_SHARE).unwrap_or(MAX_WAIT)
        } else {
            PLAN_INTERVAL
        };
        entry.wait = expected.clamp(MIN_WAIT, MAX_WAIT).min(remaining);
        Step::Wait(entry.wait.max(MIN_WAIT))
    }

    /// Returns the expected wait of a new prompt.
    pub fn backlog(&self, rate: f64) -> Duration {
        if rate <= 0.0 {
            return Duration::ZERO;
        }

        Duration::try_from_secs_f64(self.work.max(0.0) / rate).unwrap_or_default()
    }

    /// Drops the prompts whose host no longer asks: its caller has left, or it has
    /// ended.
    fn drop_stale(&mut self, now: Time) {
        self.entries.retain(|_, entry| {
            let limit = entry.wait.max(MIN_WAIT) * WAITS_TO_DROP;
            let is_kept = now.since(entry.asked) <= limit;

            if !is_kept {
                self.work -= entry.work;
            }

            is_kept
        });
    }
}

impl Entry {
    /// Returns by how much the prompt would miss its deadline, if it would.
    fn excess(&self, remaining: Duration, rate: f64) -> Option<Duration> {
        if remaining.is_zero() {
            return Some(Duration::ZERO);
        }

        // One that can be on time has a start before its goal.
        let late_ahead = self.late_ahead.filter(|_| rate > 0.0)?;
        let in_order = self.ahead / rate;
        let last_chance = late_ahead / (rate * LAST_CHANCE_SHARE);
        let excess = in_order.min(last_chance) - remaining.as_secs_f64();
        (excess > 0.0).then(|| Duration::try_from_secs_f64(excess).unwrap_or(MAX_RETRY_AFTER))
    }
}

fn entries(planned: Vec<(&mut Entry, Verdict)>) -> Vec<&mut Entry> {
    planned.into_iter().map(|(entry, _)| entry).collect()
}

/// Gives the prompts their positions: last chances alternate with those that can be on
/// time, and the other late ones follow.
fn arrange(now: Time, mut on_time: Vec<&mut Entry>, mut late: Vec<&mut Entry>) {
    on_time.sort_by_key(|entry| (entry.start_by, entry.priority, entry.arrived));
    late.sort_by_key(|entry| (entry.deadline, entry.arrived));
    let mut work = 0.0;

    for entry in &mut late {
        work += entry.work;
        entry.late_ahead = Some(work);
    }

    for entry in &mut on_time {
        entry.late_ahead = None;
    }

    let is_last_chance = |entry: &&mut Entry| entry.deadline.since(now) <= LAST_CHANCE_TIME;
    let (last, mut late) = late
        .into_iter()
        .partition::<Vec<&mut Entry>, _>(is_last_chance);
    late.sort_by_key(|entry| (entry.priority, entry.deadline, entry.arrived));
    let mut on_time = VecDeque::from(on_time);
    let mut last = VecDeque::from(last);
    let mut ordered = Vec::with_capacity(on_time.len() + last.len() + late.len());
    let (mut timely, mut chances) = (0.0, 0.0);

    while !on_time.is_empty() || !last.is_empty() {
        let is_turn = on_time.is_empty() || chances < timely;
        let next = if is_turn { last.pop_front() } else { None };

        if let Some(entry) = next {
            chances += entry.work;
            ordered.push(entry);
        } else if let Some(entry) = on_time.pop_front() {
            timely += entry.work;
            ordered.push(entry);
        }
    }

    ordered.extend(late);
    let mut ahead = 0.0;

    for (position, entry) in ordered.into_iter().enumerate() {
        ahead += entry.work;
        entry.ahead = ahead;
        entry.is_planned = true;
        entry.position = position;
    }
}
