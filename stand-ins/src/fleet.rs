//! A whole deployment under test: the platform's stand-ins in this process
//! and the daemons as processes.

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

/// The team of every test.
pub const TEAM: &str = "hvarfdal";

/// The key of the team.
pub const TEAM_KEY: &str = "team key of hvarfdal";
const OPERATOR_KEY: &str = "operator key of the fleet";
pub const FLEET_KEY: &str = "fleet key that all hosts share";

/// How long a deployment may take to become ready.
const LIMIT: Duration = Duration::from_secs(30);

/// Requests of a warm-up to each host. A retry budget earns a tenth of a
/// token with each.
pub const WARM_UP_REQUESTS: usize = 60;

/// Callers that share the warm-up of a host.
const WARM_UP_CALLERS: usize = 6;

/// The stages of the pipeline `almanac`.
pub const ALMANAC: [&str; 5] = ["encode", "retrieve", "rerank", "draft", "check"];

/// Pools by name, their kind and number of endpoints.
const POOLS: [(&str, Kind, usize); 6] = [
    ("check", Kind::Engine, 2),
    ("draft", Kind::Engine, 3),
    ("encode", Kind::Pool, 2),
    ("publish", Kind::Service, 2),
    ("rerank", Kind::Pool, 2),
    ("retrieve", Kind::Pool, 2),
];

/// A deployment.
pub struct Fleet {
    binary: PathBuf,
    pub endpoints: BTreeMap<String, endpoint::Handle>,
    // Dropped before the folder, which has the logs that a failed test prints.
    pub hosts: Vec<Daemon>,
    folder: TempDir,
    pub list: host_list::Handle,
    pub objects: object_api::Handle,
    settings: u64,
    /// Relays between the hosts and the object API, by host.
    pub store_links: BTreeMap<String, Relay>,
}

impl Fleet {
    /// Starts the platform with its endpoints and settings, without hosts.
    ///
    /// # Panics
    ///
    /// Panics when a stand-in cannot start.
    pub fn without_hosts(binary: &str) -> Self {
        let mut fleet = Self {
            binary: binary.into(),
            endpoints: BTreeMap::new(),
            folder: tempfile::tempdir().expect("temporary folder"),
            hosts: Vec::new(),
            list: host_list::start(ANY_PORT).expect("host list starts"),
            objects: object_api::start(ANY_PORT).expect("object API starts"),
            settings: 0,
            store_links: BTreeMap::new(),
        };

        for (pool, kind, count) in POOLS {
            for number in 1..=count {
                fleet.start_endpoint(&format!("{pool}-{number}"), pool, kind, ANY_PORT);
            }
        }

        for (name, key) in [("fleet.key", FLEET_KEY), ("operator.key", OPERATOR_KEY)] {
            fs::write(fleet.folder.path().join(name), key).expect("key file");
        }

        fleet.configure();
        fleet
    }

    /// Starts the platform and hosts `h1`, `h2`, ..., each in a failure domain
    /// of its own, and waits until all are ready.
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

    /// Starts an endpoint and lists it, in the failure domain that its id's
    /// number names.
    ///
    /// # Panics
    ///
    /// Panics when it cannot start.
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

    /// Sets a record of the host list.
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

    /// Starts a host and lists it; it replaces one of the same name.
    ///
    /// # Panics
    ///
    /// Panics when it does not start.
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
        self.hosts.retain(|known| known.name != name);
        self.hosts.push(daemon);
        self.hosts.sort_by(|one, other| one.name.cmp(&other.name));
    }

    /// Writes a settings file and returns its path.
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
            writeln!(text, "peers = {}", peers.join(", ")).expect("text grows");
        }

        write!(
            text,
            "[platform]\nobject_api = http://{store}\nhost_list = {}\n\
            [keys]\nfleet_file = fleet.key\noperator_file = operator.key\n\
            [limits]\nread_timeout_ms = 2000\n",
            self.list.url(),
        )
        .expect("text grows");
        let path = self.folder().join(format!("{name}.ini"));
        fs::write(&path, text).expect("settings file");
        path
    }

    /// Returns the folder of the settings files.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Waits until every host is ready and knows every other host and every
    /// endpoint.
    ///
    /// # Panics
    ///
    /// Panics when that takes too long.
    pub fn wait_ready(&self) {
        for host in &self.hosts {
            wait(&format!("readiness of {}", host.name), LIMIT, || {
                self.is_ready(host).then_some(())
            });
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
        let endpoints = endpoints.map_or(0, |answer| {
            answer["endpoints"].as_array().map_or(0, Vec::len)
        });

        status["ready"] == true
            && status["settings_version"].as_u64() >= Some(self.settings)
            && members + 1 == self.hosts.len()
            && endpoints == self.endpoints.len()
    }

    /// Returns a host's status, null when it does not answer.
    pub fn status(&self, host: &Daemon) -> Value {
        let caller = self.operator(host).with_limit(Duration::from_secs(2));
        caller.get("/v1/admin/status").unwrap_or_default()
    }

    /// Returns a host by name.
    ///
    /// # Panics
    ///
    /// Panics when there is none.
    pub fn host_named(&self, name: &str) -> &Daemon {
        let host = self.hosts.iter().find(|host| host.name == name);
        host.expect("a host has this name")
    }

    /// Returns an operator at a host.
    pub fn operator(&self, host: &Daemon) -> Caller {
        host.caller().with_key(OPERATOR_KEY)
    }

    /// Returns a caller of the team at a host.
    pub fn team(&self, host: &Daemon) -> Caller {
        host.caller()
            .with_key(TEAM_KEY)
            .with("Persimmon-Team", TEAM)
            .with("Persimmon-Class", "urgent")
            .with("Persimmon-Repeatable", true)
    }

    /// Posts [`WARM_UP_REQUESTS`] requests to every host, so that they have measured the
    /// pipeline's stages and filled the retry budgets of its pools.
    ///
    /// # Panics
    ///
    /// Panics when one of them is not answered.
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

    /// Returns every call that began at any endpoint and meets a condition.
    pub fn calls_where(&self, mut condition: impl FnMut(&CallRecord) -> bool) -> Vec<CallRecord> {
        self.endpoints
            .values()
            .flat_map(|endpoint| endpoint.oracle().calls)
            .filter(|row| condition(row))
            .collect()
    }

    /// Sets fault switches of every endpoint of a pool.
    pub fn set_faults(&self, pool: &str, change: &crate::faults::FaultSwitches) {
        for (id, endpoint) in &self.endpoints {
            if id.rsplit_once('-').is_some_and(|(known, _)| known == pool) {
                endpoint.set(change.clone());
            }
        }
    }

    /// Adds a change to the settings log, past the daemons.
    ///
    /// # Panics
    ///
    /// Panics when the object API refuses it.
    pub fn change_settings(&mut self, edits: &[(&str, &str, &str)]) {
        self.settings += 1;
        let edits: Vec<Value> = edits
            .iter()
            .map(|(path, key, new)| json!({ "path": path, "key": key, "old": null, "new": new }))
            .collect();
        let key = format!("settings/changes/{:012}", self.settings);
        self.objects.create(
            &key,
            json!({
                "version": self.settings,
                "operation": format!("setup-{}", self.settings),
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
