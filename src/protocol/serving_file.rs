//! The settings file of a host that serves routes.

use {
    crate::{
        protocol::fields::Fields,
        state::{
            fault::Fault,
            id,
            serving::{batch::Order, budget::Bounds, cold, forecast::Scope},
        },
    },
    log::LevelFilter,
    std::{fs, net::SocketAddr, path::Path, time::Duration},
};

/// Known sections and keys, sorted.
const KNOWN_KEYS: &[(&str, &[&str])] = &[
    ("callers", &["stall_ms", "stream_kb"]),
    ("cold", &["excess", "slack"]),
    ("directory", &["weighted"]),
    ("endpoints", &["load_reports"]),
    ("engines", &["room", "speeds"]),
    ("evacuations", &["follow"]),
    (
        "host",
        &[
            "caller_address",
            "cores",
            "directory_address",
            "domain",
            "fleet_key",
            "id",
            "link_mbps",
            "metrics_address",
            "peer_address",
            "peer_listen_address",
            "peers",
            "ready_address",
        ],
    ),
    (
        "limits",
        &["connections", "grace_s", "keep_addresses_ms", "memory_mb"],
    ),
    ("log", &["level"]),
    ("overload", &["forecast", "order"]),
    ("retries", &["ratio", "slack", "window_s"]),
    ("store", &["address", "kind", "wait_ms"]),
];

/// Addresses of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: Option<SocketAddr>,
    /// Address to which other hosts connect.
    pub peers: SocketAddr,
    /// Address that accepts their connections, which differs behind a relay.
    pub peers_listen: SocketAddr,
    pub ready: SocketAddr,
}

/// Bounds of what is kept for callers that read slowly. Without them nothing is
/// bounded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Callers {
    /// Time without progress after which a caller for which bytes wait is
    /// disconnected.
    pub stall: Option<Duration>,
    /// Maximum number of bytes of a stream that wait for its caller.
    pub stream_bytes: Option<usize>,
}

/// Connection to the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    pub address: SocketAddr,
    /// Kind of the objects by which hosts register.
    pub kind: String,
    /// Time for which a watch waits for a change.
    pub wait: Duration,
}

/// How the balancing host chooses engines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Engines {
    /// Whether the slots and the memory of engines are counted, and prompts wait for
    /// them.
    pub room: bool,
    /// Whether the speeds of engines are estimated.
    pub speeds: bool,
}

/// The validated settings.
#[derive(Clone, Debug)]
pub struct File {
    pub addresses: Addresses,
    /// The retry budget of the whole fleet.
    pub budget: Bounds,
    pub callers: Callers,
    /// Capacity of the host relative to others.
    pub capacity: u32,
    /// The bound on requests to cold endpoints, if they are limited.
    pub cold: Option<cold::Bounds>,
    /// Maximum number of connections from callers.
    pub connections: usize,
    /// Processor time that the process may use, in cores, if it is known.
    pub cores: Option<f64>,
    pub domain: id::Domain,
    /// Whether the evacuations of failure domains are followed.
    pub follow_evacuations: bool,
    /// What the forecast that refuses requests covers.
    pub forecast: Scope,
    pub engines: Engines,
    pub fleet_key: Vec<u8>,
    /// Time from the stop signal until the process is forced to exit.
    pub grace: Duration,
    pub host: id::Host,
    /// Time for which callers may cache the addresses.
    pub keep_addresses: Duration,
    pub level: LevelFilter,
    /// Whether the load that endpoints report decides which of them are used.
    pub load_reports: bool,
    /// Memory that the process may use, in bytes, if it differs from the machine's.
    pub memory: Option<usize>,
    /// The order of jobs in the dispatchers of stage pools.
    pub order: Order,
    pub peers: Vec<SocketAddr>,
    pub store: Store,
    /// Whether the directory weights hosts by their capacity and the answers differ by
    /// caller.
    pub weighted_directory: bool,
}

