//! Sends jobs to the dispatcher of their pool.
//!
//! Every host finds the dispatcher by rendezvous hashing over the hosts that
//! it considers alive. Two hosts whose views differ for a moment use two
//! dispatchers, which only makes their calls less full: a piece may safely be
//! computed again. A dispatcher that does not answer pings is skipped.

use {
    crate::{
        coordination::serving::{host::Host, pools, releases},
        state::{
            id,
            serving::{
                dispatchers,
                piece::{Failure, Job, JobId, Mismatch, Outcome, Output},
            },
        },
        transport::boot_clock,
    },
    snafu::{ResultExt, Snafu},
    std::{
        cell::RefCell,
        collections::{HashMap, HashSet},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// Maximum time for which a host that has just started waits for the list of
/// registered hosts.
const MAX_REGISTERED_WAIT: Duration = Duration::from_millis(300);

/// Interval between checks for the list of registered hosts.
const REGISTERED_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between pings of a dispatcher that is running a job.
const PING_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of a ping. The latency between two failure domains is a few
/// milliseconds.
const PING_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a message that needs no answer.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a job at the dispatcher of its pool, or at the next one in order if a
/// dispatcher fails.
pub async fn run(host: &Rc<Host>, mut job: Job) -> Outcome {
    let started = boot_clock::now();
    let remaining = job.remaining;
    let urgency = job.urgency;
    wait_for_registered(host).await;
    let dispatchers = dispatchers(host, &job.service);

    for dispatcher in dispatchers.iter() {
        let age = boot_clock::now().since(started);
        job.remaining = remaining.saturating_sub(age);
        job.urgency = urgency.saturating_sub(age);
        let result = match dispatcher {
            None => run_locally(host, &job).await,
            Some(address) => run_remotely(host, *address, &job).await,
        };
        let failure = match result.and_then(|outcome| check(&job, outcome)) {
            Ok(outcome) => return outcome,
            Err(failure) => failure,
        };
        log::warn!(
            request = job.request.as_str(),
            service = job.service.as_str(),
            dispatcher = dispatcher.map_or_else(|| "local".into(), |a| a.to_string()).as_str(),
            age_ms = boot_clock::now().since(started).as_millis();
            "{failure}"
        );

        if let (Error::Lost { .. }, Some(address)) = (failure, dispatcher) {
            host.dispatch_orders.record_unreachable(*address);
        }
    }

    Outcome {
        backlog: Duration::ZERO,
        failure: Some(Failure::Unreachable),
        outputs: Vec::new(),
        retry_after: PING_TIMEOUT,
    }
}

/// Releases outputs through the dispatcher of their pool, which frees outputs
/// of many requests in one call.
pub fn release(host: &Rc<Host>, service: &id::Pool, outputs: Vec<Output>) {
    match dispatchers(host, service).first() {
        Some(Some(address)) => {
            host.links
                .release_outputs(*address, service, outputs, NOTICE_TIMEOUT);
        }
        _ => releases::release(host, service, outputs),
    }
}

/// The order of the dispatchers of each service under the current view. Ranking
/// every host for every job would take most of a small host's time in a fleet
/// of some hundred hosts.
#[derive(Default)]
pub struct Orders {
    orders: RefCell<HashMap<id::Pool, Rc<[Option<SocketAddr>]>>>,
    /// Registered hosts that could not be reached.
    unreachable: RefCell<HashSet<SocketAddr>>,
}

impl Orders {
    /// Forgets the orders, after the view has changed.
    pub fn clear(&self) {
        self.orders.borrow_mut().clear();
    }

    fn record_unreachable(&self, address: SocketAddr) {
        if self.unreachable.borrow_mut().insert(address) {
            self.clear();
        }
    }
}

/// Returns the peer addresses of the dispatchers for a service, in order of
/// preference; `None` stands for this host.
pub(super) fn dispatchers(host: &Host, service: &id::Pool) -> Rc<[Option<SocketAddr>]> {
    let mut orders = host.dispatch_orders.orders.borrow_mut();

    if let Some(order) = orders.get(service) {
        return Rc::clone(order);
    }

    let view = host.view();
    let unreachable = host.dispatch_orders.unreachable.borrow();
    let fleet = dispatchers::Fleet {
        local: (!view.leaving).then_some(&view.local),
        members: &view.members,
        registered: view.presumed(),
        unreachable: &unreachable,
    };
    let mut order = dispatchers::rank(service, fleet);

    if order.is_empty() {
        order.push(None);
    }

    let order = Rc::<[Option<SocketAddr>]>::from(order);
    orders.insert(service.clone(), Rc::clone(&order));
    order
}

/// Waits for a bounded time until a host that has just started knows which hosts
/// are registered in the store.
async fn wait_for_registered(host: &Host) {
    let started = boot_clock::now();

    loop {
        let view = host.view();
        let is_known = view.settled || view.registered.is_some();

        if is_known || boot_clock::now().since(started) >= MAX_REGISTERED_WAIT {
            return;
        }

        sleep(REGISTERED_POLL_INTERVAL).await;
    }
}

/// Why a dispatcher's answer cannot be used.
#[derive(Debug)]
#[derive(Snafu)]
enum Error {
    #[snafu(display("dispatcher lost: {message}"))]
    Lost { message: String },
    #[snafu(display("outcome of a job ignored: {source}"))]
    Mismatched { source: Mismatch },
}

/// Checks the outcome of a job. Outputs that do not fit may belong to another
/// request, so they are not released.
fn check(job: &Job, outcome: Outcome) -> Result<Outcome, Error> {
    job.check(&outcome).context(MismatchedSnafu)?;
    Ok(outcome)
}

async fn run_locally(host: &Rc<Host>, job: &Job) -> Result<Outcome, Error> {
    let guard = CancelGuard {
        address: None,
        host,
        id: Some(job.id.clone()),
    };
    let answer = pools::add(host, job.clone());
    let outcome = answer.await;
    guard.disarm();
    outcome.map_err(|_| {
        let message = "this host does not dispatch to the service or the job";
        Error::Lost {
            message: message.into(),
        }
    })
}

async fn run_remotely(host: &Rc<Host>, address: SocketAddr, job: &Job) -> Result<Outcome, Error> {
    let guard = CancelGuard {
        address: Some(address),
        host,
        id: Some(job.id.clone()),
    };
    let answer = host
        .links
        .run_job(address, job, job.remaining + PING_TIMEOUT);

    let result = tokio::select! {
        answer = answer => answer.map_err(|error| Error::Lost { message: error.to_string() }),
        message = wait_for_failure(host, address) => Err(Error::Lost { message }),
    };

    if result.is_ok() {
        guard.disarm();
    }

    result
}

/// Pings a dispatcher until a ping fails, and returns the error.
async fn wait_for_failure(host: &Host, address: SocketAddr) -> String {
    loop {
        sleep(PING_INTERVAL).await;

        if let Err(error) = host.links.ping(address, PING_TIMEOUT).await {
            return error.to_string();
        }
    }
}

/// Cancels a job on drop, unless it was disarmed.
struct CancelGuard<'a> {
    /// Peer address of the dispatcher; `None` stands for this host.
    address: Option<SocketAddr>,
    host: &'a Rc<Host>,
    id: Option<JobId>,
}

impl CancelGuard<'_> {
    fn disarm(mut self) {
        self.id = None;
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        match (&self.id, self.address) {
            (Some(id), Some(address)) => {
                self.host.links.cancel_job(address, id, NOTICE_TIMEOUT);
            }
            (Some(id), None) => pools::cancel(self.host, id),
            (None, _) => {}
        }
    }
}
