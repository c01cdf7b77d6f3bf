//! Finds out which endpoints have crashed, and under which requests.
//!
//! A request without an answer may have crashed its endpoint. That shows once the
//! endpoint refuses connections, also if this host has given the request up before the
//! endpoint ended.

use {
    crate::{
        coordination::serving::{control::Event, host::Host, request::Request},
        state::{
            clock::Time,
            id, rendezvous,
            serving::{
                crashes::{Crash, Lost},
                quarantine::Status,
                roster::Entry,
            },
        },
        transport::{boot_clock, http::client},
    },
    std::{
        cell::RefCell,
        collections::{BTreeSet, HashMap, HashSet},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{Notify, oneshot},
        task::spawn_local,
        time::timeout,
    },
};

/// Time after which an endpoint is checked whose request was given up. It still runs the
/// request until it notices that the connection is closed.
const GIVEN_UP_DELAY: Duration = Duration::from_millis(250);

/// Minimum time between two checks of an endpoint for requests that were given up. An
/// overloaded endpoint leaves many requests without an answer, and a check is a new
/// connection.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of fingerprints of requests known to have been answered, after which
/// all are forgotten.
const MAX_ANSWERED: usize = 16_384;

/// Minimum time between two requests by which a host tries whether a request is still
/// harmful after its quarantine. The first one has crashed its endpoint by then, or not.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);

/// How a request fared at an endpoint that received it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The endpoint has answered it, also with a failure.
    Answered,
    /// The connection broke before the end of the answer.
    Broken,
    /// The request shows nothing about the endpoint: it was refused, or the caller left
    /// while the answer arrived.
    Other,
}

/// The endpoint of which an incarnation is checked.
type Key = (id::Endpoint, u64);

/// The requests for which an endpoint is checked. A task runs while there are any.
#[derive(Default)]
struct Checks {
    /// Wakes the task.
    changed: Rc<Notify>,
    /// When the endpoint was last checked.
    last: Option<Time>,
    /// Receive the result of the next check.
    listeners: Vec<oneshot::Sender<bool>>,
    /// The fingerprints of the requests. One may be there several times.
    requests: Vec<(u64, Due)>,
}

/// From when on an endpoint may be checked for a request.
#[derive(Clone, Copy)]
enum Due {
    Broken(Time),
    GivenUp(Time),
}

impl Due {
    const fn time(self) -> Time {
        match self {
            Self::Broken(time) | Self::GivenUp(time) => time,
        }
    }
}

impl Checks {
    /// Returns the time of the next check.
    fn next(&self) -> Option<Time> {
        let earliest = self.last.map_or(Time::ZERO, |last| last + CHECK_INTERVAL);
        let times = self.requests.iter().map(|(_, due)| match due {
            Due::Broken(time) => *time,
            Due::GivenUp(time) => earliest.max(*time),
        });
        times.min()
    }
}

/// What a host knows of endpoints that may have crashed.
#[derive(Default)]
pub struct Crashes {
    answered: RefCell<HashSet<u64>>,
    checks: RefCell<HashMap<Key, Checks>>,
    /// When requests were last tried after their quarantine.
    trials: RefCell<HashMap<u64, Time>>,
}

impl Crashes {
    fn record_answer(&self, fingerprint: u64) {
        let mut answered = self.answered.borrow_mut();

        if answered.len() >= MAX_ANSWERED {
            answered.clear();
        }

        answered.insert(fingerprint);
    }

    /// Returns whether a request may be tried after its quarantine, and records it.
    fn start_trial(&self, now: Time, fingerprint: u64) -> bool {
        let mut trials = self.trials.borrow_mut();
        trials.retain(|_, last| now.since(*last) < TRIAL_INTERVAL);
        let starts = !trials.contains_key(&fingerprint);

        if starts {
            trials.insert(fingerprint, now);
        }

        starts
    }
}

