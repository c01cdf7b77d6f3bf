//! Limits the requests to endpoints that are still cold.
//!
//! A cold endpoint crashes if it gets many requests within a second, from all hosts
//! together. A host that sends the requests of all hosts has its own rate, small
//! enough for a second such host. A host that chooses for itself has its share of the
//! rate, as slots at regular intervals that begin at a random time.

mod starts;

pub use starts::{Cause, Starts};

use {
    crate::state::{clock::Time, id, rendezvous, serving::roster::Entry},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Period over which the requests to a cold endpoint are bounded.
const WINDOW: Duration = Duration::from_secs(1);

/// Number of hosts that may send the requests of all hosts at the same time: the one
/// that balances, and one that does not know of it or is its successor.
const MIN_SENDERS: usize = 2;

/// Part of the bound that these hosts use. The rest is for hosts that choose for
/// themselves meanwhile, and for requests that arrive closer together than they were
/// sent.
const SENDERS_PART: f64 = 0.8;

/// Smallest part of an equal share of the bound that a sender has when many hosts send
/// on their own. Their requests fall on independent times.
const MIN_PART: f64 = 0.5;

/// Part of the rate that hosts which choose for themselves share. Their slots fall on
/// independent times, so some seconds have far more of them than others.
const SHARED_PART: f64 = 0.7;

/// Time for which such a slot may be used. Hosts that saved theirs for a second could
/// use those of two seconds at the same moment.
const SLOT_TIME: Duration = Duration::from_millis(100);

/// Lowest rate of one sender, in requests a second. Only an answer shows that an
/// endpoint can be reached again.
const MIN_RATE: f64 = 0.25;

/// Lowest rate of a host's share, in requests a second, so that times do not overflow.
const MIN_SHARE: f64 = 0.001;

/// Time for which an endpoint without a request is remembered.
const KEPT_TIME: Duration = Duration::from_secs(60);

/// Bound on the requests to a cold endpoint from all hosts together, in any second:
/// the accepted rate times `excess`, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub excess: f64,
    pub slack: f64,
}

/// How endpoints of a service start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Start {
    /// Requests a second that a cold endpoint accepts.
    pub rate: f64,
    /// How long an endpoint is cold after its start.
    pub time: Duration,
}

/// The limit on the requests to a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Maximum number of requests in a second from all hosts together.
    pub bound: f64,
    pub start: Start,
}

impl Limit {
    /// Returns the limit for endpoints that start like this.
    pub fn new(start: Start, bounds: Bounds) -> Self {
        Self {
            bound: start.rate * bounds.excess + bounds.slack,
            start,
        }
    }
}

/// What is known of an endpoint's start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cold {
    /// How much longer the endpoint remains cold, as of the time when it wrote its
    /// entry.
    pub left: Duration,
    /// The limit while it is cold. `None` if it is never cold.
    pub limit: Option<Limit>,
    /// Until when it is cold, as its entries, starts and evacuations show.
    pub until: Time,
}

/// The hosts that may send requests to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fleet {
    /// Number of hosts that may be alive, including this one.
    pub possible: usize,
    /// Number of those that this host is in contact with, including itself.
    pub visible: usize,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            possible: 1,
            visible: 1,
        }
    }
}

impl Fleet {
    /// Returns how many hosts may send the requests of all hosts: each part of a
    /// fleet that has lost contact with the others has its own.
    fn senders(self) -> usize {
        self.possible.div_ceil(self.visible.max(1)).max(MIN_SENDERS)
    }
}

/// For whom a pacer sends.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// The requests of all hosts that this one is in contact with.
    #[default]
    All,
    /// The requests of this host alone.
    Alone,
}

/// The requests of one sender to one endpoint.
#[derive(Clone, Debug, Default)]
struct Endpoint {
    /// Until when the endpoint is cold after it was unreachable.
    cold_until: Time,
    incarnation: u64,
    /// Earliest time of the next request.
    next: Time,
    /// The requests of the last second, the last of which may be in the future.
    recent: VecDeque<Time>,
    /// When this sender last had to do with the endpoint.
    seen: Time,
    /// Whether the endpoint could not be reached and has not answered since.
    unreachable: bool,
    used: Time,
}

/// Paces the requests of one sender to cold endpoints.
#[derive(Clone, Debug)]
pub struct Pacer {
    endpoints: HashMap<id::Endpoint, Endpoint>,
    fleet: Fleet,
    role: Role,
    /// Makes the slots of this host independent of those of others.
    seed: u64,
}

impl Default for Pacer {
    fn default() -> Self {
        Self::new(Role::All, 0)
    }
}

impl Pacer {
    /// Creates a pacer that knows of no endpoint. `seed` is a random number.
    pub fn new(role: Role, seed: u64) -> Self {
        Self {
            endpoints: HashMap::new(),
            fleet: Fleet::default(),
            role,
            seed,
        }
    }

    /// Sets which hosts may send requests to the endpoints.
    pub fn set_fleet(&mut self, fleet: Fleet) {
        self.fleet = fleet;
    }

    /// Returns whether an endpoint is cold.
    pub fn is_cold(&self, now: Time, entry: &Entry) -> bool {
        let own = self.endpoint(entry);
        let unreachable = own.is_some_and(|own| own.unreachable || now < own.cold_until);
        entry.cold.limit.is_some() && (now < entry.cold.until || unreachable)
    }

    /// Returns whether a request may be sent to an endpoint now.
    pub fn allows(&self, now: Time, entry: &Entry) -> bool {
        self.next(now, entry) <= now
    }

