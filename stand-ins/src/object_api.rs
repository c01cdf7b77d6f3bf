//! A stand-in for the object API.

use {
    crate::{
        error::Error,
        http::{Reply, Request},
        server::{Handler, Server, lock},
        store::{Condition, Conflict, Store},
    },
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Longest time between two checks of a waiting watch, which is not notified
/// when a delayed event becomes visible.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time that a watch waits, in milliseconds. Longer requested times are
/// reduced to it.
const MAX_WATCH_WAIT_MS: u64 = 60_000;

/// Number of calls by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    pub delete: u64,
    pub get: u64,
    pub list: u64,
    pub put: u64,
    pub watch: u64,
}

/// Fault switches of the object API. `None` keeps the current value.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every call gets a 503 response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// Number of next writes that take effect but get no response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_replies: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// Delay in milliseconds until watches return a change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub watch_delay_ms: Option<u64>,
    /// Number of next changes that watches never return.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub watch_drop: Option<u32>,
    /// Whether watches return their events in reverse order.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub watch_shuffle: Option<bool>,
}

#[derive(Default)]
struct State {
    counts: Counts,
    faults: Faults,
    store: Store,
}

#[derive(Default)]
struct Api {
    changed: Condvar,
    state: Mutex<State>,
}

/// A running object API.
pub struct Handle {
    api: Arc<Api>,
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

    /// Returns the number of calls so far, by kind.
    pub fn counts(&self) -> Counts {
        lock(&self.api.state).counts
    }

    /// Sets fault switches.
    pub fn set(&self, faults: Faults) {
        self.api.set(faults);
    }

    /// Creates an object. Fault switches do not affect this.
    ///
    /// # Panics
    ///
    /// Panics when an object with this key exists.
    pub fn create(&self, key: &str, value: Value) {
        let written = lock(&self.api.state)
            .store
            .write(key, Some(value), Condition::Absent, true);
        written.expect("no object has this key");
        self.api.changed.notify_all();
    }

    /// Returns the value of an object. Fault switches do not affect this.
    pub fn value(&self, key: &str) -> Option<Value> {
        let state = lock(&self.api.state);
        state.store.get(key).map(|object| object.value.clone())
    }
}

/// Starts an object API; port 0 picks a free port.
///
/// # Errors
///
/// Returns an error when the object API cannot listen on the address.
pub fn start(listen: SocketAddr) -> Result<Handle, Error> {
    let api = Arc::<Api>::default();
    let server = Server::start(listen, Arc::clone(&api))?;
    Ok(Handle { api, server })
}

impl Handler for Api {
    fn handle(&self, request: Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/counts") => Reply::ok(lock(&self.state).counts),
            ("POST", "/v1/faults") => match request.json() {
                Ok(faults) => {
                    self.set(faults);
                    Reply::ok(json!({}))
                }
                Err(reply) => reply,
            },
            ("GET", "/v1/watch") => {
                self.with_faults(&request, |counts| &mut counts.watch, Self::watch)
            }
            ("GET", "/v1/objects") => {
                self.with_faults(&request, |counts| &mut counts.list, Self::list)
            }
            ("GET", _) => self.with_faults(&request, |counts| &mut counts.get, Self::get),
            ("PUT", _) => self.with_faults(&request, |counts| &mut counts.put, Self::put),
            ("DELETE", _) => self.with_faults(&request, |counts| &mut counts.delete, Self::delete),
            _ => Reply::problem(405, "the supported methods are GET, PUT and DELETE"),
        }
    }
}

impl Api {
    fn set(&self, faults: Faults) {
        let mut state = lock(&self.state);
        let current = &mut state.faults;
        current.outage = faults.outage.or(current.outage);
        current.lose_replies = faults.lose_replies.or(current.lose_replies);
        current.slow_ms = faults.slow_ms.or(current.slow_ms);
        current.watch_delay_ms = faults.watch_delay_ms.or(current.watch_delay_ms);
        current.watch_drop = faults.watch_drop.or(current.watch_drop);
        current.watch_shuffle = faults.watch_shuffle.or(current.watch_shuffle);
        self.changed.notify_all();
    }

