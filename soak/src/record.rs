//! What callers, the operator and the plan did, for the oracle.

use std::{
    collections::BTreeMap,
    ops::RangeInclusive,
    time::{Duration, Instant},
};

/// A route of the soak.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A stream that may be resumed.
    Check,
    /// A stream with stages that may not be repeated.
    Draft,
    /// A read whose service depends on the configuration's version.
    Moved,
    /// Not repeatable.
    Order,
    Read,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 5] = [
        Self::Check,
        Self::Draft,
        Self::Moved,
        Self::Order,
        Self::Read,
    ];

    /// Returns the name of the route.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Check => "check",
            Self::Draft => "draft",
            Self::Moved => "moved",
            Self::Order => "order",
            Self::Read => "read",
        }
    }

    /// Returns whether a request may run more than once.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Check | Self::Moved | Self::Read)
    }

    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Check | Self::Draft)
    }

    /// Returns the service that runs a request under a version.
    pub const fn service(self, version: u64) -> &'static str {
        match self {
            Self::Check | Self::Draft => "engine",
            Self::Moved if version % 2 == 1 => "spare",
            Self::Moved | Self::Order | Self::Read => "plain",
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// A whole answer. `fault` says what is wrong with it.
    Answered { fault: Option<String>, status: u16 },
    /// The answer broke off. `fault` says what is wrong with the part.
    Cut { fault: Option<String> },
    /// The caller closed the connection.
    Left,
    /// The connection closed, or the time was over, before an answer.
    NoAnswer(String),
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub end: Option<(Instant, End)>,
    pub host: usize,
    /// Version that brought the request's key.
    pub key: u64,
    pub kind: Kind,
    /// Whether the connection had carried another request before.
    pub reused: bool,
    pub sent: Instant,
}

/// What a fault disturbs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// A process was killed or paused.
    Host(usize),
    Peers,
    /// A planned stop.
    Stop(usize),
    Store,
    Workers,
}

/// A time in which something was disturbed.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    pub from: Instant,
    pub target: Target,
    /// `None` as long as it lasts.
    pub until: Option<Instant>,
}

/// A worker that stopped taking work.
#[derive(Clone, Debug)]
pub struct Drain {
    pub at: Instant,
    pub endpoint: String,
}

/// Everything that the oracle needs beside the workers' own records.
#[derive(Debug)]
pub struct Record {
    pub attempts: BTreeMap<String, Attempt>,
    pub disturbances: Vec<Disturbance>,
    pub drains: Vec<Drain>,
    /// When each version was accepted; the first one is version 1.
    pub versions: Vec<Instant>,
}

impl Record {
    /// Returns an empty record.
    pub const fn new() -> Self {
        Self {
            attempts: BTreeMap::new(),
            disturbances: Vec::new(),
            drains: Vec::new(),
            versions: Vec::new(),
        }
    }

    /// Notes that a disturbance begins.
    pub fn disturb(&mut self, target: Target) {
        self.disturbances.push(Disturbance {
            from: Instant::now(),
            target,
            until: None,
        });
    }

    /// Notes that the disturbances of a target end.
    pub fn calm(&mut self, target: Target) {
        let open = self.disturbances.iter_mut();

        for disturbance in open.filter(|known| known.target == target && known.until.is_none()) {
            disturbance.until = Some(Instant::now());
        }
    }

    /// Returns whether anything that `concerns` was disturbed in a time, or
    /// shortly before it.
    pub fn is_disturbed(
        &self,
        from: Instant,
        until: Instant,
        concerns: impl Fn(Target) -> bool,
    ) -> bool {
        /// Time after a disturbance in which its effects may still be seen.
        const STABLE: Duration = Duration::from_secs(3);

        let disturbances = self.disturbances.iter();
        disturbances
            .filter(|disturbance| concerns(disturbance.target))
            .any(|disturbance| {
                let over = disturbance.until.is_some_and(|end| end + STABLE < from);
                disturbance.from <= until && !over
            })
    }

    /// Returns the versions that may be in force for a request until `until`.
    /// `bound` is the time in which a version has to come into force; there
    /// is none while the hosts or the store are disturbed.
    pub fn versions_for(
        &self,
        attempt: &Attempt,
        until: Instant,
        bound: Duration,
    ) -> RangeInclusive<u64> {
        let count = |before: Instant| {
            let versions = self.versions.iter();
            versions.filter(|accepted| **accepted <= before).count() as u64
        };
        let newest = count(until);
        let calm = attempt
            .sent
            .checked_sub(bound)
            .filter(|from| !self.is_disturbed(*from, until, |target| target != Target::Workers));
        let oldest = calm.map_or(1, count).max(1);
        oldest..=newest.max(oldest)
    }
}

impl Default for Record {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns whether a key is known under a version: each version brings one
/// key and removes that of the version before the last one.
pub const fn has_key(version: u64, key: u64) -> bool {
    key == version || key + 1 == version
}

/// Returns the text of a key.
pub fn key_text(key: u64) -> String {
    format!("key-{key}")
}
