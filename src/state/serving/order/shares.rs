//! The usual shares of teams in the work of a pool, and how far a team is above
//! its share.

use {
    crate::state::{clock::Time, id},
    std::{collections::HashMap, time::Duration},
};

/// Time in which the weight of recorded work falls to 1/e. Several times as long
/// as a burst, so that a burst changes what is usual only slowly.
const MEMORY: Duration = Duration::from_secs(30);

/// Interval between updates of the weights.
const DECAY_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the first record before which no share is known. Shorter periods
/// show a burst rather than what is usual.
const MIN_HISTORY: Duration = Duration::from_secs(3);

/// Share of all work that one team has to have to be remembered once the weights
/// decay.
const MIN_SHARE: f64 = 1e-4;

/// Maximum number of teams; the work of further ones counts as that of requests
/// without a team.
const MAX_TEAMS: usize = 1024;

/// Multiple of its usual share, plus a part of all work, up to which a team is not
/// above its share. The queue is a small sample of the work that arrives.
const SHARE_FACTOR: f64 = 1.1;
const SHARE_SLACK: f64 = 0.05;

/// The usual share of each team.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    decayed: Time,
    first: Option<Time>,
    teams: HashMap<id::Team, f64>,
    total: f64,
}

impl Shares {
    /// Records work that has arrived.
    pub fn record(&mut self, now: Time, team: Option<&id::Team>, work: f64) {
        if !(work > 0.0 && work.is_finite()) {
            return;
        }

        if self.first.is_none() {
            self.first = Some(now);
            self.decayed = now;
        }

        if now.since(self.decayed) >= DECAY_INTERVAL {
            self.decay(now);
        }

        self.total += work;

        if let Some(team) = team {
            self.add(team, work);
        }
    }

    fn add(&mut self, team: &id::Team, work: f64) {
        if let Some(weight) = self.teams.get_mut(team) {
            *weight += work;
        } else if self.teams.len() < MAX_TEAMS {
            self.teams.insert(team.clone(), work);
        }
    }

    fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.decayed).as_secs_f64();
        let factor = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.decayed = now;
        self.total *= factor;
        let min = self.total * MIN_SHARE;
        self.teams.retain(|_, weight| {
            *weight *= factor;
            *weight > min
        });
    }

    /// Returns the share of a team, or `None` while it is unknown.
    fn share(&self, team: Option<&id::Team>) -> Option<f64> {
        let first = self.first?;

        if self.decayed.since(first) < MIN_HISTORY || self.total <= 0.0 {
            return None;
        }

        let weight = match team {
            Some(team) => self.teams.get(team).copied().unwrap_or_default(),
            None => self.total - self.teams.values().sum::<f64>(),
        };
        Some(weight / self.total)
    }
}

/// The planned work of each team.
pub(super) struct Demand<'a> {
    shares: &'a Shares,
    teams: HashMap<Option<&'a id::Team>, usize>,
    total: f64,
    /// Usual share and planned work, by the index of the team.
    work: Vec<(Option<f64>, f64)>,
}

impl<'a> Demand<'a> {
    pub(super) fn new(shares: &'a Shares) -> Self {
        Self {
            shares,
            teams: HashMap::new(),
            total: 0.0,
            work: Vec::new(),
        }
    }

    /// Adds planned work and returns the index of its team.
    pub(super) fn add(&mut self, team: Option<&'a id::Team>, work: f64) -> usize {
        let index = *self.teams.entry(team).or_insert_with(|| {
            self.work.push((self.shares.share(team), 0.0));
            self.work.len() - 1
        });
        self.work[index].1 += work;
        self.total += work;
        index
    }

    /// Removes planned work.
    pub(super) fn remove(&mut self, team: usize, work: f64) {
        self.work[team].1 -= work;
        self.total -= work;
    }

    /// Returns the work by which a team is clearly above its usual share; zero if
    /// it is not, or if its share is unknown.
    pub(super) fn excess(&self, team: usize) -> f64 {
        let (share, work) = self.work[team];
        let usual = |share: f64| (share * SHARE_FACTOR + SHARE_SLACK) * self.total;
        share.map_or(0.0, |share| (work - usual(share)).max(0.0))
    }
}