impl File {
    /// Reads and validates the file.
    ///
    /// # Errors
    ///
    /// Returns every fault that the file has.
    pub fn read(path: &Path) -> Result<Self, Vec<Fault>> {
        let text = fs::read_to_string(path).map_err(|error| {
            vec![Fault {
                field: "file".into(),
                value: path.display().to_string(),
                expected: format!("a readable file ({error})"),
            }]
        })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a file.
    ///
    /// # Errors
    ///
    /// Returns every fault that the text has.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let mut fields = Fields::parse(text, KNOWN_KEYS)?;
        let file = read(&mut fields);

        match (file, fields.faults()) {
            (Some(file), faults) if faults.is_empty() => Ok(file),
            (_, faults) => Err(faults),
        }
    }
}

fn read(fields: &mut Fields) -> Option<File> {
    const ADDRESS: &str = "an IP address and port";
    const MAX_MILLIS: u64 = 600_000;
    const MAX_SECONDS: u64 = 86_400;

    let callers = fields.required("host", "caller_address", ADDRESS);
    let directory = fields.required("host", "directory_address", ADDRESS);
    let metrics = fields.optional("host", "metrics_address", ADDRESS);
    let peer = fields.required("host", "peer_address", ADDRESS);
    let peer_listen = fields.optional("host", "peer_listen_address", ADDRESS);
    let ready = fields.required("host", "ready_address", ADDRESS);
    let peers = fields.list("host", "peers", ADDRESS);
    let domain = required_text(fields, "host", "domain");
    let host = required_text(fields, "host", "id");
    let fleet_key = required_text(fields, "host", "fleet_key");
    let cores = fields.optional::<f64>("host", "cores", "a number of cores");
    let link = fields.optional::<f64>("host", "link_mbps", "a number of Mbit/s");
    let address = fields.required("store", "address", ADDRESS);
    let kind = required_text(fields, "store", "kind");
    let wait = fields.number("store", "wait_ms", 100, 30_000);
    let ratio = fields.required::<f64>("retries", "ratio", "a number");
    let slack = fields.required::<f64>("retries", "slack", "a number");
    let window = fields.required::<f64>("retries", "window_s", "a number");
    let connections = fields.number("limits", "connections", 1, 1_000_000);
    let grace = fields.required::<f64>("limits", "grace_s", "a number of seconds");
    let keep = fields.number("limits", "keep_addresses_ms", 1, MAX_MILLIS);
    let memory = memory_bytes(fields);
    let load_reports = switch(fields, "endpoints", "load_reports");
    let weighted_directory = switch(fields, "directory", "weighted");
    let cold = cold_bounds(fields);
    let follow_evacuations = fields.optional("evacuations", "follow", "true or false");
    let forecast = choice(
        fields,
        ("overload", "forecast"),
        [("chain", Scope::Chain), ("stage", Scope::Stage)],
    );
    let order = choice(
        fields,
        ("overload", "order"),
        [("value", Order::Value), ("urgency", Order::Urgency)],
    );
    let engines = engines(fields);
    let bounds = read_callers(fields);
    let level = fields.optional("log", "level", "off, error, warn, info, debug or trace");

    Some(File {
        addresses: Addresses {
            callers: callers?,
            directory: directory?,
            metrics,
            peers: peer?,
            peers_listen: peer_listen.or(peer)?,
            ready: ready?,
        },
        budget: Bounds {
            ratio: ratio?,
            slack: slack?,
            window: seconds(window?, MAX_SECONDS),
        },
        callers: bounds,
        capacity: capacity(cores, link),
        cold,
        connections: usize::try_from(connections?).ok()?,
        cores,
        domain: domain?.into(),
        follow_evacuations: follow_evacuations.unwrap_or(false),
        forecast,
        engines,
        fleet_key: fleet_key?.into_bytes(),
        grace: seconds(grace?, MAX_SECONDS),
        host: host?.into(),
        keep_addresses: Duration::from_millis(keep?),
        level: level.unwrap_or(LevelFilter::Info),
        load_reports,
        memory,
        order,
        peers,
        store: Store {
            address: address?,
            kind: kind?,
            wait: Duration::from_millis(wait?),
        },
        weighted_directory,
    })
}

/// Returns whether a part is enabled. Parts whose key is missing are off.
fn switch(fields: &mut Fields, section: &str, key: &str) -> bool {
    let value = fields.optional(section, key, "true or false");
    value.unwrap_or(false)
}

fn engines(fields: &mut Fields) -> Engines {
    Engines {
        room: switch(fields, "engines", "room"),
        speeds: switch(fields, "engines", "speeds"),
    }
}