    /// Returns the first time from `now` on at which a request may be sent to an
    /// endpoint.
    pub fn next(&self, now: Time, entry: &Entry) -> Time {
        match entry.cold.limit {
            Some(limit) if self.is_cold(now, entry) => match self.role {
                Role::All => self.next_turn(now, entry, limit),
                Role::Alone => self.next_slot(now, entry, limit),
            },
            _ => now,
        }
    }

    /// Returns the requests a second that may be sent to an endpoint, if it is cold.
    pub fn max_rate(&self, now: Time, entry: &Entry) -> Option<f64> {
        let limit = entry.cold.limit.filter(|_| self.is_cold(now, entry))?;
        Some(1.0 / self.interval(limit).as_secs_f64())
    }

    /// Records a request that is sent to an endpoint at a time, which may be in the
    /// future. Requests to an endpoint that is not cold count, too: it may turn cold.
    pub fn record_request(&mut self, at: Time, entry: &Entry) {
        let Some(limit) = entry.cold.limit else {
            return;
        };
        let interval = self.interval(limit);
        let capacity = per_window(interval);
        let endpoint = self.endpoint_mut(at, entry);
        endpoint.next = at + interval;
        endpoint.used = at;
        endpoint.recent.push_back(at);

        while endpoint.recent.len() > capacity {
            endpoint.recent.pop_front();
        }
    }

    /// Records that an endpoint cannot be reached. It may be starting again.
    pub fn record_unreachable(&mut self, now: Time, entry: &Entry) {
        if entry.cold.limit.is_some() {
            self.endpoint_mut(now, entry).unreachable = true;
        }
    }

    /// Records an answer of an endpoint, and returns whether it turns out to be cold.
    pub fn record_answer(&mut self, now: Time, entry: &Entry) -> bool {
        let (Some(limit), Some(own)) = (entry.cold.limit, self.endpoint(entry)) else {
            return false;
        };

        if !own.unreachable {
            return false;
        }

        let endpoint = self.endpoint_mut(now, entry);
        endpoint.unreachable = false;
        endpoint.cold_until = now + limit.start.time;
        true
    }

    fn next_turn(&self, now: Time, entry: &Entry, limit: Limit) -> Time {
        // Requests that were meant for the incarnation before may still arrive at this
        // one, so they count.
        let Some(own) = self.endpoints.get(&entry.endpoint) else {
            return now;
        };
        let capacity = per_window(self.interval(limit));
        let oldest = own.recent.len().checked_sub(capacity);
        let oldest = oldest.and_then(|index| own.recent.get(index));
        let window_end = oldest.map_or(Time::ZERO, |oldest| *oldest + WINDOW);
        now.max(own.next).max(window_end)
    }

    fn next_slot(&self, now: Time, entry: &Entry, limit: Limit) -> Time {
        let interval = self.interval(limit).as_micros().max(1);
        let interval = u64::try_from(interval).unwrap_or(u64::MAX);
        let key = (self.seed, entry.incarnation);
        let offset = rendezvous::weight(&key, &entry.endpoint.as_str()) % interval;
        let passed = now.as_micros().saturating_sub(offset) / interval;
        let slot = Time::from_micros(passed * interval + offset);
        let own = self.endpoints.get(&entry.endpoint);
        let used = own.map_or(Time::ZERO, |own| own.used);

        if slot <= now && used < slot && now.since(slot) < SLOT_TIME {
            return now;
        }

        if now < slot {
            slot
        } else {
            slot + Duration::from_micros(interval)
        }
    }

    /// Returns the interval between requests to a cold endpoint.
    fn interval(&self, limit: Limit) -> Duration {
        let rate = match self.role {
            Role::All => {
                let share = limit.bound / self.fleet.senders() as f64;
                // A sender can have one request more in a second than its rate.
                let whole = (share - 1.0).max(share * MIN_PART);
                let rate = (share * SENDERS_PART).min(whole).min(limit.start.rate);
                rate.max(MIN_RATE / self.fleet.senders() as f64)
            }
            Role::Alone => {
                let shared = limit.start.rate.min(limit.bound) * SHARED_PART;
                (shared / self.fleet.possible.max(1) as f64).max(MIN_SHARE)
            }
        };
        Duration::try_from_secs_f64(1.0 / rate)
            .unwrap_or_default()
            .max(Duration::from_micros(1))
    }

    /// Returns what is known of an endpoint, unless that was another incarnation.
    fn endpoint(&self, entry: &Entry) -> Option<&Endpoint> {
        let endpoint = self.endpoints.get(&entry.endpoint)?;
        (endpoint.incarnation == entry.incarnation).then_some(endpoint)
    }

    fn endpoint_mut(&mut self, now: Time, entry: &Entry) -> &mut Endpoint {
        if !self.endpoints.contains_key(&entry.endpoint) {
            self.endpoints
                .retain(|_, endpoint| now.since(endpoint.seen) < KEPT_TIME);
        }

        let endpoint = self.endpoints.entry(entry.endpoint.clone()).or_default();
        endpoint.seen = endpoint.seen.max(now);

        if endpoint.incarnation != entry.incarnation {
            endpoint.incarnation = entry.incarnation;
            endpoint.cold_until = Time::ZERO;
            endpoint.unreachable = false;
        }

        endpoint
    }
}

/// Returns the number of requests at this interval in a window.
fn per_window(interval: Duration) -> usize {
    let number = WINDOW.as_secs_f64() / interval.as_secs_f64();
    (number as usize).clamp(1, 1024)
}
