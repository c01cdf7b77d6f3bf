//! A complete deployment under test: the stand-ins run in this process, the
//! daemons in processes of their own.

use {
    crate::{
        caller::{self, Caller},
        daemon::{Daemon, wait},
        endpoint::{self, Kind, Options},
        host_list, object_api,
        oracle::CallRecord,
        orders::Fencing,
        outcome::Outcome,
        relay::Relay,
        server::ANY_PORT,
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        fmt::Write,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        thread,
        time::Duration,
    },
    tempfile::TempDir,
};

/// The team that sends the requests.
pub const TEAM: &str = "hvarfdal";

/// The key of the team.
pub const TEAM_KEY: &str = "team key of hvarfdal";
const OPERATOR_KEY: &str = "operator key of the fleet";
pub const FLEET_KEY: &str = "fleet key that all hosts share";

/// Longest time until a deployment is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of warm-up requests to each host. Each adds a tenth of a token to a
/// retry budget.
pub const WARM_UP_REQUESTS: usize = 60;

/// Number of concurrent callers that send the warm-up requests of a host.
const WARM_UP_CALLERS: usize = 6;

/// The stages of the pipeline `almanac`.
pub const ALMANAC: [&str; 5] = ["encode", "retrieve", "rerank", "draft", "check"];

/// Name, kind and number of endpoints of each pool.
const POOLS: [(&str, Kind, usize); 6] = [
    ("check", Kind::Engine, 2),
    ("draft", Kind::Engine, 3),
    ("encode", Kind::Pool, 2),
    ("publish", Kind::Service, 2),
    ("rerank", Kind::Pool, 2),
    ("retrieve", Kind::Pool, 2),
];

/// A running deployment.
pub struct Fleet {
    binary: PathBuf,
    pub endpoints: BTreeMap<String, endpoint::Handle>,
    // Dropped before `folder`, which contains the logs that a failed test
    // prints.
    pub hosts: Vec<Daemon>,
    folder: TempDir,
    pub list: host_list::Handle,
    pub objects: object_api::Handle,
    settings_version: u64,
    /// Relays between the hosts and the object API, by host.
    pub store_links: BTreeMap<String, Relay>,
}

impl Fleet {
    /// Starts the stand-ins and writes the settings, but starts no hosts.
    ///
    /// # Panics
    ///
    /// Panics when a stand-in cannot start.
    pub fn without_hosts(binary: &str) -> Self {
        let mut fleet = Self {
            binary: binary.into(),
            endpoints: BTreeMap::new(),
            folder: tempfile::tempdir().expect("a temporary folder can be created"),
            hosts: Vec::new(),
            list: host_list::start(ANY_PORT).expect("host list starts"),
            objects: object_api::start(ANY_PORT).expect("object API starts"),
            settings_version: 0,
            store_links: BTreeMap::new(),
        };

        for (pool, kind, count) in POOLS {
            for number in 1..=count {
                fleet.start_endpoint(&format!("{pool}-{number}"), pool, kind, ANY_PORT);
            }
        }

        for (name, key) in [("fleet.key", FLEET_KEY), ("operator.key", OPERATOR_KEY)] {
            fs::write(fleet.folder.path().join(name), key).expect("the key file can be written");
        }

        fleet.configure();
        fleet
    }

    /// Starts the stand-ins and the hosts `h1`, `h2`, ..., each in a failure
    /// domain of its own, and waits until all hosts are ready.
    ///
    /// # Panics
    ///
    /// Panics when the hosts do not become ready.
    pub fn start(binary: &str, hosts: usize) -> Self {
        let mut fleet = Self::without_hosts(binary);

        for number in 1..=hosts {
            fleet.start_host(&format!("h{number}"), &format!("d{number}"));
        }

        fleet.wait_ready();
        fleet
    }

