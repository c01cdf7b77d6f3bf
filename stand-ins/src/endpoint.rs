//! Stand-ins for endpoints: model engines, stage pools and plain services.

use {
    crate::{
        batch::{Batch, Refusal},
        cache::Cache,
        call::Call,
        error::Error,
        faults,
        http::{Reply, Request},
        oracle::Oracle,
        orders::{EngineState, Fencing, Order},
        run::RunningCall,
        server::{Handler, Server, lock},
    },
    serde_json::{Value, json},
    std::{
        collections::HashMap,
        net::SocketAddr,
        str::FromStr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Age at which a load sample is replaced instead of being reported again.
const MAX_LOAD_AGE: Duration = Duration::from_millis(250);

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Engine,
    Pool,
    Service,
}

impl Kind {
    /// Returns the name of the kind in settings and options.
    pub fn name(self) -> &'static str {
        match self {
            Self::Engine => "engine",
            Self::Pool => "pool",
            Self::Service => "service",
        }
    }

    fn capacity(self) -> usize {
        match self {
            Self::Engine => 16,
            Self::Pool => 8,
            Self::Service => 4,
        }
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "engine" => Ok(Self::Engine),
            "pool" => Ok(Self::Pool),
            "service" => Ok(Self::Service),
            _ => Err(format!(
                "kind is {text:?}, expected engine, pool or service"
            )),
        }
    }
}

/// Options of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub fencing: Fencing,
    pub kind: Kind,
    /// Whether the endpoint serves load reports. Engines always do.
    pub reports_load: bool,
}

/// The output tokens of a call, with its identifiers.
#[derive(Clone, Debug)]
pub(crate) struct CallOutput {
    pub(crate) attempt: String,
    pub(crate) request: String,
    pub(crate) tokens: Vec<String>,
}

/// The load at a point in time.
struct LoadSample {
    at: Instant,
    queued: usize,
    running: usize,
}

/// State of an endpoint, shared by its connections.
pub(crate) struct Endpoint {
    pub(crate) batch: Arc<Batch>,
    pub(crate) cache: Mutex<Cache>,
    pub(crate) faults: Mutex<faults::FaultSwitches>,
    pub(crate) kind: Kind,
    /// Output of the latest completed call, returned to a call with a
    /// mismatched response.
    pub(crate) last_output: Mutex<Option<CallOutput>>,
    load: Mutex<LoadSample>,
    pub(crate) oracle: Mutex<Oracle>,
    orders: Mutex<EngineState>,
    reports_load: bool,
    /// Cancellation flags of the running calls, by attempt.
    pub(crate) running: Mutex<HashMap<String, Arc<AtomicBool>>>,
    pub(crate) stopping: AtomicBool,
}

/// A running endpoint.
pub struct Handle {
    endpoint: Arc<Endpoint>,
    server: Server,
}

impl Handle {
    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the calls that ran so far.
    pub fn oracle(&self) -> Oracle {
        lock(&self.endpoint.oracle).clone()
    }

    /// Sets fault switches.
    pub fn set(&self, change: faults::FaultSwitches) {
        lock(&self.endpoint.faults).merge(change);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.endpoint.stopping.store(true, Ordering::SeqCst);
    }
}

/// Starts an endpoint; port 0 picks a free port.
///
/// # Errors
///
/// Returns an error when the endpoint cannot listen on the address.
pub fn start(listen: SocketAddr, options: Options) -> Result<Handle, Error> {
    let endpoint = Arc::new(Endpoint {
        batch: Arc::new(Batch::new(options.kind.capacity())),
        cache: Mutex::default(),
        faults: Mutex::default(),
        kind: options.kind,
        last_output: Mutex::default(),
        load: Mutex::new(LoadSample {
            at: Instant::now(),
            queued: 0,
            running: 0,
        }),
        oracle: Mutex::default(),
        orders: Mutex::new(EngineState::new(options.fencing)),
        reports_load: options.reports_load || options.kind == Kind::Engine,
        running: Mutex::default(),
        stopping: AtomicBool::default(),
    });
    let server = Server::start(listen, Arc::new(Service(Arc::clone(&endpoint))))?;
    Ok(Handle { endpoint, server })
}

