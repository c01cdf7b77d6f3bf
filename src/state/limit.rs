//! Enforces the concurrency and rate limits of teams across all hosts.

use {
    crate::state::{class::Class, clock::Time, event::Demand, id},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Capacity of a rate limit's bucket, in seconds at the full rate.
const BURST_SECONDS: f64 = 0.25;

/// Time constant for smoothing this host's demand; roughly the age of the
/// demand that peers report.
const SMOOTHING_SECONDS: f64 = 3.0;

/// The token bucket of one rate limit.
#[derive(Debug)]
struct Bucket {
    refilled_at: Time,
    tokens: f64,
}

/// A team, or one of the team's classes that the settings define.
type Key = (id::Team, Option<id::Class>);

/// The result of checking a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request is within the limit.
    Allowed,
    /// The request exceeds the limit; a retry after this time may succeed.
    Over(Duration),
}

/// This host's share of the teams' limits.
///
/// With `o` requests of a team in progress here and `p` on the peers, this
/// host may use `(o + 1) / (o + 1 + p)` of each limit, rounded up, and at
/// least one request, so that an idle host can admit its first.
///
/// The overshoot of a limit `L` on `H` hosts is bounded: with up-to-date
/// reports the hosts' quotas sum to at most `L + 2 H`. Between two reports a
/// host can admit at most `L`, so hosts that all start from idle within one
/// report interval admit at most `H L` together, until the next report.
#[derive(Debug, Default)]
pub struct Limits {
    buckets: HashMap<Key, Bucket>,
    classes: HashMap<(id::Team, id::Class), u32>,
    /// Demand of each peer.
    hosts: Vec<Demand>,
    /// Number of requests in progress on this host.
    own: u32,
    /// Time of the last update of `own_smoothed`.
    own_at: Time,
    /// Smoothed number of requests in progress on this host.
    own_smoothed: f64,
    peers: BTreeMap<id::Team, u32>,
    peers_total: u64,
    teams: Demand,
}

impl Limits {
    /// Checks a request against the concurrency limits of its team and class.
    ///
    /// `team_limit` applies to the team as a whole, `class_limit` to a class that
    /// the settings define.
    pub fn admit(
        &self,
        team: &id::Team,
        class: &id::Class,
        team_limit: &Class,
        class_limit: Option<&Class>,
    ) -> Decision {
        let own = self.teams.get(team).copied().unwrap_or(0);
        let fraction = self.fraction(team);

        if !within_limit(own, team_limit.concurrency, fraction) {
            return Decision::Over(Duration::from_secs(1));
        }

        let key = (team.clone(), class.clone());
        let own = self.classes.get(&key).copied().unwrap_or(0);

        match class_limit {
            Some(limit) if !within_limit(own, limit.concurrency, fraction) => {
                Decision::Over(Duration::from_secs(1))
            }
            _ => Decision::Allowed,
        }
    }

    /// Counts the start of a request.
    pub fn begin(&mut self, now: Time, team: &id::Team, class: &id::Class) {
        self.update_smoothed(now);
        self.own += 1;
        *self.teams.entry(team.clone()).or_insert(0) += 1;
        let key = (team.clone(), class.clone());
        *self.classes.entry(key).or_insert(0) += 1;
    }

    /// Returns the number of requests in progress by team.
    pub fn demand(&self) -> &Demand {
        &self.teams
    }

    /// Counts the end of a request.
    pub fn end(&mut self, now: Time, team: &id::Team, class: &id::Class) {
        self.update_smoothed(now);
        self.own = self.own.saturating_sub(1);

        if let Some(count) = self.teams.get_mut(team) {
            *count -= 1;

            if *count == 0 {
                self.teams.remove(team);
            }
        }

        let key = (team.clone(), class.clone());

        if let Some(count) = self.classes.get_mut(&key) {
            *count -= 1;

            if *count == 0 {
                self.classes.remove(&key);
            }
        }
    }

    /// Drops the token buckets of teams and classes for which `keep` returns
    /// `false`.
    pub fn retain(&mut self, keep: impl Fn(&id::Team, Option<&id::Class>) -> bool) {
        self.buckets
            .retain(|(team, class), _| keep(team, class.as_ref()));
    }

    /// Replaces the peers' demand. Takes time only for peers whose demand changed.
    pub fn report(&mut self, hosts: Vec<Demand>) {
        let host_count = self.hosts.len().max(hosts.len());
        let none = Demand::new();

        for index in 0..host_count {
            let before = self.hosts.get(index).unwrap_or(&none);
            let after = hosts.get(index).unwrap_or(&none);

            if before == after {
                continue;
            }

            for (team, count) in before {
                self.peers_total -= u64::from(*count);

                if let Some(total) = self.peers.get_mut(team) {
                    *total -= count;

                    if *total == 0 {
                        self.peers.remove(team);
                    }
                }
            }

            for (team, count) in after {
                self.peers_total += u64::from(*count);
                *self.peers.entry(team.clone()).or_insert(0) += count;
            }
        }

        self.hosts = hosts;
    }

    /// Returns this host's fraction of all demand, between 0 and 1.
    ///
    /// This host's demand is smoothed because reports of the peers' demand lag
    /// behind: when demand rises everywhere, each host would otherwise count
    /// only its own rise, and the fractions would sum to far more than one.
    pub fn share(&self, now: Time) -> f64 {
        let own = self.smoothed_own(now) + 1.0;
        own / (own + f64::from(u32::try_from(self.peers_total).unwrap_or(u32::MAX)))
    }

    /// Consumes a token of a rate limit if one is available. `rate` is in requests
    /// per second over all hosts; 0 means unlimited.
    pub fn spend(
        &mut self,
        now: Time,
        team: &id::Team,
        class: Option<&id::Class>,
        rate: u32,
    ) -> Decision {
        if rate == 0 {
            return Decision::Allowed;
        }

        let rate = f64::from(rate) * self.fraction(team);
        let capacity = (rate * BURST_SECONDS).max(1.0);
        let bucket = self
            .buckets
            .entry((team.clone(), class.cloned()))
            .or_insert(Bucket {
                refilled_at: now,
                tokens: capacity,
            });

        let refill = now.since(bucket.refilled_at).as_secs_f64() * rate;
        bucket.tokens = (bucket.tokens + refill).min(capacity);
        bucket.refilled_at = now;

        if bucket.tokens < 1.0 {
            let wait = (1.0 - bucket.tokens) / rate;
            return Decision::Over(Duration::from_secs_f64(wait.min(60.0)));
        }

        bucket.tokens -= 1.0;
        Decision::Allowed
    }

    fn update_smoothed(&mut self, now: Time) {
        self.own_smoothed = self.smoothed_own(now);
        self.own_at = now;
    }

    fn smoothed_own(&self, now: Time) -> f64 {
        let age = now.since(self.own_at).as_secs_f64() / SMOOTHING_SECONDS;
        let own = f64::from(self.own);
        own + (self.own_smoothed - own) * (-age).exp()
    }

    fn fraction(&self, team: &id::Team) -> f64 {
        let own = f64::from(self.teams.get(team).copied().unwrap_or(0)) + 1.0;
        let peers = f64::from(self.peers.get(team).copied().unwrap_or(0));
        own / (own + peers)
    }
}

fn within_limit(own: u32, limit: u32, fraction: f64) -> bool {
    limit == 0 || f64::from(own) < (f64::from(limit) * fraction).ceil().max(1.0)
}
