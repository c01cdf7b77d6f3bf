//! The hosts under test and the platform around them, with the operations that
//! inject and clear faults.

mod processes;

use {
    crate::{
        graph::Graph,
        plan::{FAULTY_REQUESTS, Fault, Parameters, Step, Transition},
        record::{Drain, Record, Target, key_text},
    },
    serde_json::json,
    stand_ins::{
        platform::{
            config::{config, route},
            host::{Addresses, Host, STORE_WAIT, Settings},
            store::{Copy, Store},
            workers::{self, Worker},
        },
        relay::Relay,
        server::lock,
    },
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Number of events of a stream.
pub const EVENTS: usize = 8;

/// Time that a worker takes for a request, and between two events of a stream.
const WORK_TIME: Duration = Duration::from_millis(15);

/// Times that a stage worker takes for a call, by seed. The longer ones last longer
/// than the restart of a host; with the longest one, drafts wait for stages while their
/// host stops.
const STAGE_TIMES: [Duration; 3] = [
    WORK_TIME,
    Duration::from_millis(500),
    Duration::from_millis(1500),
];

/// Fields of the route of drafts. Callers wait for stages until after the end of a
/// host's grace period.
const DRAFT_TIMEOUT_MS: u64 = 15_000;
const DRAFT_GOAL_MS: u64 = 3500;

/// Added to the time that a slow worker takes.
const SLOW_WORKER_DELAY: Duration = Duration::from_millis(400);

/// Added to the response time of a slow store.
const STORE_DELAY: Duration = Duration::from_millis(200);

/// Added to the latency of a slow link between hosts.
const PEER_DELAY: Duration = Duration::from_millis(100);

/// Number of hosts that are configured as seeds of all hosts.
const SEED_HOSTS: usize = 3;

/// Services that are assigned to the workers round robin.
const SERVICES: [&str; 4] = ["plain", "stage", "engine", "spare"];

enum ProcessState {
    /// Killed, until its fault ends.
    Down,
    Paused,
    Running,
    /// Asked to stop at this time.
    Stopping(Instant),
}

struct Process {
    addresses: Addresses,
    host: Option<Host>,
    state: ProcessState,
    peer_link: Relay,
    settings: Settings,
    store_link: Relay,
}

/// A worker and the relay through which hosts reach it.
pub struct LinkedWorker {
    generation: u32,
    pub link: Relay,
    pub service: &'static str,
    pub worker: Worker,
}

/// All processes and stand-ins of a run.
pub struct Environment {
    binary: PathBuf,
    /// The content from which the store will be restored.
    copy: Option<Copy>,
    folder: PathBuf,
    pub graph: Graph,
    processes: Vec<Process>,
    record: Arc<Mutex<Record>>,
    pub linked_workers: Vec<LinkedWorker>,
    store: Store,
}

impl Environment {
    /// Starts the store, the workers and the hosts, and waits until every
    /// host is ready.
    ///
    /// # Panics
    ///
    /// Panics if a process or a stand-in cannot be started.
    pub fn start(
        binary: &Path,
        folder: &Path,
        parameters: &Parameters,
        record: Arc<Mutex<Record>>,
    ) -> Self {
        let mut environment = Self {
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            graph: Graph::of_seed(parameters.seed),
            processes: Vec::new(),
            record,
            linked_workers: Vec::new(),
            store: Store::start(),
            copy: None,
        };

        let stage_time = STAGE_TIMES[parameters.seed as usize % STAGE_TIMES.len()];

        for number in 0..parameters.workers {
            let service = SERVICES[number % SERVICES.len()];
            let time = if service == "stage" {
                stage_time
            } else {
                WORK_TIME
            };
            environment.add_worker(number, service, time);
        }

        environment.configure();
        environment.add_hosts(parameters.hosts);
        environment
    }

    fn add_worker(&mut self, number: usize, service: &'static str, time: Duration) {
        let worker = Worker::start(&endpoint_name(number, 0), EVENTS, time);
        let link = Relay::start(Some(worker.address())).expect("a relay starts");
        self.linked_workers.push(LinkedWorker {
            generation: 0,
            link,
            service,
            worker,
        });
        self.list_worker(number, "ready");
    }

    fn add_hosts(&mut self, hosts: usize) {
        let addresses = (0..hosts).map(|_| Addresses::new()).collect::<Vec<_>>();
        let links = addresses
            .iter()
            .map(|addresses| Relay::start(Some(addresses.peers)).expect("a relay starts"))
            .collect::<Vec<Relay>>();
        let seeds = links.iter().take(SEED_HOSTS).map(Relay::address);
        let seeds = seeds.collect::<Vec<SocketAddr>>();

        for (number, (addresses, peer_link)) in addresses.into_iter().zip(links).enumerate() {
            let store_link = Relay::start(Some(self.store.address())).expect("a relay starts");
            self.processes.push(Process {
                addresses,
                host: None,
                state: ProcessState::Down,
                settings: Settings {
                    name: format!("h{number}"),
                    peer_address: Some(peer_link.address()),
                    peers: seeds.clone(),
                    store: store_link.address(),
                    sections: String::new(),
                    store_wait: STORE_WAIT,
                },
                peer_link,
                store_link,
            });
            self.start_host(number);
        }

        for process in &mut self.processes {
            if let Some(host) = &mut process.host {
                host.wait_ready();
            }
        }
    }

    /// Returns the addresses of every host.
    pub fn addresses(&self) -> Vec<Addresses> {
        let processes = self.processes.iter();
        processes.map(|process| process.addresses).collect()
    }

    /// Returns the paths of the log files of all hosts.
    pub fn logs(&self) -> Vec<PathBuf> {
        let hosts = self.processes.iter().filter_map(|p| p.host.as_ref());
        hosts.map(|host| host.log_path().to_owned()).collect()
    }

    /// Returns whether every host runs and is ready.
    pub fn is_ready(&self) -> bool {
        self.processes.iter().all(|process| {
            matches!(process.state, ProcessState::Running)
                && process.host.as_ref().is_some_and(Host::is_ready)
        })
    }

    /// Returns the names of the hosts that do not report that they are ready.
    pub fn unready_hosts(&self) -> Vec<String> {
        let processes = self.processes.iter();
        processes
            .filter(|process| !process.host.as_ref().is_some_and(Host::is_ready))
            .map(|process| process.settings.name.clone())
            .collect()
    }

    /// Applies a step of the plan.
    pub fn apply(&mut self, step: &Step) {
        match step.transition {
            Transition::Begin => self.begin_fault(&step.fault),
            Transition::End => self.end_fault(&step.fault),
        }
    }

    fn begin_fault(&mut self, fault: &Fault) {
        match *fault {
            Fault::Configure => self.configure(),
            Fault::EveryHostKilled => (0..self.processes.len()).for_each(|host| self.kill(host)),
            Fault::HostKilled(host) => self.kill(host),
            Fault::HostPaused(host) => self.pause(host),
            Fault::HostReloaded(host) => self.reload(host),
            Fault::HostRestarted(host) => {
                self.kill(host);
                self.start_host(host);
            }
            Fault::HostStopped(host) => self.stop(host),
            Fault::PeersCut(host) => self.disturb_peers(host, Relay::cut),
            Fault::PeersForgotten(host) => self.disturb_peers(host, Relay::blackhole),
            Fault::PeersSilent(host, direction) => {
                self.disturb_peers(host, |link| link.stall(direction));
            }
            Fault::PeersSlow(host) => self.disturb_peers(host, |link| link.delay(PEER_DELAY)),
            Fault::StoreDown => {
                lock(&self.record).begin_disturbance(Target::Store);
                self.store.set_down(true);
            }
            Fault::StoreForgets => {
                lock(&self.record).begin_disturbance(Target::Store);
                self.store.compact();
            }
            Fault::StoreRestored => self.copy = Some(self.store.copy()),
            Fault::StoreSilent(direction) => {
                lock(&self.record).begin_disturbance(Target::Store);

                for process in &self.processes {
                    process.store_link.stall(direction);
                }
            }
            Fault::StoreSlow => {
                lock(&self.record).begin_disturbance(Target::Store);
                self.store.set_delay(STORE_DELAY);
            }
            Fault::StoreTurnsAway(host) => {
                lock(&self.record).begin_disturbance(Target::Store);
                self.processes[host].store_link.cut();
            }
            Fault::WorkerCrashes(worker) => {
                self.disturb_worker(worker, Relay::cut);
                self.store.remove("servers", &self.endpoint_name(worker));
            }
            Fault::WorkerDrains(worker) => self.drain(worker),
            Fault::WorkerFails(worker, ref fault) => {
                lock(&self.record).begin_disturbance(Target::Workers);

                for _ in 0..FAULTY_REQUESTS {
                    self.linked_workers[worker].worker.fail_next(fault.clone());
                }
            }
            Fault::WorkerForgotten(worker) => self.disturb_worker(worker, Relay::blackhole),
            Fault::WorkerReset(worker) => self.disturb_worker(worker, Relay::reset),
            Fault::WorkerSilent(worker, direction) => {
                self.disturb_worker(worker, |link| link.stall(direction));
            }
            Fault::WorkerSlow(worker) => {
                lock(&self.record).begin_disturbance(Target::Workers);
                self.linked_workers[worker]
                    .worker
                    .set_delay(SLOW_WORKER_DELAY);
            }
        }
    }

    fn end_fault(&mut self, fault: &Fault) {
        match *fault {
            Fault::Configure
            | Fault::HostReloaded(_)
            | Fault::HostRestarted(_)
            | Fault::HostStopped(_) => {}
            Fault::EveryHostKilled => {
                (0..self.processes.len()).for_each(|host| self.start_host(host));
            }
            Fault::HostKilled(host) => self.start_host(host),
            Fault::HostPaused(host) => self.resume(host),
            Fault::PeersCut(host)
            | Fault::PeersForgotten(host)
            | Fault::PeersSilent(host, _)
            | Fault::PeersSlow(host) => {
                self.processes[host].peer_link.restore();
                self.end_disturbances(Target::Peers);
            }
            Fault::StoreRestored => self.restore_store(),
            Fault::StoreDown
            | Fault::StoreForgets
            | Fault::StoreSilent(_)
            | Fault::StoreSlow
            | Fault::StoreTurnsAway(_) => {
                self.store.set_down(false);
                self.store.set_delay(Duration::ZERO);

                for process in &self.processes {
                    process.store_link.restore();
                }

                self.end_disturbances(Target::Store);
            }
            Fault::WorkerCrashes(worker) | Fault::WorkerDrains(worker) => self.replace(worker),
            Fault::WorkerFails(worker, _) => {
                self.linked_workers[worker].worker.clear_faults();
                self.end_disturbances(Target::Workers);
            }
            Fault::WorkerForgotten(_) | Fault::WorkerReset(_) => {
                self.end_disturbances(Target::Workers);
            }
            Fault::WorkerSilent(worker, _) => {
                self.linked_workers[worker].link.restore();
                self.end_disturbances(Target::Workers);
            }
            Fault::WorkerSlow(worker) => {
                self.linked_workers[worker].worker.set_delay(Duration::ZERO);
                self.end_disturbances(Target::Workers);
            }
        }
    }

    /// Ends every open disturbance of a target: one repair ends the disturbance
    /// for all faults that share it.
    fn end_disturbances(&self, target: Target) {
        lock(&self.record).end_disturbances(target);
    }

    fn disturb_peers(&self, host: usize, act: impl Fn(&Relay)) {
        lock(&self.record).begin_disturbance(Target::Peers);
        act(&self.processes[host].peer_link);
    }

    fn disturb_worker(&self, worker: usize, act: impl Fn(&Relay)) {
        lock(&self.record).begin_disturbance(Target::Workers);
        act(&self.linked_workers[worker].link);
    }

    fn configure(&self) {
        let mut record = lock(&self.record);
        let version = record.versions.len() as u64 + 1;
        let keys = [version.saturating_sub(1).max(1), version].map(key_text);
        let mut value = config(version, &[&keys[0], &keys[1]]);
        let service = crate::record::Route::Moved.service(version);
        let moved = route("moved", "idempotent", &json!({ "service": service }));

        if let Some(routes) = value["routes"].as_array_mut() {
            routes.push(moved);
            let draft = routes.iter_mut().find(|route| route["name"] == "draft");
            let draft = draft.expect("the configuration has the route of drafts");
            draft["stages"] = self.graph.config();
            draft["timeoutMs"] = DRAFT_TIMEOUT_MS.into();
            draft["targetLatencyMs"] = DRAFT_GOAL_MS.into();
        }

        if let Some(services) = value["services"].as_array_mut() {
            services.push(json!({ "name": "spare", "maxConns": 96 }));
        }

        self.store.put("config", "main", &value);
        record.versions.push(Instant::now());
    }

    /// Restores the store from the copy, and writes again what the operator and the
    /// workers have written since.
    fn restore_store(&mut self) {
        let Some(copy) = self.copy.take() else {
            return;
        };
        let from = Instant::now();
        let lost = self.store.copy();
        self.store.restore(copy);
        self.store.write_again(&lost, &["config", "servers"]);
        lock(&self.record).add_disturbance(Target::Store, from);
    }

    fn list_worker(&self, worker: usize, state: &str) {
        let linked = &self.linked_workers[worker];
        let entry = workers::entry(linked.link.address(), linked.service, state);
        self.store
            .put("servers", &self.endpoint_name(worker), &entry);
    }

    fn drain(&self, worker: usize) {
        self.list_worker(worker, "draining");
        lock(&self.record).drains.push(Drain {
            at: Instant::now(),
            endpoint: self.endpoint_name(worker),
        });
    }

    /// Replaces a worker by a new one with another name at the same address.
    fn replace(&mut self, worker: usize) {
        self.store.remove("servers", &self.endpoint_name(worker));
        let linked = &mut self.linked_workers[worker];
        linked.generation += 1;
        linked
            .worker
            .rename(&endpoint_name(worker, linked.generation));
        linked.link.restore();
        self.list_worker(worker, "ready");
        self.end_disturbances(Target::Workers);
    }

    fn endpoint_name(&self, worker: usize) -> String {
        endpoint_name(worker, self.linked_workers[worker].generation)
    }
}

fn endpoint_name(worker: usize, generation: u32) -> String {
    format!("i-{worker}-{generation}")
}