fn read_callers(fields: &mut Fields) -> Callers {
    const EXPECTED_STALL: &str = "a number of milliseconds from 500 to 600000";
    const EXPECTED_STREAM: &str = "a number of kilobytes from 4 to 100000";

    let stall = fields.optional::<u64>("callers", "stall_ms", EXPECTED_STALL);
    let stream = fields.optional::<usize>("callers", "stream_kb", EXPECTED_STREAM);

    if let Some(stall) = stall.filter(|stall| !(500..=600_000).contains(stall)) {
        fields.add_fault("callers", "stall_ms", &stall.to_string(), EXPECTED_STALL);
    }

    if let Some(stream) = stream.filter(|stream| !(4..=100_000).contains(stream)) {
        fields.add_fault("callers", "stream_kb", &stream.to_string(), EXPECTED_STREAM);
    }

    Callers {
        stall: stall.map(Duration::from_millis),
        stream_bytes: stream.map(|stream| stream * 1000),
    }
}

/// Returns the memory that the process may use, in bytes.
fn memory_bytes(fields: &mut Fields) -> Option<usize> {
    const EXPECTED: &str = "a number of megabytes from 16 to 1000000";

    let megabytes = fields.optional::<f64>("limits", "memory_mb", EXPECTED)?;

    if !(16.0..=1e6).contains(&megabytes) {
        fields.add_fault("limits", "memory_mb", &megabytes.to_string(), EXPECTED);
    }

    Some((megabytes * 1e6) as usize)
}

/// Returns the bound on requests to cold endpoints, or `None` without the section.
fn cold_bounds(fields: &mut Fields) -> Option<cold::Bounds> {
    let excess = cold_number(fields, "excess");
    let slack = cold_number(fields, "slack");

    match (excess, slack) {
        (Some(_), None) => fields.add_fault("cold", "slack", "", COLD_NUMBER),
        (None, Some(_)) => fields.add_fault("cold", "excess", "", COLD_NUMBER),
        _ => {}
    }

    Some(cold::Bounds {
        excess: excess?,
        slack: slack?,
    })
}

const COLD_NUMBER: &str = "a number from 0 to 1000";

fn cold_number(fields: &mut Fields, key: &str) -> Option<f64> {
    let number = fields.optional::<f64>("cold", key, COLD_NUMBER)?;

    if !(0.0..=1000.0).contains(&number) {
        fields.add_fault("cold", key, &number.to_string(), COLD_NUMBER);
    }

    Some(number)
}

/// Returns the capacity of a host: its processor time in percent of a core,
/// bounded by the bandwidth of its link.
fn capacity(cores: Option<f64>, link_mbps: Option<f64>) -> u32 {
    /// Bandwidth that the traffic of one percent of a core takes, in Mbit/s.
    const MBPS_PER_PERCENT: f64 = 2.0;
    /// Processor time of a host that does not state its cores, in percent of a
    /// core.
    const DEFAULT_PERCENT: f64 = 25.0;

    let core_percent = cores.map_or(DEFAULT_PERCENT, |cores| cores * 100.0);
    let link_percent = link_mbps.map_or(f64::MAX, |mbps| mbps / MBPS_PER_PERCENT);
    core_percent.min(link_percent).clamp(1.0, 100_000.0) as u32
}

/// Returns the value of one of two names, or the default without the key.
fn choice<T: Copy + Default>(
    fields: &mut Fields,
    (section, key): (&str, &str),
    names: [(&str, T); 2],
) -> T {
    let Some(name) = fields.optional::<String>(section, key, "a text") else {
        return T::default();
    };

    if let Some((_, value)) = names.iter().find(|(known, _)| *known == name) {
        return *value;
    }

    let expected = format!("{} or {}", names[0].0, names[1].0);
    fields.add_fault(section, key, &name, &expected);
    T::default()
}

fn required_text(fields: &mut Fields, section: &str, key: &str) -> Option<String> {
    let value: String = fields.required(section, key, "a non-empty text")?;

    if value.is_empty() {
        fields.add_fault(section, key, "", "a non-empty text");
        return None;
    }

    Some(value)
}

fn seconds(seconds: f64, max: u64) -> Duration {
    Duration::try_from_secs_f64(seconds)
        .unwrap_or_default()
        .min(Duration::from_secs(max))
}
