//! Runs the dispatchers of stage pools: makes their calls to endpoints and
//! reports the outcomes to them and to the jobs' hosts.

use {
    crate::{
        coordination::serving::{
            demotions::{self, Bound},
            host::Host,
            releases::{self, Releases},
        },
        state::{
            clock::Time,
            id,
            serving::{
                batch::{Action, CallId, CallOutcome, Dispatcher, Item, Origin},
                health::Notice,
                pace::Load,
                piece::{self, Job, JobId, Outcome},
                roster::Entry,
            },
        },
        transport::{boot_clock, http::client::Failure},
    },
    http_body_util::Full,
    hyper::Method,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::oneshot::{self, Receiver, Sender},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Interval between ticks of the dispatchers.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval between log lines that summarise the pools with jobs.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum length of the response to a call with pieces, in bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Timeout of a call with pieces. An endpoint that is five times slower than
/// listed answers a full call within it.
const CALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// The dispatchers that run on this host, and the jobs that they work on.
#[derive(Default)]
pub struct Pools {
    dispatchers: RefCell<HashMap<id::Pool, Dispatcher>>,
    pub(super) demotion_lines: Bound,
    pub(super) releases: Releases,
    replies: RefCell<HashMap<JobId, Sender<Outcome>>>,
    /// When the state of the pools was last logged.
    last_summary: Cell<Time>,
    ticking: Cell<bool>,
}

impl Pools {
    /// Updates the dispatchers with the current pools, endpoints and bounds of
    /// the retry budget.
    pub fn update(&self, host: &Host) {
        let view = host.view();
        let Some(config) = &view.config else {
            return;
        };

        for (service, dispatcher) in self.dispatchers.borrow_mut().iter_mut() {
            let pool = config.services.get(service);

            if let Some(pool) = pool.and_then(|service| service.pool.as_ref()) {
                let entries = view.roster.service(service).iter();
                dispatcher.update(pool, entries, view.hosts());
                dispatcher.set_fleet(view.cold_fleet());
                dispatcher.set_budget_bounds(host.settings().budget);
                dispatcher.set_order(host.settings().order);
            }
        }
    }

    /// Keeps an endpoint out of the calls of its pool for a time.
    pub fn defer(&self, now: Time, entry: &Entry, time: Duration) {
        if let Some(dispatcher) = self.dispatchers.borrow_mut().get_mut(&entry.service) {
            dispatcher.defer(now, entry, time);
        }
    }

    /// Records what an endpoint says in an answer of the calls that it takes. One
    /// dispatcher sends the calls of all hosts, so it has the whole rate.
    pub fn record_notice(&self, now: Time, entry: &Entry, notice: Notice) {
        if let Some(dispatcher) = self.dispatchers.borrow_mut().get_mut(&entry.service) {
            dispatcher.record_notice(now, entry, Notice { hosts: 1, ..notice });
        }
    }

    /// Records the load that an endpoint reports in an answer.
    pub fn record_load(&self, now: Time, entry: &Entry, load: Load) {
        if let Some(dispatcher) = self.dispatchers.borrow_mut().get_mut(&entry.service) {
            dispatcher.record_load(now, entry, load);
        }
    }

    /// Forgets the load that endpoints have reported.
    pub fn forget_loads(&self) {
        let mut dispatchers = self.dispatchers.borrow_mut();
        dispatchers.values_mut().for_each(Dispatcher::forget_loads);
    }

    /// Returns the number of jobs in progress.
    pub fn jobs(&self) -> usize {
        self.replies.borrow().len()
    }

    /// Returns the backlog of a pool that this host dispatches.
    pub fn backlog(&self, now: Time, service: &id::Pool) -> Option<Duration> {
        let dispatchers = self.dispatchers.borrow();
        dispatchers
            .get(service)
            .map(|dispatcher| dispatcher.backlog(now))
    }

    /// Returns the number of queued pieces by service.
    pub fn queued(&self) -> Vec<(id::Pool, usize)> {
        let dispatchers = self.dispatchers.borrow();
        dispatchers
            .iter()
            .map(|(service, dispatcher)| (service.clone(), dispatcher.queued()))
            .collect()
    }
}

/// Accepts a job and returns the channel that receives its outcome.
pub fn add(host: &Rc<Host>, job: Job) -> Receiver<Outcome> {
    let (sender, receiver) = oneshot::channel();
    submit(host, job, sender);
    receiver
}

/// Accepts a job whose outcome goes to `reply`. For an unknown service or the id of
/// another job the reply is dropped, so that the job's host asks another dispatcher.
pub fn submit(host: &Rc<Host>, job: Job, reply: Sender<Outcome>) {
    if host.pools.replies.borrow().contains_key(&job.id) {
        return log::error!(
            home = job.id.home.as_str(),
            job = job.id.number,
            request = job.request.as_str();
            "job refused: another one has its id"
        );
    }

    let service = job.service.clone();
    let mut actions = Vec::new();
    let has_pool = with_dispatcher(host, &service, |dispatcher| {
        dispatcher.add(boot_clock::now(), job.clone(), &mut actions);
    });

    if has_pool {
        host.pools.replies.borrow_mut().insert(job.id, reply);
        perform(host, &service, actions);
        start_ticking(host);
    }
}

/// Cancels a job.
pub fn cancel(host: &Rc<Host>, id: &JobId) {
    host.pools.replies.borrow_mut().remove(id);
    let mut cancelled = Vec::new();

    for (service, dispatcher) in host.pools.dispatchers.borrow_mut().iter_mut() {
        let mut actions = Vec::new();
        dispatcher.cancel(boot_clock::now(), id, &mut actions);
        cancelled.push((service.clone(), actions));
    }

    for (service, actions) in cancelled {
        perform(host, &service, actions);
    }
}

/// Calls `run` with the dispatcher of a service, which is created if needed.
/// Returns whether the service has a pool, and thus a dispatcher.
pub(super) fn with_dispatcher(
    host: &Host,
    service: &id::Pool,
    run: impl FnOnce(&mut Dispatcher),
) -> bool {
    let view = host.view();
    let Some(config) = &view.config else {
        return false;
    };
    let Some(pool) = config.services.get(service).and_then(|s| s.pool.as_ref()) else {
        return false;
    };
    let mut dispatchers = host.pools.dispatchers.borrow_mut();
    let dispatcher = dispatchers.entry(service.clone()).or_insert_with(|| {
        let mut dispatcher = Dispatcher::new(pool.clone(), host.settings().budget);
        let entries = view.roster.service(service).iter();
        dispatcher.update(pool, entries, view.hosts());
        dispatcher.set_fleet(view.cold_fleet());
        dispatcher.set_order(host.settings().order);
        dispatcher
    });
    run(dispatcher);
    demotions::report(host, service, dispatcher.take_notes());
    true
}

/// Carries out the actions of a dispatcher.
pub(super) fn perform(host: &Rc<Host>, service: &id::Pool, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Finish { job, outcome } => {
                let reply = host.pools.replies.borrow_mut().remove(&job);

                if let Some(reply) = reply
                    && let Err(outcome) = reply.send(outcome)
                {
                    releases::release(host, service, outcome.outputs);
                }
            }
            Action::Release { outputs } => releases::release(host, service, outputs),
            Action::Send {
                call,
                entry,
                items,
                timeout,
            } => {
                let host = Rc::clone(host);
                let service = service.clone();
                spawn_local(async move {
                    let call_outcome = send_call(&host, &entry, &items, timeout).await;
                    finish_call(&host, &service, &entry, &items, call, call_outcome);
                });
            }
        }
    }
}

