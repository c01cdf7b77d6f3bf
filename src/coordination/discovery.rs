//! Threads that poll the host list and the endpoints' reports.

use {
    crate::{
        coordination::{control, membership, published_view::PublishedView, scheduling},
        protocol::{
            call::{CacheEvents, Load},
            hosts::{ENTRY_POOL, Host, Hosts},
        },
        state::{
            clock::Time,
            endpoint::{self, Endpoint, Phase},
            event, id,
            pool::Kind,
            registry::Registry,
            request,
            subset::{self, subset},
        },
        transport::{
            boot_clock,
            client::{self, Client},
        },
    },
    log::warn,
    serde::de::DeserializeOwned,
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
            mpsc::Sender,
        },
        thread,
        time::Duration,
    },
};

/// Interval between reads of the host list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a read of the host list.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between reads of an endpoint's reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a read from an endpoint. It limits how long a stalled endpoint
/// delays the reads from the others.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of threads that read reports in parallel.
const REPORT_THREADS: usize = 4;

/// Polls the host list and the endpoints' reports and passes them to the
/// control thread.
#[derive(Debug)]
pub struct Discovery {
    client: Client,
    control: Sender<control::Event>,
    host: id::Host,
    host_list: SocketAddr,
    /// Revision of the host list whose unreadable records were last logged.
    list_revision: AtomicU64,
    published: PublishedView,
    registry: Mutex<Registry>,
    /// Sequence number of the last cache event read from each engine.
    sequences: Mutex<HashMap<id::Endpoint, u64>>,
}

impl Discovery {
    /// Creates the readers. The host list is served at `host_list`.
    pub fn new(
        host: id::Host,
        host_list: SocketAddr,
        published: PublishedView,
        control: Sender<control::Event>,
    ) -> Self {
        Self {
            client: Client::new(),
            control,
            host,
            host_list,
            list_revision: AtomicU64::default(),
            published,
            registry: Mutex::default(),
            sequences: Mutex::default(),
        }
    }

    /// Starts the threads. They end after the control thread has stopped.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be started.
    pub fn start(self) -> io::Result<()> {
        let discovery = Arc::new(self);
        let host_list_reader = Arc::clone(&discovery);

        thread::Builder::new()
            .name("host-list".into())
            .spawn(move || {
                while host_list_reader.refresh_host_list() == Next::Continue {
                    thread::sleep(LIST_INTERVAL);
                }
            })?;

        thread::Builder::new()
            .name("reports".into())
            .spawn(move || {
                while discovery.refresh_reports() == Next::Continue {
                    thread::sleep(REPORT_INTERVAL);
                }
            })?;

        Ok(())
    }

    /// Reads the host list once. If that fails, the last list stays in use.
    fn refresh_host_list(&self) -> Next {
        let body = self.read_body(self.host_list, "/v1/hosts", LIST_TIMEOUT);
        let list = body.and_then(|body| Hosts::read(&body).map_err(|error| error.to_string()));

        match list {
            Ok(hosts) => {
                let (records, errors) = hosts.records();

                if self.list_revision.swap(hosts.revision, Ordering::Relaxed) != hosts.revision {
                    for error in errors {
                        warn!("host list: {error}");
                    }
                }

                let endpoints = records.iter().filter_map(endpoint).collect();
                let event = membership::Event::Hosts(records);
                let _ = self.control.send(control::Event::Membership(event));
                self.registry()
                    .update(boot_clock::now(), hosts.revision, endpoints);
                self.publish()
            }
            Err(error) => {
                warn!("cannot read the host list: {error}");
                Next::Continue
            }
        }
    }

    /// Reads the reports of all endpoints in use once.
    fn refresh_reports(&self) -> Next {
        let view = self.published.get();
        let reporting: Vec<(&Endpoint, Kind)> = view
            .endpoints
            .iter()
            .filter_map(|endpoint| {
                let pool = view.policy.pools.get(&endpoint.pool)?;
                (pool.reports_load || pool.kind == Kind::Engine).then_some((endpoint, pool.kind))
            })
            .collect();
        let chunk_size = reporting.len().div_ceil(REPORT_THREADS).max(1);

        thread::scope(|scope| {
            for endpoints in reporting.chunks(chunk_size) {
                scope.spawn(move || {
                    for (endpoint, kind) in endpoints {
                        self.read_load(endpoint);

                        if *kind == Kind::Engine {
                            self.read_cache_events(endpoint);
                        }
                    }
                });
            }
        });

        self.publish()
    }

    fn read_load(&self, endpoint: &Endpoint) {
        let Ok(load) = self.read::<Load>(endpoint.address, "/v1/load", REPORT_TIMEOUT) else {
            // The health of an endpoint depends on its calls, not on this read.
            return;
        };

        let reported_at = subtract_age(boot_clock::now(), load.age);
        let phase = if load.leaving {
            Phase::Leaving
        } else {
            Phase::Live
        };
        self.registry()
            .report_phase(reported_at, &endpoint.endpoint, phase);
        self.send(event::Event::Load {
            endpoint: endpoint.endpoint.clone(),
            load: endpoint::LoadReport {
                age: load.age,
                capacity: load.capacity,
                queued: load.queued,
                running: load.running,
            },
        });
    }

    fn read_cache_events(&self, endpoint: &Endpoint) {
        let after = self
            .sequences()
            .get(&endpoint.endpoint)
            .copied()
            .unwrap_or_default();
        let path = format!("/v1/cache-events?after={after}");

        let Ok(answer) = self.read::<CacheEvents>(endpoint.address, &path, REPORT_TIMEOUT) else {
            return;
        };

        for event in answer.events {
            self.sequences()
                .insert(endpoint.endpoint.clone(), event.sequence);
            self.send(event::Event::Cache {
                endpoint: endpoint.endpoint.clone(),
                event: endpoint::CacheEvent {
                    change: event.kind,
                    prefix: request::prefix_hash(&event.prefix),
                    sequence: event.sequence,
                },
            });
        }
    }

    /// Sends the control thread the subset of endpoints that this host uses.
    fn publish(&self) -> Next {
        let endpoints = self.registry().endpoints();
        let endpoints = subset(&self.host, endpoints, subset::SIZE);
        self.send(event::Event::Endpoints(endpoints))
    }

    fn send(&self, event: event::Event) -> Next {
        let event = control::Event::Scheduling(scheduling::Event::Scheduler(event));

        match self.control.send(event) {
            Ok(()) => Next::Continue,
            Err(_) => Next::Stop,
        }
    }

    fn read<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<T, String> {
        let body = self.read_body(address, path, timeout)?;
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    }

    fn read_body(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<Vec<u8>, String> {
        let response = self
            .client
            .get(address, path, &[], timeout)
            .map_err(|failure| failure.into_error().to_string())?;
        let status = response.status();

        if status != 200 {
            return Err(format!("{address} answered {status}"));
        }

        client::read_body(address, timeout, response)
            .map_err(|failure| failure.into_error().to_string())
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sequences(&self) -> MutexGuard<'_, HashMap<id::Endpoint, u64>> {
        self.sequences
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    Continue,
    Stop,
}

fn endpoint(host: &Host) -> Option<Endpoint> {
    (host.pool.as_str() != ENTRY_POOL).then(|| Endpoint {
        address: host.address,
        domain: host.domain.clone(),
        endpoint: host.id.as_str().into(),
        phase: host.phase,
        pool: host.pool.clone(),
    })
}

fn subtract_age(now: Time, age: Duration) -> Time {
    let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    Time::from_micros(now.as_micros().saturating_sub(age))
}
