//! The hosts under test, and the platform around them, which the plan's
//! faults disturb.

mod processes;

use {
    crate::{
        plan::{Edge, FAULTY_REQUESTS, Fault, Step},
        record::{Drain, Record, Target, key_text},
    },
    serde_json::json,
    stand_ins::{
        platform::{
            config::{config, route},
            host::{Addresses, Host, Settings},
            store::Store,
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

/// Events of a stream.
pub const EVENTS: usize = 8;

/// Time of a worker for a request, and between two events.
const WORK: Duration = Duration::from_millis(15);

/// Added to a slow worker's time.
const SLOWNESS: Duration = Duration::from_millis(400);

/// Added to the time of a slow store's answers.
const STORE_DELAY: Duration = Duration::from_millis(200);

/// Added to the way of bytes on a slow link between hosts.
const PEER_DELAY: Duration = Duration::from_millis(100);

/// Hosts whose peer addresses the others are told.
const SEEDS: usize = 3;

/// The services of the workers, in turn.
const SERVICES: [&str; 4] = ["plain", "stage", "engine", "spare"];

enum Life {
    /// Killed; it stays down until its fault ends.
    Down,
    Paused,
    Running,
    /// Asked to stop.
    Stopping(Instant),
}

struct Process {
    addresses: Addresses,
    host: Option<Host>,
    life: Life,
    peer_link: Relay,
    settings: Settings,
    store_link: Relay,
}

/// A worker behind its link.
pub struct Site {
    generation: u32,
    pub link: Relay,
    pub service: &'static str,
    pub worker: Worker,
}

/// Everything that runs.
pub struct World {
    binary: PathBuf,
    folder: PathBuf,
    processes: Vec<Process>,
    record: Arc<Mutex<Record>>,
    pub sites: Vec<Site>,
    store: Store,
}

impl World {
    /// Starts the store, the workers and the hosts, and waits until every
    /// host is ready.
    ///
    /// # Panics
    ///
    /// Panics when something cannot be started.
    pub fn start(
        binary: &Path,
        folder: &Path,
        hosts: usize,
        workers: usize,
        record: Arc<Mutex<Record>>,
    ) -> Self {
        let mut world = Self {
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            processes: Vec::new(),
            record,
            sites: Vec::new(),
            store: Store::start(),
        };

        for number in 0..workers {
            world.add_worker(number);
        }

        world.configure();
        world.add_hosts(hosts);
        world
    }

    fn add_worker(&mut self, number: usize) {
        let worker = Worker::start(&endpoint(number, 0), EVENTS, WORK);
        let link = Relay::start(Some(worker.address())).expect("a relay starts");
        self.sites.push(Site {
            generation: 0,
            link,
            service: SERVICES[number % SERVICES.len()],
            worker,
        });
        self.list(number, "ready");
    }

    fn add_hosts(&mut self, hosts: usize) {
        let addresses = (0..hosts).map(|_| Addresses::new()).collect::<Vec<_>>();
        let links = addresses
            .iter()
            .map(|addresses| Relay::start(Some(addresses.peers)).expect("a relay starts"))
            .collect::<Vec<Relay>>();
        let seeds = links.iter().take(SEEDS).map(Relay::address);
        let seeds = seeds.collect::<Vec<SocketAddr>>();

        for (number, (addresses, peer_link)) in addresses.into_iter().zip(links).enumerate() {
            let store_link = Relay::start(Some(self.store.address())).expect("a relay starts");
            self.processes.push(Process {
                addresses,
                host: None,
                life: Life::Down,
                settings: Settings {
                    name: format!("h{number}"),
                    peer_address: Some(peer_link.address()),
                    peers: seeds.clone(),
                    store: store_link.address(),
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

    /// Returns the paths of the hosts' logs.
    pub fn logs(&self) -> Vec<PathBuf> {
        let hosts = self.processes.iter().filter_map(|p| p.host.as_ref());
        hosts.map(|host| host.log_path().to_owned()).collect()
    }

    /// Returns whether every host runs and is ready.
    pub fn is_ready(&self) -> bool {
        self.processes.iter().all(|process| {
            matches!(process.life, Life::Running)
                && process.host.as_ref().is_some_and(Host::is_ready)
        })
    }

    /// Returns the hosts that cannot be told to be ready.
    pub fn unready(&self) -> Vec<String> {
        let processes = self.processes.iter();
        processes
            .filter(|process| !process.host.as_ref().is_some_and(Host::is_ready))
            .map(|process| process.settings.name.clone())
            .collect()
    }

    /// Does a step of the plan.
    pub fn apply(&mut self, step: &Step) {
        match step.edge {
            Edge::Begin => self.begin(&step.fault),
            Edge::End => self.end(&step.fault),
        }
    }

    fn begin(&mut self, fault: &Fault) {
        match *fault {
            Fault::Configure => self.configure(),
            Fault::EveryHostKilled => (0..self.processes.len()).for_each(|host| self.kill(host)),
            Fault::HostKilled(host) => self.kill(host),
            Fault::HostPaused(host) => self.pause(host),
            Fault::HostReloaded(host) => self.reload(host),
            Fault::HostStopped(host) => self.stop(host),
            Fault::PeersCut(host) => self.disturb_peers(host, Relay::cut),
            Fault::PeersForgotten(host) => self.disturb_peers(host, Relay::blackhole),
            Fault::PeersSilent(host, silence) => {
                self.disturb_peers(host, |link| link.stall(silence));
            }
            Fault::PeersSlow(host) => self.disturb_peers(host, |link| link.delay(PEER_DELAY)),
            Fault::StoreDown => {
                lock(&self.record).disturb(Target::Store);
                self.store.set_down(true);
            }
            Fault::StoreForgets => {
                lock(&self.record).disturb(Target::Store);
                self.store.compact();
            }
            Fault::StoreSilent(silence) => {
                lock(&self.record).disturb(Target::Store);

                for process in &self.processes {
                    process.store_link.stall(silence);
                }
            }
            Fault::StoreSlow => {
                lock(&self.record).disturb(Target::Store);
                self.store.set_delay(STORE_DELAY);
            }
            Fault::StoreTurnsAway(host) => {
                lock(&self.record).disturb(Target::Store);
                self.processes[host].store_link.cut();
            }
            Fault::WorkerCrashes(worker) => {
                self.disturb_worker(worker, Relay::cut);
                self.store.remove("servers", &self.endpoint(worker));
            }
            Fault::WorkerDrains(worker) => self.drain(worker),
            Fault::WorkerFails(worker, ref fault) => {
                lock(&self.record).disturb(Target::Workers);

                for _ in 0..FAULTY_REQUESTS {
                    self.sites[worker].worker.fail_next(fault.clone());
                }
            }
            Fault::WorkerForgotten(worker) => self.disturb_worker(worker, Relay::blackhole),
            Fault::WorkerReset(worker) => self.disturb_worker(worker, Relay::reset),
            Fault::WorkerSilent(worker, silence) => {
                self.disturb_worker(worker, |link| link.stall(silence));
            }
            Fault::WorkerSlow(worker) => {
                lock(&self.record).disturb(Target::Workers);
                self.sites[worker].worker.set_delay(SLOWNESS);
            }
        }
    }

    fn end(&mut self, fault: &Fault) {
        match *fault {
            Fault::Configure | Fault::HostReloaded(_) | Fault::HostStopped(_) => {}
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
                self.calm_if(Target::Peers);
            }
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

                self.calm_if(Target::Store);
            }
            Fault::WorkerCrashes(worker) | Fault::WorkerDrains(worker) => self.replace(worker),
            Fault::WorkerFails(..) | Fault::WorkerForgotten(_) | Fault::WorkerReset(_) => {
                self.calm_if(Target::Workers);
            }
            Fault::WorkerSilent(worker, _) => {
                self.sites[worker].link.restore();
                self.calm_if(Target::Workers);
            }
            Fault::WorkerSlow(worker) => {
                self.sites[worker].worker.set_delay(Duration::ZERO);
                self.calm_if(Target::Workers);
            }
        }
    }

    /// Ends a disturbance that mending has ended for all that share it.
    fn calm_if(&self, target: Target) {
        lock(&self.record).calm(target);
    }

    fn disturb_peers(&self, host: usize, act: impl Fn(&Relay)) {
        lock(&self.record).disturb(Target::Peers);
        act(&self.processes[host].peer_link);
    }

    fn disturb_worker(&self, worker: usize, act: impl Fn(&Relay)) {
        lock(&self.record).disturb(Target::Workers);
        act(&self.sites[worker].link);
    }

    fn configure(&self) {
        let mut record = lock(&self.record);
        let version = record.versions.len() as u64 + 1;
        let keys = [version.saturating_sub(1).max(1), version].map(key_text);
        let mut value = config(version, &[&keys[0], &keys[1]]);
        let service = crate::record::Kind::Moved.service(version);
        let moved = route("moved", "idempotent", &json!({ "service": service }));

        if let Some(routes) = value["routes"].as_array_mut() {
            routes.push(moved);
        }

        if let Some(services) = value["services"].as_array_mut() {
            services.push(json!({ "name": "spare", "maxConns": 96 }));
        }

        self.store.put("config", "main", &value);
        record.versions.push(Instant::now());
    }

    fn list(&self, worker: usize, state: &str) {
        let site = &self.sites[worker];
        let entry = workers::entry(site.link.address(), site.service, state);
        self.store.put("servers", &self.endpoint(worker), &entry);
    }

    fn drain(&self, worker: usize) {
        self.list(worker, "draining");
        lock(&self.record).drains.push(Drain {
            at: Instant::now(),
            endpoint: self.endpoint(worker),
        });
    }

    /// Lists a worker anew, as another one at the same address.
    fn replace(&mut self, worker: usize) {
        self.store.remove("servers", &self.endpoint(worker));
        let site = &mut self.sites[worker];
        site.generation += 1;
        site.worker.rename(&endpoint(worker, site.generation));
        site.link.restore();
        self.list(worker, "ready");
        self.calm_if(Target::Workers);
    }

    fn endpoint(&self, worker: usize) -> String {
        endpoint(worker, self.sites[worker].generation)
    }
}

fn endpoint(worker: usize, generation: u32) -> String {
    format!("i-{worker}-{generation}")
}
