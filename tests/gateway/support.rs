//! A host inside the test process.

use {
    persimmoncleat::{
        coordination::{
            claims::Claims,
            control::{self, Control},
            gateway::Gateway,
            leases::Leases,
            membership::Membership,
            observer::Observer,
            published_view::PublishedView,
            records::Records,
            routes::Routes,
            scheduling::{self, Scheduling},
            settings::Settings,
            tickets::Tickets,
        },
        protocol::{daemon_file::Limits, digest, secret::Secret},
        state::{
            clock::Time,
            endpoint::{Endpoint, Phase},
            event,
            fleet::member::{self, Member},
            id,
            pipeline::{Pipeline, Stage},
            policy::{Policy, Team},
            pool::{Kind, Pool},
            scheduler::Scheduler,
            view::View,
        },
        transport::{
            boot_clock,
            client::Client,
            links::Links,
            metrics::Metrics,
            object_api::CallCounters,
            server::{self, Server},
        },
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io::Write,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            mpsc::{self, Receiver},
        },
        thread,
        time::Duration,
    },
};

pub const TEAM_KEY: &str = "the key of team hvarfdal";
pub const OPERATOR_KEY: &str = "the key of the operators";
pub const FLEET_KEY: &[u8] = b"the key of the whole fleet";
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A host that runs inside the test process.
pub struct Host {
    pub address: SocketAddr,
    pub gateway: Arc<Gateway>,
}

impl Host {
    /// Starts a host whose pipeline `draft` has one stage per pool.
    pub fn start(pools: &[(&str, Kind, &[SocketAddr])]) -> Self {
        Self::with_limits(pools, Limits::default())
    }

    pub fn with_limits(pools: &[(&str, Kind, &[SocketAddr])], limits: Limits) -> Self {
        let (host, parts, events) = Self::scripted(pools, limits);
        host.run(parts, events, pools);
        host
    }

    /// Starts the control thread, with the state that a test may have changed.
    pub fn run(
        &self,
        parts: Control,
        events: Receiver<control::Event>,
        pools: &[(&str, Kind, &[SocketAddr])],
    ) {
        parts.published.set(parts.view.clone());
        let event = event::Event::Endpoints(endpoints(pools));
        let event = control::Event::Scheduling(scheduling::Event::Scheduler(event));
        self.gateway.control.send(event).unwrap();
        thread::spawn(move || parts.run(&events));
    }

    /// Starts a host without its control thread. Returns the thread's state and
    /// events for the test.
    pub fn scripted(
        pools: &[(&str, Kind, &[SocketAddr])],
        limits: Limits,
    ) -> (Self, Control, Receiver<control::Event>) {
        let server = Server::bind(([127, 0, 0, 1], 0).into(), server_limits(&limits)).unwrap();
        let address = server.address().unwrap();
        let peers = TcpListener::bind("127.0.0.1:0").unwrap();
        let view = view(address, peers.local_addr().unwrap(), pools);
        let published = PublishedView::new(view.clone());
        let (control, events) = mpsc::channel();
        let incoming = control.clone();
        let links = Links::start(peers, FLEET_KEY, move |call| {
            if let Some(event) = control::Event::from_call(call) {
                let _ = incoming.send(event);
            }
        });
        let links = links.unwrap();
        let gateway = Arc::new(Gateway {
            calls: CallCounters::default(),
            client: Client::new(),
            control,
            limits: limits.clone(),
            links,
            observer: Observer::new(Metrics::new(None).unwrap()),
            operator: Secret::parse(OPERATOR_KEY.as_bytes()).unwrap(),
            published: published.clone(),
            records: Records::new(limits.requests, limits.answer_retention),
            tickets: Tickets::new(FLEET_KEY),
        });
        let parts = Control {
            claims: Claims::new(&view, 100),
            leases: Leases::new(&view, mpsc::channel().0),
            membership: Membership::default(),
            published,
            scheduling: Scheduling::new(Scheduler::new("d1".into(), 1)),
            settings: Settings::new(&view, mpsc::channel().0),
            view,
        };
        let routes = Arc::new(Routes(Arc::clone(&gateway)));
        thread::spawn(move || server.run(routes));
        (Self { address, gateway }, parts, events)
    }

    /// Posts a request with additional headers. It is repeatable unless these
    /// include `Persimmon-Repeatable`.
    pub fn post(&self, query: &str, headers: &[(&str, &str)], body: &str) -> (u16, String) {
        let mut all = vec![
            ("Authorization", "Bearer the key of team hvarfdal"),
            ("Persimmon-Class", "volume"),
            ("Persimmon-Team", "hvarfdal"),
        ];

        if !headers
            .iter()
            .any(|(name, _)| *name == "Persimmon-Repeatable")
        {
            all.push(("Persimmon-Repeatable", "true"));
        }

        all.extend_from_slice(headers);
        let path = format!("/v1/pipelines/draft/requests{query}");
        self.send(&path, &all, body)
    }