fn finish_call(
    host: &Rc<Host>,
    service: &id::Pool,
    entry: &Entry,
    items: &[Item],
    call: CallId,
    call_outcome: CallOutcome,
) {
    let name = outcome_name(&call_outcome);
    host.tally.count(
        "piece_calls",
        &[("service", service.as_str()), ("outcome", name)],
    );

    if !matches!(call_outcome, CallOutcome::Answered(_)) {
        log::info!(
            endpoint = entry.endpoint.as_str(),
            service = service.as_str(),
            pieces = items.len(),
            request = items.first().map(|item| item.request.as_str()),
            outcome = name;
            "call with pieces failed"
        );
    }

    let mut actions = Vec::new();
    with_dispatcher(host, service, |dispatcher| {
        dispatcher.finish(boot_clock::now(), call, call_outcome, &mut actions);
    });
    perform(host, service, actions);
}

async fn send_call(
    host: &Host,
    entry: &Entry,
    items: &[Item],
    time_limit: Duration,
) -> CallOutcome {
    let endpoint_call = host.codec.piece_call(items);
    let headers = host
        .codec
        .piece_headers(entry.endpoint.as_str(), time_limit);
    let mut request = hyper::Request::new(Full::new(endpoint_call.body.into()));
    *request.method_mut() = Method::POST;
    *request.headers_mut() = headers;
    *request.uri_mut() = hyper::Uri::from_static(endpoint_call.path);

    let sent = boot_clock::now();
    let call = async {
        let mut exchange = match host.client.send(entry, request).await {
            Ok(exchange) => exchange,
            Err(Failure::Unreachable(_)) => return CallOutcome::Unreachable,
            Err(Failure::Broken(_)) => return CallOutcome::Broken,
        };
        let response = &exchange.response;
        let answer = host
            .codec
            .read_answer(response.status(), response.headers());
        host.note_answer(entry, &answer, sent);
        let success = response.status().is_success();
        let Ok(body) = exchange.collect(MAX_RESPONSE_BYTES).await else {
            return CallOutcome::Broken;
        };
        let body = body.finish_whole();

        // Only a connection whose answer can be used is kept: a refusal might be
        // written once more.
        if answer.replaced {
            return CallOutcome::Replaced;
        }

        if answer.not_run {
            return CallOutcome::Full;
        }

        if !success {
            return CallOutcome::Broken;
        }

        match host.codec.piece_results(&body, items.len()) {
            Ok(results) if origin(host, entry, items, &results) == Origin::EarlierCall => {
                log::warn!(
                    endpoint = entry.endpoint.as_str(),
                    service = entry.service.as_str(),
                    pieces = items.len();
                    "response to an earlier call with pieces ignored"
                );
                CallOutcome::Broken
            }
            Ok(results) => {
                exchange.finish(answer.keep_alive, answer.closing);
                CallOutcome::Answered(results)
            }
            Err(fault) => {
                log::warn!(
                    endpoint = entry.endpoint.as_str();
                    "unreadable response to a call with pieces: {fault}"
                );
                CallOutcome::Broken
            }
        }
    };

    timeout(CALL_TIMEOUT, call)
        .await
        .unwrap_or(CallOutcome::Broken)
}