struct Service(Arc<Endpoint>);

impl Handler for Service {
    fn handle(&self, request: Request) -> Reply {
        let endpoint = &self.0;
        let engine = endpoint.kind == Kind::Engine;
        let path = request.path.as_str();

        match (request.method.as_str(), path) {
            ("POST", "/v1/calls") => parse_body(&request, |call| endpoint.call(call)),
            ("GET", "/v1/load") if endpoint.reports_load => endpoint.load(),
            ("GET", "/v1/cache-events") if engine => {
                let cache = lock(&endpoint.cache);
                Reply::ok(json!({ "events": cache.events(request.number("after", 0)) }))
            }
            ("POST", "/v1/orders") if engine => parse_body(&request, |order| endpoint.order(order)),
            ("GET", "/v1/engine") if engine => Reply::ok(&*lock(&endpoint.orders)),
            ("GET", "/v1/oracle") => Reply::ok(&*lock(&endpoint.oracle)),
            ("POST", "/v1/faults") => parse_body(&request, |change| {
                lock(&endpoint.faults).merge(change);
                Reply::ok(json!({}))
            }),
            ("DELETE", _) => match path.strip_prefix("/v1/calls/") {
                Some(attempt) => endpoint.cancel(attempt),
                None => Reply::problem(404, "unknown method or path"),
            },
            _ => Reply::problem(404, "unknown method or path"),
        }
    }
}

fn parse_body<T: serde::de::DeserializeOwned>(
    request: &Request,
    handle: impl FnOnce(T) -> Reply,
) -> Reply {
    match request.json() {
        Ok(body) => handle(body),
        Err(reply) => reply,
    }
}

impl Endpoint {
    fn call(self: &Arc<Self>, call: Call) -> Reply {
        {
            let mut faults = lock(&self.faults);

            if faults.leaving == Some(true) {
                return self.refuse(&call, "leaving");
            }

            if faults.refuses() {
                return self.refuse(&call, "full");
            }
        }

        let limit = Duration::from_millis(call.deadline_ms);

        match self.batch.acquire(call.priority, limit) {
            Ok(slot) => RunningCall::begin(Arc::clone(self), call, slot).reply(),
            Err(Refusal::Deadline) => self.refuse(&call, "deadline"),
            Err(Refusal::Full) => self.refuse(&call, "full"),
        }
    }

    fn cancel(&self, attempt: &str) -> Reply {
        let cancelled = lock(&self.running).get(attempt).cloned();

        if let Some(cancelled) = &cancelled {
            cancelled.store(true, Ordering::SeqCst);
        }

        Reply::ok(json!({ "cancelled": cancelled.is_some() }))
    }

    fn load(&self) -> Reply {
        let mut sample = lock(&self.load);

        if sample.at.elapsed() >= MAX_LOAD_AGE {
            let (queued, running) = self.batch.load();
            *sample = LoadSample {
                at: Instant::now(),
                queued,
                running,
            };
        }

        Reply::ok(json!({
            "age_ms": u64::try_from(sample.at.elapsed().as_millis()).unwrap_or(u64::MAX),
            "capacity": self.batch.capacity(),
            "leaving": lock(&self.faults).leaving == Some(true),
            "queued": sample.queued,
            "running": sample.running,
        }))
    }

    fn order(&self, order: Order) -> Reply {
        let mut orders = lock(&self.orders);
        let applied = orders.apply(order);
        let status = if applied { 200 } else { 409 };
        let value: Value = json!({ "applied": applied, "token": orders.token });
        Reply::status(status, value)
    }

    fn refuse(&self, call: &Call, reason: &str) -> Reply {
        lock(&self.oracle).refused += 1;

        Reply::status(
            503,
            json!({
                "attempt": call.attempt,
                "reason": reason,
                "request": call.request,
                "status": "not_run",
            }),
        )
    }
}