/// Follows a request at an endpoint until it has an answer. Dropping it means that the
/// request was given up.
pub struct Watch {
    entry: Arc<Entry>,
    fingerprint: u64,
    /// `None` once the end is known.
    host: Option<Rc<Host>>,
    /// Whether the endpoint is checked if the request is given up. Engines cancel such
    /// requests, and callers of streams leave often.
    suspects_silence: bool,
}

impl Watch {
    /// Begins to follow a request that is sent to an endpoint.
    pub fn new(host: &Rc<Host>, request: &Request, entry: &Arc<Entry>) -> Self {
        Self {
            entry: Arc::clone(entry),
            fingerprint: request.fingerprint(),
            host: Some(Rc::clone(host)),
            suspects_silence: !request.route.stream,
        }
    }

    /// Ends the watch.
    pub fn end(mut self, end: End) {
        let Some(host) = self.host.take() else {
            return;
        };

        match end {
            End::Answered => record_answer(&host, self.fingerprint),
            End::Broken => {
                let due = Due::Broken(boot_clock::now());
                check(&host, &self.entry, self.fingerprint, due);
            }
            End::Other => {}
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if let Some(host) = self.host.take()
            && self.suspects_silence
        {
            let due = Due::GivenUp(boot_clock::now() + GIVEN_UP_DELAY);
            check(&host, &self.entry, self.fingerprint, due);
        }
    }
}

/// Returns after which time a request may be sent to endpoints, or `None` if it may be
/// now. After the quarantine of a request one host tries if it is still harmful.
pub fn refusal_time(host: &Host, request: &Request) -> Option<Duration> {
    let view = host.view();

    if view.harmful_requests.is_empty() {
        return None;
    }

    let now = boot_clock::now();
    let fingerprint = request.fingerprint();

    match view.harmful_requests.status(now, fingerprint) {
        Status::Clear => None,
        Status::Probation => {
            let tries = is_first(host, fingerprint) && host.crashes.start_trial(now, fingerprint);
            (!tries).then_some(TRIAL_INTERVAL)
        }
        Status::Quarantined => Some(view.harmful_requests.remaining(now, fingerprint)),
    }
}

/// Returns how much longer a request is in quarantine, if it is.
pub fn remaining_quarantine(host: &Host, request: &Request) -> Option<Duration> {
    let harmful = &host.view().harmful_requests;

    if harmful.is_empty() {
        return None;
    }

    let remaining = harmful.remaining(boot_clock::now(), request.fingerprint());
    (!remaining.is_zero()).then_some(remaining)
}

/// Returns whether a request whose endpoint has failed may go to another one, as far as
/// endpoints have not crashed under it before.
pub fn allows_retry(host: &Host, request: &Request) -> bool {
    let view = host.view();

    if view.suspects.is_empty() && view.harmful_requests.is_empty() {
        return true;
    }

    let fingerprint = request.fingerprint();
    let status = view.harmful_requests.status(boot_clock::now(), fingerprint);
    view.suspects.allow_retry(fingerprint) && status == Status::Clear
}

/// Returns whether this host comes first for a request among all live hosts.
fn is_first(host: &Host, fingerprint: u64) -> bool {
    let view = host.view();
    let weight = |name: &id::Host| rendezvous::weight(&fingerprint, &name.as_str());
    let own = weight(&view.local.host);
    let mut members = view.members.iter();
    members.all(|member| weight(&member.host) < own)
}

fn record_answer(host: &Host, fingerprint: u64) {
    host.crashes.record_answer(fingerprint);
    let view = host.view();
    let status = view.harmful_requests.status(boot_clock::now(), fingerprint);

    if view.suspects.includes(fingerprint) || status == Status::Probation {
        // Fails only after the control thread has stopped.
        drop(host.control.send(Event::Answered(fingerprint)));
    }
}

/// Checks whether an endpoint has crashed under a request, once it is due.
fn check(host: &Rc<Host>, entry: &Arc<Entry>, fingerprint: u64, due: Due) {
    let key = (entry.endpoint.clone(), entry.incarnation);
    let mut checks = host.crashes.checks.borrow_mut();
    let is_checked = checks.contains_key(&key);
    let endpoint = checks.entry(key.clone()).or_default();
    endpoint.requests.push((fingerprint, due));
    endpoint.changed.notify_one();

    if !is_checked {
        let (host, entry) = (Rc::clone(host), Arc::clone(entry));
        let changed = Rc::clone(&endpoint.changed);
        spawn_local(async move { run_checks(&host, &entry, &key, &changed).await });
    }
}

/// Returns where the result of the next check of an endpoint arrives: whether it has
/// crashed. Nothing arrives if no check is due.
pub fn next_result(host: &Host, entry: &Entry) -> oneshot::Receiver<bool> {
    let (listener, result) = oneshot::channel();
    let key = (entry.endpoint.clone(), entry.incarnation);

    if let Some(endpoint) = host.crashes.checks.borrow_mut().get_mut(&key) {
        endpoint.listeners.push(listener);
    }

    result
}

/// Checks an endpoint each time that one of its requests is due, until it has crashed or
/// none was left for a while.
async fn run_checks(host: &Host, entry: &Entry, key: &Key, changed: &Notify) {
    loop {
        let next = {
            let checks = host.crashes.checks.borrow();
            checks.get(key).and_then(Checks::next)
        };
        let now = boot_clock::now();
        let pause = next.map_or(CHECK_INTERVAL, |next| next.since(now));

        if timeout(pause, changed.notified()).await.is_ok() {
            // Another request may be due sooner.
            continue;
        }

        if next.is_none() {
            host.crashes.checks.borrow_mut().remove(key);
            return;
        }

        let started = boot_clock::now();
        let crashed = client::refuses_connections(entry.address).await;
        let mut checks = host.crashes.checks.borrow_mut();
        let Some(endpoint) = checks.get_mut(key) else {
            return;
        };

        for listener in endpoint.listeners.drain(..) {
            // Fails if the receiver was dropped.
            let _ = listener.send(crashed);
        }

        if crashed {
            let requests = std::mem::take(&mut endpoint.requests);
            checks.remove(key);
            drop(checks);
            let fingerprints = requests.into_iter().map(|(fingerprint, _)| fingerprint);
            return report(host, entry, &fingerprints.collect());
        }

        endpoint.last = Some(started);
        endpoint.requests.retain(|(_, due)| due.time() > started);
    }
}

/// Reports a crash. An endpoint that is leaving, or whose domain is evacuated, ends
/// without one.
fn report(host: &Host, entry: &Entry, fingerprints: &BTreeSet<u64>) {
    let view = host.view();
    let listed = view.roster.get(&entry.endpoint);

    if !listed.is_some_and(|listed| listed.incarnation == entry.incarnation && !listed.leaving) {
        return;
    }

    let answered = host.crashes.answered.borrow();
    let requests = fingerprints.iter().map(|fingerprint| Lost {
        answered_before: answered.contains(fingerprint),
        fingerprint: *fingerprint,
    });
    let crash = Crash {
        endpoint: entry.endpoint.clone(),
        incarnation: entry.incarnation,
        requests: requests.collect(),
    };
    let fingerprints = fingerprints.iter();
    let fingerprints = fingerprints.map(|fingerprint| format!("{fingerprint:x}"));
    host.tally
        .count("endpoint_crashes", &[("service", entry.service.as_str())]);
    log::warn!(
        endpoint = entry.endpoint.as_str(),
        service = entry.service.as_str(),
        incarnation = entry.incarnation,
        fingerprints = fingerprints.collect::<Vec<String>>().join(",").as_str();
        "endpoint crashed with requests"
    );
    // Fails only after the control thread has stopped.
    drop(host.control.send(Event::EndpointCrashed(crash)));
}