    /// Starts an endpoint and adds it to the host list. The number at the end
    /// of its id determines its failure domain.
    ///
    /// # Panics
    ///
    /// Panics when the endpoint cannot start.
    pub fn start_endpoint(&mut self, id: &str, pool: &str, kind: Kind, listen: SocketAddr) {
        let options = Options {
            fencing: Fencing::Enforced,
            kind,
            reports_load: kind == Kind::Engine,
        };
        let handle = endpoint::start(listen, options).expect("endpoint starts");
        let address = handle.address();
        self.endpoints.insert(id.into(), handle);
        let number = id.rsplit('-').next().unwrap_or_default();
        let domain = format!("d{number}");
        self.set_listing(id, pool, &domain, address, host_list::Phase::Live);
    }

    /// Adds or replaces a record of the host list.
    pub fn set_listing(
        &self,
        id: &str,
        pool: &str,
        domain: &str,
        address: SocketAddr,
        phase: host_list::Phase,
    ) {
        self.list.put(host_list::Host {
            address,
            domain: domain.into(),
            id: id.into(),
            phase,
            pool: pool.into(),
        });
    }

    /// Starts a host and adds it to the host list. It replaces a host of the
    /// same name.
    ///
    /// # Panics
    ///
    /// Panics when the host does not start.
    pub fn start_host(&mut self, name: &str, domain: &str) {
        let relay = Relay::start(Some(self.objects.address())).expect("relay starts");
        let config = self.write_config(name, domain, relay.address());
        self.store_links.insert(name.into(), relay);
        let daemon = Daemon::start(&self.binary, &config, name);
        self.set_listing(
            name,
            "entry",
            domain,
            daemon.peer_address(),
            host_list::Phase::Live,
        );
        self.hosts.retain(|host| host.name != name);
        self.hosts.push(daemon);
        self.hosts.sort_by(|one, other| one.name.cmp(&other.name));
    }

    /// Writes the settings file of a host and returns its path.
    ///
    /// # Panics
    ///
    /// Panics when the file cannot be written.
    pub fn write_config(&self, name: &str, domain: &str, store: SocketAddr) -> PathBuf {
        let peers: Vec<String> = self
            .hosts
            .iter()
            .filter(|host| host.name != name)
            .map(|host| host.peer_address().to_string())
            .collect();
        let mut text = format!(
            "[host]\nid = {name}\ndomain = {domain}\n\
            caller_address = {ANY_PORT}\npeer_address = {ANY_PORT}\n",
        );

        if !peers.is_empty() {
            writeln!(text, "peers = {}", peers.join(", ")).expect("writing to a string succeeds");
        }

        write!(
            text,
            "[platform]\nobject_api = http://{store}\nhost_list = {}\n\
            [keys]\nfleet_file = fleet.key\noperator_file = operator.key\n\
            [limits]\nread_timeout_ms = 2000\n",
            self.list.url(),
        )
        .expect("writing to a string succeeds");
        let path = self.folder().join(format!("{name}.ini"));
        fs::write(&path, text).expect("the settings file can be written");
        path
    }

    /// Returns the folder that contains the settings files.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Waits until every host is ready and lists every other host and every
    /// endpoint.
    ///
    /// # Panics
    ///
    /// Panics when a host does not reach that state in time.
    pub fn wait_ready(&self) {
        for host in &self.hosts {
            wait(
                &format!("readiness of {}", host.name),
                READY_TIMEOUT,
                || self.is_ready(host).then_some(()),
            );
        }
    }

    fn is_ready(&self, host: &Daemon) -> bool {
        let status = self.status(host);
        let members = status["members"].as_array().map_or(0, |members| {
            let peer = |member: &&Value| {
                member["phase"] == "alive" && member["host"] != host.name.as_str()
            };
            members.iter().filter(peer).count()
        });
        let endpoints = self.operator(host).get("/v1/admin/endpoints");
        let endpoints = endpoints.map_or(0, |response| {
            response["endpoints"].as_array().map_or(0, Vec::len)
        });

        status["ready"] == true
            && status["settings_version"].as_u64() >= Some(self.settings_version)
            && members + 1 == self.hosts.len()
            && endpoints == self.endpoints.len()
    }