/// Returns which call a response with pieces answers.
fn origin(host: &Host, entry: &Entry, items: &[Item], results: &[piece::Result]) -> Origin {
    let mut dispatchers = host.pools.dispatchers.borrow_mut();
    let dispatcher = dispatchers.get_mut(&entry.service);
    dispatcher.map_or(Origin::ThisCall, |dispatcher| {
        dispatcher.origin(boot_clock::now(), &entry.endpoint, items, results)
    })
}

/// Starts a task that ticks the dispatchers while there are jobs, unless one
/// is running.
fn start_ticking(host: &Rc<Host>) {
    if host.pools.ticking.replace(true) {
        return;
    }

    let ticking = Ticking(Rc::clone(host));
    spawn_local(async move {
        let host = &ticking.0;

        while host.pools.jobs() > 0 {
            sleep(TICK_INTERVAL).await;
            cancel_orphans(host);
            log_summaries(host);
            let services = host.pools.queued().into_iter().map(|(service, _)| service);

            for service in services.collect::<Vec<id::Pool>>() {
                let mut actions = Vec::new();
                with_dispatcher(host, &service, |dispatcher| {
                    dispatcher.tick(boot_clock::now(), &mut actions);
                });
                perform(host, &service, actions);
            }
        }
    });
}

/// Marks the dispatchers as ticking until it is dropped, also by a panic, so that the
/// next job starts the ticks again.
struct Ticking(Rc<Host>);

impl Drop for Ticking {
    fn drop(&mut self) {
        self.0.pools.ticking.set(false);
    }
}

/// Cancels the jobs whose submitting host has closed its link or has ended.
fn cancel_orphans(host: &Rc<Host>) {
    let replies = host.pools.replies.borrow();
    let orphans = replies.iter().filter(|(_, reply)| reply.is_closed());
    let orphans = orphans.map(|(id, _)| id.clone()).collect::<Vec<JobId>>();
    drop(replies);

    for id in orphans {
        log::info!(home = id.home.as_str(), job = id.number; "job given up: its home is gone");
        host.tally.count("orphans", &[]);
        cancel(host, &id);
    }
}

/// Logs the state of each pool with jobs, at most once per interval.
fn log_summaries(host: &Host) {
    let now = boot_clock::now();

    if now.since(host.pools.last_summary.get()) < SUMMARY_INTERVAL {
        return;
    }

    host.pools.last_summary.set(now);

    for (service, dispatcher) in host.pools.dispatchers.borrow().iter() {
        let summary = dispatcher.summary(now);

        if summary.jobs > 0 {
            log::info!(
                service = service.as_str(),
                jobs = summary.jobs,
                late = summary.late,
                queued = summary.queued,
                running = summary.running,
                calls = summary.calls,
                idle = summary.idle,
                paused = summary.paused,
                endpoints = summary.endpoints,
                stored_kb = summary.stored_bytes / 1000,
                backlog_ms = summary.backlog.as_millis();
                "pool"
            );
        }
    }
}

const fn outcome_name(call_outcome: &CallOutcome) -> &'static str {
    match call_outcome {
        CallOutcome::Answered(_) => "answered",
        CallOutcome::Broken => "broken",
        CallOutcome::Full => "full",
        CallOutcome::Replaced => "replaced",
        CallOutcome::Unreachable => "unreachable",
    }
}
