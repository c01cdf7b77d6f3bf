//! The endpoints: model engines, stage pools and plain services.

use {
    crate::{
        batch::{Batch, Refusal},
        cache::Cache,
        call::Call,
        error::Error,
        faults,
        http::{Reply, Request},
        oracle::Oracle,
        orders::{Fencing, Order, Orders},
        run::Run,
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

/// Load reports show the state up to this long ago.
const LOAD_LAG: Duration = Duration::from_millis(250);

/// What an endpoint is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Engine,
    Pool,
    Service,
}

impl Kind {
    /// Returns the name in settings and options.
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

/// How an endpoint is set up.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub fencing: Fencing,
    pub kind: Kind,
    /// Engines report their load in any case.
    pub reports_load: bool,
}

/// The tokens of an answer and the call that they belong to.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) attempt: String,
    pub(crate) request: String,
    pub(crate) tokens: Vec<String>,
}

/// A load report and the time at which it was made.
struct Sample {
    at: Instant,
    queued: usize,
    running: usize,
}

/// The state of an endpoint, shared by its connections.
pub(crate) struct Endpoint {
    pub(crate) batch: Arc<Batch>,
    pub(crate) cache: Mutex<Cache>,
    pub(crate) faults: Mutex<faults::FaultSwitches>,
    pub(crate) kind: Kind,
    /// Answer that a crossed call gets.
    pub(crate) last: Mutex<Option<Answer>>,
    load: Mutex<Sample>,
    pub(crate) oracle: Mutex<Oracle>,
    orders: Mutex<Orders>,
    reports_load: bool,
    /// Cancellation marks of the calls in progress, by attempt.
    pub(crate) running: Mutex<HashMap<String, Arc<AtomicBool>>>,
    pub(crate) stopping: AtomicBool,
}

/// A running endpoint.
pub struct Handle {
    endpoint: Arc<Endpoint>,
    server: Server,
}

impl Handle {
    /// Returns the address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address as the start of a URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns what ran so far.
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
/// Returns an error when the address cannot be listened on.
pub fn start(listen: SocketAddr, options: Options) -> Result<Handle, Error> {
    let endpoint = Arc::new(Endpoint {
        batch: Arc::new(Batch::new(options.kind.capacity())),
        cache: Mutex::default(),
        faults: Mutex::default(),
        kind: options.kind,
        last: Mutex::default(),
        load: Mutex::new(Sample {
            at: Instant::now(),
            queued: 0,
            running: 0,
        }),
        oracle: Mutex::default(),
        orders: Mutex::new(Orders::new(options.fencing)),
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
            ("POST", "/v1/calls") => answer(&request, |call| endpoint.call(call)),
            ("GET", "/v1/load") if endpoint.reports_load => endpoint.load(),
            ("GET", "/v1/cache-events") if engine => {
                let cache = lock(&endpoint.cache);
                Reply::ok(json!({ "events": cache.events(request.number("after", 0)) }))
            }
            ("POST", "/v1/orders") if engine => answer(&request, |order| endpoint.order(order)),
            ("GET", "/v1/engine") if engine => Reply::ok(&*lock(&endpoint.orders)),
            ("GET", "/v1/oracle") => Reply::ok(&*lock(&endpoint.oracle)),
            ("POST", "/v1/faults") => answer(&request, |change| {
                lock(&endpoint.faults).merge(change);
                Reply::ok(json!({}))
            }),
            ("DELETE", _) => match path.strip_prefix("/v1/calls/") {
                Some(attempt) => endpoint.cancel(attempt),
                None => Reply::problem(404, "no such call"),
            },
            _ => Reply::problem(404, "no such call"),
        }
    }
}

fn answer<T: serde::de::DeserializeOwned>(
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

        match self.batch.enter(call.priority, limit) {
            Ok(slot) => Run::begin(Arc::clone(self), call, slot).answer(),
            Err(Refusal::Deadline) => self.refuse(&call, "deadline"),
            Err(Refusal::Full) => self.refuse(&call, "full"),
        }
    }

    fn cancel(&self, attempt: &str) -> Reply {
        let mark = lock(&self.running).get(attempt).cloned();

        if let Some(mark) = &mark {
            mark.store(true, Ordering::SeqCst);
        }

        Reply::ok(json!({ "cancelled": mark.is_some() }))
    }

    fn load(&self) -> Reply {
        let mut sample = lock(&self.load);

        if sample.at.elapsed() >= LOAD_LAG {
            let (queued, running) = self.batch.load();
            *sample = Sample {
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
