//! Routes, services and teams in force.

use {
    crate::state::id,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// At most one run for each attempt of a caller.
    Never,
    /// Any number of runs.
    Whole,
    /// A stream that another endpoint continues after the last event.
    Resume,
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub service: id::Pool,
    pub weight: f64,
}

/// Work that has to be done before a request can run.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Stages whose outputs this one needs.
    pub after: Vec<usize>,
    /// Expected size of one output.
    pub output_bytes: u64,
    pub service: id::Pool,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Longest pause between two events of an answer in time.
    pub event_gap: Option<Duration>,
    /// Time in which an answer earns its full value.
    pub goal: Duration,
    pub host: String,
    /// Endpoints that may be given one attempt of a caller.
    pub max_attempts: u32,
    pub name: String,
    pub prefix: String,
    /// Rank of the requests; 0 is served first.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    pub repeat: Repeat,
    pub stages: Vec<Stage>,
    pub stream: bool,
    pub targets: Vec<Target>,
    pub timeout: Duration,
}

/// How an endpoint of a stage's service takes pieces.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Most pieces of one call.
    pub batch: usize,
    /// Time of a call without its pieces.
    pub call: Duration,
    /// Additional time of a piece.
    pub item: Duration,
    /// Calls that may wait at an endpoint.
    pub queue: usize,
    /// How long an endpoint keeps an output.
    pub retention: Duration,
    /// Space for outputs.
    pub storage_bytes: u64,
    /// Calls that run at a time.
    pub slots: usize,
}

/// A model engine's sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Tokens that fit into an engine's memory.
    pub capacity: u64,
    pub slots: usize,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub engine: Option<Engine>,
    /// Connections that an endpoint accepts from all hosts together.
    pub max_connections: usize,
    pub pool: Option<Pool>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub body_bytes: usize,
    pub header_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}

/// A team and the rank of its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub name: id::Team,
    pub priority: Option<u8>,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Teams by key; `None` if requests need no key at all.
    pub keys: Option<HashMap<String, Team>>,
    pub limits: Limits,
    /// Routes by host, the longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    pub services: HashMap<id::Pool, Service>,
    pub version: u64,
}

impl Config {
    /// Builds a configuration.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<id::Pool, Service>,
        keys: Option<HashMap<String, Team>>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();

        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::new(route));
        }

        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }

        Self {
            keys,
            limits,
            routes: by_host,
            services,
            version,
        }
    }

    /// Returns the route of a path at a host, that with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let routes = self.routes.get(&host).or_else(|| {
            let (name, _) = host.rsplit_once(':')?;
            self.routes.get(name)
        })?;

        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

impl Route {
    /// Returns the target that a number from 0 to 1 falls to.
    pub fn target(&self, uniform: f64) -> Option<&id::Pool> {
        let total = self.targets.iter().map(|target| target.weight).sum::<f64>();
        let mut remaining = uniform * total;

        for target in &self.targets {
            remaining -= target.weight;

            if remaining < 0.0 {
                return Some(&target.service);
            }
        }

        self.targets.last().map(|target| &target.service)
    }
}