    /// Posts a request that is not repeatable and closes the connection without
    /// waiting for the answer.
    pub fn post_and_disconnect(&self, ticket: &str, body: &str) {
        let mut stream = TcpStream::connect(self.address).unwrap();
        let length = body.len();
        let text = format!(
            "POST /v1/pipelines/draft/requests HTTP/1.1\r\nAuthorization: Bearer {TEAM_KEY}\r\n\
             Persimmon-Class: volume\r\nPersimmon-Repeatable: false\r\nPersimmon-Team: hvarfdal\r\n\
             Persimmon-Ticket: {ticket}\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        stream.write_all(text.as_bytes()).unwrap();
    }

    /// Posts to a path and returns the status and the body.
    pub fn send(&self, path: &str, headers: &[(&str, &str)], body: &str) -> (u16, String) {
        let response = Client::single_use()
            .post(self.address, path, headers, body.as_bytes(), TIMEOUT)
            .unwrap();
        text(response)
    }

    /// Gets a path with a bearer key and returns the status and the body.
    pub fn get(&self, path: &str, key: &str) -> (u16, String) {
        let authorization = format!("Bearer {key}");
        let headers = [("Authorization", authorization.as_str())];
        let response = Client::single_use()
            .get(self.address, path, &headers, TIMEOUT)
            .unwrap();
        text(response)
    }

    /// Returns the value of a counter, or 0 if it does not exist.
    pub fn counter(&self, name: &str) -> u64 {
        let usage = self.gateway.observer.usage();
        usage.counters().get(name).copied().unwrap_or(0)
    }

    /// Requests a ticket for a body.
    pub fn ticket(&self, body: &str) -> Value {
        let ticket = json!({
            "team": "hvarfdal", "class": "volume", "pipeline": "draft",
            "body_sha256": digest::sha256_hex(body.as_bytes()), "deadline_ms": 5000,
        });
        let headers = [("Authorization", "Bearer the key of team hvarfdal")];
        let (status, text) = self.send("/v1/tickets", &headers, &ticket.to_string());
        assert_eq!(status, 200, "{text}");
        serde_json::from_str(&text).unwrap()
    }

    /// Posts a request that is not repeatable.
    pub fn post_order(&self, ticket: &Value, body: &str) -> (u16, String) {
        let ticket = ticket["ticket"].as_str().unwrap();
        let headers = [
            ("Persimmon-Repeatable", "false"),
            ("Persimmon-Ticket", ticket),
        ];
        self.post("", &headers, body)
    }
}

/// Returns the status and the body of a response.
pub fn text(response: ureq::http::Response<ureq::Body>) -> (u16, String) {
    let status = response.status().as_u16();
    (status, response.into_body().read_to_string().unwrap())
}

/// Parses a JSON body.
///
/// # Panics
///
/// Panics with the text if it is not valid JSON.
pub fn parse(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|error| panic!("{error}: {text}"))
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if it does not hold within [`TIMEOUT`].
pub fn wait_for(condition: impl Fn() -> bool) {
    let start = boot_clock::now();

    while !condition() {
        assert!(
            boot_clock::now().since(start) < TIMEOUT,
            "the condition did not hold in time"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the limits of the HTTP server.
pub fn server_limits(limits: &Limits) -> server::Limits {
    server::Limits {
        body_bytes: limits.body_bytes,
        connections: limits.connections,
        header_bytes: limits.header_bytes,
        read_timeout: limits.read_timeout,
    }
}

fn endpoints(pools: &[(&str, Kind, &[SocketAddr])]) -> Vec<Endpoint> {
    let endpoint = |pool: &str, address: &SocketAddr| Endpoint {
        address: *address,
        domain: "d1".into(),
        endpoint: format!("{pool}-{}", address.port()).into(),
        phase: Phase::Live,
        pool: pool.into(),
    };

    pools
        .iter()
        .flat_map(|(pool, _, addresses)| addresses.iter().map(|address| endpoint(pool, address)))
        .collect()
}

fn view(
    address: SocketAddr,
    peer_address: SocketAddr,
    pools: &[(&str, Kind, &[SocketAddr])],
) -> View {
    let stages = pools.iter().map(|(pool, ..)| Stage {
        name: id::Stage::from(*pool),
        pool: id::Pool::from(*pool),
    });
    let pipeline = Pipeline {
        deadline: None,
        stages: stages.collect(),
    };
    let team = |key: &str| Team {
        key_sha256: Some(digest::sha256_hex(key.as_bytes())),
        ..Team::default()
    };
    let pool = |kind: Kind| Pool {
        kind,
        ..Pool::default()
    };
    let policy = Policy {
        pipelines: [("draft".into(), pipeline)].into(),
        pools: pools
            .iter()
            .map(|(name, kind, _)| (id::Pool::from(*name), pool(*kind)))
            .collect(),
        teams: [
            ("hvarfdal".into(), team(TEAM_KEY)),
            ("peachtree".into(), team("another team's key")),
        ]
        .into(),
        version: 1,
    };

    View {
        endpoints: Arc::new(endpoints(pools)),
        had_peers: false,
        last_peer_answer: None,
        // Far in the future, so that the object API never counts as unreachable.
        last_store_answer: Some(Time::from_micros(u64::MAX)),
        local: Member {
            caller_address: address,
            capacity: 1,
            clock: boot_clock::now(),
            demand: BTreeMap::new(),
            domain: "d1".into(),
            endpoints: 0,
            era: 0,
            evacuations: 0,
            host: "h1".into(),
            incarnation: id::Incarnation(1),
            outstanding: 0,
            peer_address,
            phase: member::Phase::Alive,
            settings: 1,
        },
        members: Arc::default(),
        policy: Arc::new(policy),
    }
}
