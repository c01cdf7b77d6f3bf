//! Records the requests of callers, the configuration changes and the injected
//! faults, against which the oracle checks the guarantees.

use std::{
    collections::BTreeMap,
    ops::RangeInclusive,
    time::{Duration, Instant},
};

/// A route of the soak.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// A stream that may be resumed.
    Check,
    /// A stream with stages; not repeatable.
    Draft,
    /// A repeatable request whose service depends on the configuration version.
    Moved,
    /// A repeatable request with a large answer, which its caller reads slowly.
    Export,
    /// A request that is not repeatable.
    Order,
    /// A repeatable request.
    Read,
}

impl Route {
    /// Every route.
    pub const ALL: [Self; 6] = [
        Self::Check,
        Self::Draft,
        Self::Export,
        Self::Moved,
        Self::Order,
        Self::Read,
    ];

    /// Returns the name of the route.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Check => "check",
            Self::Draft => "draft",
            Self::Export => "export",
            Self::Moved => "moved",
            Self::Order => "order",
            Self::Read => "read",
        }
    }

    /// Returns whether requests may run more than once.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Check | Self::Export | Self::Moved | Self::Read)
    }

    /// Returns whether the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Check | Self::Draft)
    }

    /// Returns the service that runs requests under a configuration version.
    pub const fn service(self, version: u64) -> &'static str {
        match self {
            Self::Check | Self::Draft => "engine",
            Self::Moved if version % 2 == 1 => "spare",
            Self::Export | Self::Moved | Self::Order | Self::Read => "plain",
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// The response was complete. `fault` describes an invalid response.
    Answered { fault: Option<String>, status: u16 },
    /// The response broke off. `fault` describes an error in the part that
    /// arrived.
    Cut { fault: Option<String> },
    /// The caller abandoned the request by closing the connection.
    Left,
    /// The connection closed or the wait timed out before a response.
    NoAnswer(String),
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub end: Option<(Instant, End)>,
    pub host: usize,
    /// Configuration version that introduced the request's key.
    pub key: u64,
    /// Number of pieces of each stage of a draft.
    pub pieces: Vec<usize>,
    pub route: Route,
    /// Whether the connection carried an earlier request.
    pub reused: bool,
    pub sent: Instant,
}

/// The part of the system that a fault disturbs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// A host that was killed or paused.
    Host(usize),
    Peers,
    /// A host that was stopped as planned.
    Stop(usize),
    Store,
    Workers,
}

/// A period in which a target was disturbed.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    pub from: Instant,
    pub target: Target,
    /// `None` while the disturbance lasts.
    pub until: Option<Instant>,
}

/// A worker that was listed as draining.
#[derive(Clone, Debug)]
pub struct Drain {
    pub at: Instant,
    pub endpoint: String,
}

/// All records of a run other than those of the workers.
#[derive(Debug)]
pub struct Record {
    pub attempts: BTreeMap<String, Attempt>,
    pub disturbances: Vec<Disturbance>,
    pub drains: Vec<Drain>,
    /// Time at which each configuration version was stored, from version 1.
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

    /// Records the start of a disturbance.
    pub fn begin_disturbance(&mut self, target: Target) {
        self.disturbances.push(Disturbance {
            from: Instant::now(),
            target,
            until: None,
        });
    }

    /// Records a disturbance that began at `from` and has ended.
    pub fn add_disturbance(&mut self, target: Target, from: Instant) {
        self.disturbances.push(Disturbance {
            from,
            target,
            until: Some(Instant::now()),
        });
    }

    /// Records the end of all open disturbances of a target.
    pub fn end_disturbances(&mut self, target: Target) {
        let open = self.disturbances.iter_mut();

        for disturbance in open.filter(|one| one.target == target && one.until.is_none()) {
            disturbance.until = Some(Instant::now());
        }
    }

    /// Returns whether a target that matches `concerns` was disturbed between
    /// `from` and `until` or shortly before.
    pub fn is_disturbed(
        &self,
        from: Instant,
        until: Instant,
        concerns: impl Fn(Target) -> bool,
    ) -> bool {
        /// Time after a disturbance in which its effects may still be observed.
        const SETTLING_TIME: Duration = Duration::from_secs(3);

        let disturbances = self.disturbances.iter();
        disturbances
            .filter(|disturbance| concerns(disturbance.target))
            .any(|disturbance| {
                let over = disturbance
                    .until
                    .is_some_and(|end| end + SETTLING_TIME < from);
                disturbance.from <= until && !over
            })
    }

    /// Returns the configuration versions that a host may apply to a request
    /// until `until`. `bound` is the maximum time until a new version is in
    /// force; it doesn't hold while hosts or the store are disturbed.
    pub fn versions_for(
        &self,
        attempt: &Attempt,
        until: Instant,
        bound: Duration,
    ) -> RangeInclusive<u64> {
        let count = |before: Instant| {
            let versions = self.versions.iter();
            versions.filter(|stored| **stored <= before).count() as u64
        };
        let newest = count(until);
        let undisturbed_from = attempt
            .sent
            .checked_sub(bound)
            .filter(|from| !self.is_disturbed(*from, until, |target| target != Target::Workers));
        let oldest = undisturbed_from.map_or(1, count).max(1);
        oldest..=newest.max(oldest)
    }
}

impl Default for Record {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns whether a key is valid under a version: each version adds a key
/// of its own and removes the key of the version two before it.
pub const fn has_key(version: u64, key: u64) -> bool {
    key == version || key + 1 == version
}

/// Returns the text of a key.
pub fn key_text(key: u64) -> String {
    format!("key-{key}")
}
