//! Decides when a host asks other hosts for changes of the store's objects.
//!
//! A host that follows a reader has one request waiting there. The reader may
//! fall silent while it waits, and so may the next one, so a host that learns
//! from the membership that others have a newer object also asks one of these.
//! It does not learn that if all of them are silent, so it reads the store itself
//! until a reader answers. An outage of the store does not cause this: a reader
//! that has lost the store says so.

use {
    crate::state::{
        clock::Time,
        serving::readers::{self, READERS, Ranking, Role},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Time for which a reader holds a request until a change arrives. Its answer
/// also shows that it is still alive.
pub const FOLLOW_WAIT: Duration = Duration::from_millis(1000);

/// Minimum interval between requests to hosts that are not followed.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which a host that lacks a change waits for it from its usual source
/// before it asks another host. A large configuration takes some hundred
/// milliseconds over a small link and should not be sent twice.
const CATCH_UP_DELAY: Duration = Duration::from_millis(500);

/// Time after the last failure after which a host returns to the readers that
/// come first in its order.
const RETURN_TIME: Duration = Duration::from_secs(10);

/// Why a host asks another one for changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// The other host may have changes that this host lacks.
    CatchUp,
    /// The other host reads the store for this host.
    Follow,
}

impl Purpose {
    /// Returns the name of the purpose in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::CatchUp => "catch_up",
            Self::Follow => "follow",
        }
    }
}

/// A request to send to another host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    pub address: SocketAddr,
    pub purpose: Purpose,
    /// Time for which the other host holds the request until a change arrives.
    pub wait: Duration,
}

/// What a host knows about the sources of one kind of objects.
#[derive(Clone, Copy, Debug)]
pub struct Sources {
    /// A host that has a newer object.
    pub ahead: Option<SocketAddr>,
    /// Any live host.
    pub any: Option<SocketAddr>,
    pub role: Role,
    /// Whether neither the store nor a reader has confirmed the copy in time.
    pub stale: bool,
}

/// The requests of one purpose, of which at most one is in progress.
#[derive(Clone, Copy, Debug, Default)]
struct Channel {
    in_progress: bool,
    sent: Time,
}

impl Channel {
    /// Returns whether a request may be sent, and records that it is sent if so.
    fn start(&mut self, now: Time, interval: Duration) -> bool {
        let due = !self.in_progress && now.since(self.sent) >= interval;

        if due {
            *self = Self {
                in_progress: true,
                sent: now,
            };
        }

        due
    }
}

/// The requests for one kind of objects.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    /// Since when other hosts have a newer object and no change has arrived.
    behind_since: Option<Time>,
    catch_up: Channel,
    /// Number of failures to follow a reader: requests that failed or returned a
    /// stale copy. It selects the reader, so it stays while one answers.
    failures: u32,
    follow: Channel,
    last_failure: Option<Time>,
    /// Whether the last request to a reader failed.
    reader_failed: bool,
    /// Whether the last request to a reader had no answer.
    reader_silent: bool,
    /// Whether the last request asked if a reader is up to date again.
    rechecks: bool,
}

impl CatchUp {
    /// Returns the number of failures to follow a reader.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Forgets the failures to follow a reader, since this host reads the store.
    pub fn clear_failures(&mut self) {
        self.failures = 0;
    }

    /// Returns how this host stays up to date. One that would follow a reader reads
    /// the store if its reader is silent.
    pub fn role(&self, ranking: &Ranking) -> Role {
        match ranking.role(self.failures) {
            Role::Follow(reader) if self.reader_silent => Role::ReadFor(reader),
            role => role,
        }
    }

    /// Records a request without an answer.
    pub fn record_silence(&mut self, now: Time, purpose: Purpose) {
        self.record(now, purpose, false);
        self.reader_silent |= purpose == Purpose::Follow;
    }

    /// Records the answer to a request. `fresh` says whether it returned a copy that
    /// the store confirmed recently.
    pub fn record(&mut self, now: Time, purpose: Purpose, fresh: bool) {
        if purpose == Purpose::CatchUp {
            self.catch_up.in_progress = false;
            return;
        }

        self.follow.in_progress = false;
        self.reader_failed = !fresh;
        self.reader_silent = false;

        if !fresh {
            self.failures = self.failures.saturating_add(1);
            self.last_failure = Some(now);
        } else if (self.last_failure).is_none_or(|failure| now.since(failure) >= RETURN_TIME) {
            self.failures = 0;
        } else if self.rechecks {
            // Selects the same reader again.
            self.failures %= READERS as u32;
        }
    }

    /// Records that a change of the copy has arrived. The usual source works, so
    /// it gets time for the next change, too.
    pub fn record_change(&mut self) {
        self.behind_since = None;
    }

    /// Returns the requests to send now.
    pub fn requests(&mut self, now: Time, sources: &Sources) -> Vec<Request> {
        let catch_up = self.catch_up(now, sources);
        self.follow(now, sources.role)
            .into_iter()
            .chain(catch_up)
            .collect()
    }

    /// Returns the pause before the next request to a reader.
    fn pause(&self, role: Role) -> Duration {
        let failures = if self.reader_failed { self.failures } else { 0 };
        readers::pause(role, failures)
    }

    fn follow(&mut self, now: Time, role: Role) -> Option<Request> {
        let (address, wait) = match role {
            Role::Follow(reader) => (reader, FOLLOW_WAIT),
            Role::Read => return None,
            Role::ReadFor(reader) => (reader, Duration::ZERO),
        };
        let interval = self.pause(role);
        self.follow.start(now, interval).then(|| {
            self.rechecks = matches!(role, Role::ReadFor(_));
            Request {
                address,
                purpose: Purpose::Follow,
                wait,
            }
        })
    }

    fn catch_up(&mut self, now: Time, sources: &Sources) -> Option<Request> {
        let behind_since = match sources.ahead {
            Some(_) => *self.behind_since.get_or_insert(now),
            None => {
                self.behind_since = None;
                now
            }
        };
        let overdue = now.since(behind_since) >= CATCH_UP_DELAY;
        let address = match (sources.ahead, sources.stale) {
            (Some(ahead), stale) if stale || overdue => ahead,
            (None, true) => sources.any?,
            _ => return None,
        };
        // The number of requests during an outage of the store is limited like
        // that of the requests to readers.
        let interval = match sources.role {
            Role::Follow(_) => CATCH_UP_INTERVAL.max(self.pause(sources.role)),
            Role::Read | Role::ReadFor(_) => CATCH_UP_INTERVAL,
        };
        self.catch_up.start(now, interval).then_some(Request {
            address,
            purpose: Purpose::CatchUp,
            wait: Duration::ZERO,
        })
    }
}
