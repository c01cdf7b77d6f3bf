//! A stand-in for the host list.

use {
    crate::{
        error::Error,
        http::{Reply, Request},
        server::{Handler, Server, lock},
    },
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Phase of a host or endpoint. A record with `gone` removes it from the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    Gone,
    Leaving,
    Live,
}

/// Record of a host or endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Host {
    pub address: SocketAddr,
    pub domain: String,
    pub id: String,
    pub phase: Phase,
    pub pool: String,
}

/// Fault switches of the host list. `None` keeps the current value.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay in milliseconds until a change is visible. It also applies to
    /// earlier changes that are not visible yet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lag_ms: Option<u64>,
    /// Whether every read gets a 503 response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
}

struct Record {
    host: Host,
    set_at: Instant,
    visible_at: Instant,
}

#[derive(Default)]
struct State {
    faults: Faults,
    /// All records in the order in which they were set.
    records: Vec<Record>,
}

impl State {
    fn lag(&self) -> Duration {
        Duration::from_millis(self.faults.lag_ms.unwrap_or(0))
    }
}

#[derive(Default)]
struct List(Mutex<State>);

/// A running host list.
pub struct Handle {
    list: Arc<List>,
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

    /// Adds or replaces a record.
    pub fn put(&self, host: Host) {
        self.list.put(host);
    }

    /// Sets fault switches.
    pub fn set(&self, faults: Faults) {
        self.list.set(faults);
    }
}

/// Starts a host list; port 0 picks a free port.
///
/// # Errors
///
/// Returns an error when it cannot listen on the address.
pub fn start(listen: SocketAddr) -> Result<Handle, Error> {
    let list = Arc::<List>::default();
    let server = Server::start(listen, Arc::clone(&list))?;
    Ok(Handle { list, server })
}

impl Handler for List {
    fn handle(&self, request: Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/hosts") => self.get(),
            ("POST", "/v1/hosts") => match request.json() {
                Ok(host) => {
                    self.put(host);
                    Reply::ok(json!({}))
                }
                Err(reply) => reply,
            },
            ("POST", "/v1/faults") => match request.json() {
                Ok(faults) => {
                    self.set(faults);
                    Reply::ok(json!({}))
                }
                Err(reply) => reply,
            },
            _ => Reply::problem(404, "unknown method or path"),
        }
    }
}

impl List {
    fn get(&self) -> Reply {
        let state = lock(&self.0);

        if state.faults.outage == Some(true) {
            return Reply::problem(503, "the host list is down");
        }

        let now = Instant::now();
        let mut hosts = BTreeMap::new();
        let mut revision = 0;

        for Record { host, .. } in state
            .records
            .iter()
            .take_while(|record| record.visible_at <= now)
        {
            revision += 1;

            if host.phase == Phase::Gone {
                hosts.remove(&host.id);
            } else {
                hosts.insert(&host.id, host);
            }
        }

        let hosts: Vec<&&Host> = hosts.values().collect();
        Reply::ok(json!({ "hosts": hosts, "revision": revision }))
    }

    fn put(&self, host: Host) {
        let mut state = lock(&self.0);
        let set_at = Instant::now();
        let visible_at = set_at + state.lag();
        state.records.push(Record {
            host,
            set_at,
            visible_at,
        });
    }

    fn set(&self, faults: Faults) {
        let mut state = lock(&self.0);
        let now = Instant::now();
        state.faults.lag_ms = faults.lag_ms.or(state.faults.lag_ms);
        state.faults.outage = faults.outage.or(state.faults.outage);
        let lag = state.lag();

        for record in state
            .records
            .iter_mut()
            .filter(|record| record.visible_at > now)
        {
            record.visible_at = record.set_at + lag;
        }
    }
}