    /// Returns a host's status, or null when the host does not respond.
    pub fn status(&self, host: &Daemon) -> Value {
        let caller = self.operator(host).with_limit(Duration::from_secs(2));
        caller.get("/v1/admin/status").unwrap_or_default()
    }

    /// Returns the host with a name.
    ///
    /// # Panics
    ///
    /// Panics when no host has the name.
    pub fn host_named(&self, name: &str) -> &Daemon {
        let host = self.hosts.iter().find(|host| host.name == name);
        host.expect("a host has this name")
    }

    /// Returns a caller with the operator's key.
    pub fn operator(&self, host: &Daemon) -> Caller {
        host.caller().with_key(OPERATOR_KEY)
    }

    /// Returns a caller with the team's key.
    pub fn team(&self, host: &Daemon) -> Caller {
        host.caller()
            .with_key(TEAM_KEY)
            .with("Persimmon-Team", TEAM)
            .with("Persimmon-Class", "urgent")
            .with("Persimmon-Repeatable", true)
    }

    /// Posts [`WARM_UP_REQUESTS`] requests to every host, so that the hosts have
    /// measured the pipeline's stages and filled the retry budgets of its pools.
    ///
    /// # Panics
    ///
    /// Panics when a request is not answered.
    pub fn warm_up(&self, pipeline: &str, max_tokens: u32) {
        let body = json!({ "prompt": "warm-up", "max_tokens": max_tokens }).to_string();

        thread::scope(|scope| {
            for host in self
                .hosts
                .iter()
                .cycle()
                .take(WARM_UP_CALLERS * self.hosts.len())
            {
                let (caller, body) = (self.team(host), &body);

                scope.spawn(move || {
                    for _ in 0..WARM_UP_REQUESTS / WARM_UP_CALLERS {
                        let outcome = Outcome::buffered(&caller.post(pipeline, body));
                        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
                    }
                });
            }
        });
    }

    /// Returns every call that began at an endpoint and meets a condition.
    pub fn calls_where(&self, mut condition: impl FnMut(&CallRecord) -> bool) -> Vec<CallRecord> {
        self.endpoints
            .values()
            .flat_map(|endpoint| endpoint.oracle().calls)
            .filter(|call| condition(call))
            .collect()
    }

    /// Sets fault switches on every endpoint of a pool.
    pub fn set_faults(&self, pool: &str, switches: &crate::faults::FaultSwitches) {
        for (id, endpoint) in &self.endpoints {
            if id
                .rsplit_once('-')
                .is_some_and(|(id_pool, _)| id_pool == pool)
            {
                endpoint.set(switches.clone());
            }
        }
    }

    /// Appends a change to the settings log in the object API, without using a
    /// daemon.
    ///
    /// # Panics
    ///
    /// Panics when the change's key exists already.
    pub fn change_settings(&mut self, edits: &[(&str, &str, &str)]) {
        self.settings_version += 1;
        let edits: Vec<Value> = edits
            .iter()
            .map(|(path, key, new)| json!({ "path": path, "key": key, "old": null, "new": new }))
            .collect();
        let key = format!("settings/changes/{:012}", self.settings_version);
        self.objects.create(
            &key,
            json!({
                "version": self.settings_version,
                "operation": format!("setup-{}", self.settings_version),
                "author": "setup",
                "edits": edits,
            }),
        );
    }

    fn configure(&mut self) {
        let key = caller::digest(TEAM_KEY);
        let mut edits = vec![
            ("teams/hvarfdal", "key_sha256", key.as_str()),
            ("teams/hvarfdal", "deadline", "20000"),
            ("teams/hvarfdal", "queue_time", "15000"),
            ("pipelines/note", "stages", "draft"),
            ("pipelines/publish", "stages", "publish"),
        ];
        let stages = ALMANAC.join(", ");
        edits.push(("pipelines/almanac", "stages", &stages));
        let paths = POOLS.map(|(pool, ..)| format!("pools/{pool}"));

        for (path, (_, kind, _)) in paths.iter().zip(POOLS) {
            edits.push((path, "kind", kind.name()));
        }

        self.change_settings(&edits);
    }
}