    fn with_faults(
        &self,
        request: &Request,
        count: fn(&mut Counts) -> &mut u64,
        call: fn(&Self, &Request) -> Reply,
    ) -> Reply {
        let slow = {
            let mut state = lock(&self.state);
            *count(&mut state.counts) += 1;
            state.faults.slow_ms.unwrap_or(0)
        };

        thread::sleep(Duration::from_millis(slow));

        if self.outage() {
            return outage();
        }

        call(self, request)
    }

    fn outage(&self) -> bool {
        lock(&self.state).faults.outage == Some(true)
    }

    fn get(&self, request: &Request) -> Reply {
        let state = lock(&self.state);

        match key(request).and_then(|key| state.store.get(key)) {
            Some(object) => Reply::ok(object),
            None => Reply::problem(404, "no object has this key"),
        }
    }

    fn list(&self, request: &Request) -> Reply {
        let state = lock(&self.state);
        let limit = usize::try_from(request.number("limit", 1000)).unwrap_or(usize::MAX);
        let objects = state
            .store
            .list(request.text("prefix"), request.text("after"), limit);
        Reply::ok(json!({ "objects": objects, "revision": state.store.revision() }))
    }

    fn put(&self, request: &Request) -> Reply {
        match request.json::<Value>() {
            Ok(value) => self.write(request, Some(value)),
            Err(reply) => reply,
        }
    }

    fn delete(&self, request: &Request) -> Reply {
        self.write(request, None)
    }

    fn write(&self, request: &Request, value: Option<Value>) -> Reply {
        let (Some(key), Some(condition)) = (key(request), condition(request)) else {
            return Reply::problem(
                428,
                "a write requires a key and If-Match or If-None-Match: *",
            );
        };

        let mut state = lock(&self.state);
        let dropped = state.faults.watch_drop.unwrap_or(0);

        let version = match state.store.write(key, value, condition, dropped == 0) {
            Ok(version) => version,
            Err(Conflict(version)) => {
                return Reply::status(412, json!({ "key": key, "version": version }));
            }
        };

        state.faults.watch_drop = Some(dropped.saturating_sub(1));
        self.changed.notify_all();

        match state.faults.lose_replies {
            Some(lose @ 1..) => {
                state.faults.lose_replies = Some(lose - 1);
                Reply::Close
            }
            _ => Reply::ok(json!({ "key": key, "version": version })),
        }
    }

    fn watch(&self, request: &Request) -> Reply {
        let wait = Duration::from_millis(request.number("wait_ms", 0).min(MAX_WATCH_WAIT_MS));
        let deadline = Instant::now() + wait;
        let mut state = lock(&self.state);

        loop {
            if state.faults.outage == Some(true) {
                return outage();
            }

            let delay = Duration::from_millis(state.faults.watch_delay_ms.unwrap_or(0));
            let mut watch =
                state
                    .store
                    .changes(request.text("prefix"), request.number("after", 0), delay);

            if !watch.events.is_empty() || Instant::now() >= deadline {
                if state.faults.watch_shuffle == Some(true) {
                    watch.events.reverse();
                }

                return Reply::ok(watch);
            }

            state = self
                .changed
                .wait_timeout(state, WATCH_POLL_INTERVAL)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

fn outage() -> Reply {
    Reply::problem(503, "the object API is down")
}

fn key(request: &Request) -> Option<&str> {
    request
        .path
        .strip_prefix("/v1/objects/")
        .filter(|key| !key.is_empty())
}

fn condition(request: &Request) -> Option<Condition> {
    if request
        .headers
        .get("if-none-match")
        .is_some_and(|value| value == "*")
    {
        return Some(Condition::Absent);
    }

    let version = request.headers.get("if-match")?;
    Some(Condition::Version(version.trim_matches('"').parse().ok()?))
}
