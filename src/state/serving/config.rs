//! The configuration of routes, services and teams.

use {
    crate::state::{
        id,
        serving::{
            cold::Start,
            graph::{self, Graph},
        },
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// How a route's requests may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryMode {
    /// A request runs at most once for each attempt of a caller.
    Never,
    /// A request may run any number of times.
    Whole,
    /// Another endpoint may continue a stream after its last event.
    Resume,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub service: id::Pool,
    /// Share of the requests, relative to the sum of the route's weights.
    pub weight: f64,
}

/// A stage that has to be done before a request can run.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Stages whose outputs this one needs.
    pub after: Vec<usize>,
    /// Expected size of one output, in bytes.
    pub output_bytes: u64,
    pub service: id::Pool,
}

/// A route: the host name and path prefix that it matches, and how its requests
/// are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Maximum pause between two events of an answer that is on time.
    pub event_gap: Option<Duration>,
    /// Latency up to which an answer has its full value.
    pub goal: Duration,
    pub host: String,
    /// Maximum number of endpoints that receive one attempt of a caller.
    pub max_attempts: u32,
    pub name: String,
    pub prefix: String,
    /// Priority of the requests. 0 is served first.
    pub priority: u8,
    /// Whether requests are accepted without a key.
    pub public: bool,
    pub retry_mode: RetryMode,
    pub stages: Vec<Stage>,
    /// Whether answers are event streams.
    pub stream: bool,
    pub targets: Vec<Target>,
    pub timeout: Duration,
}

/// The capacity and timing of the endpoints of a stage's service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Maximum number of pieces in one call.
    pub batch: usize,
    /// Duration of a call without its pieces.
    pub call: Duration,
    /// Additional duration of a call for each piece.
    pub item: Duration,
    /// Number of calls that may be queued at an endpoint.
    pub queue: usize,
    /// Time for which an endpoint keeps an output.
    pub retention: Duration,
    /// Storage of an endpoint for outputs, in bytes.
    pub storage_bytes: u64,
    /// Number of calls that an endpoint runs concurrently.
    pub slots: usize,
}

/// The capacity of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Number of tokens that fit into an engine's memory.
    pub capacity: u64,
    /// Number of requests that an engine runs concurrently.
    pub slots: usize,
}

/// A service and the capacity of its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// How the endpoints start, if they are cold at first.
    pub cold: Option<Start>,
    /// Capacity of the endpoints, if they are model engines.
    pub engine: Option<Engine>,
    /// Number of connections that an endpoint accepts from all hosts together.
    pub max_connections: usize,
    /// Capacity of the endpoints, if they process pieces.
    pub pool: Option<Pool>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a body.
    pub body_bytes: usize,
    /// Maximum size of the headers.
    pub header_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}

/// A team and the priority of its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub name: id::Team,
    pub priority: Option<u8>,
}

/// The configuration that is currently in effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Teams by key. `None` if no request needs a key.
    pub keys: Option<HashMap<String, Team>>,
    pub limits: Limits,
    /// Routes by lower-case host name, longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    pub services: HashMap<id::Pool, Service>,
    pub version: u64,
}

impl Config {
    /// Creates a configuration and indexes its routes by host name.
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

    /// Returns the route with the longest prefix of `path` at `host`. The port of
    /// `host` is ignored unless a route names it.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let routes = self.routes.get(&host).or_else(|| {
            let (name, _) = host.rsplit_once(':')?;
            self.routes.get(name)
        })?;

        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the routes whose stages cannot run, with the reason.
    pub fn unrunnable_routes(&self) -> Vec<(&Route, graph::Fault)> {
        let routes = self.routes.values().flatten();
        let faults = routes.filter_map(|route| {
            let fault = Graph::new(&route.stages, &[]).err()?;
            Some((&**route, fault))
        });
        faults.collect()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

impl Route {
    /// Returns the target for a random number from 0 to 1, in proportion to the
    /// weights.
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
