//! The daemon's settings file.

use {
    crate::{
        protocol::{
            fields::Fields,
            secret::{self, Secret},
        },
        state::{fault::Fault, id},
    },
    log::LevelFilter,
    std::{fs, net::SocketAddr, path::Path, time::Duration},
};

/// Known sections and keys, sorted.
const KNOWN_KEYS: &[(&str, &[&str])] = &[
    (
        "host",
        &["caller_address", "domain", "id", "peer_address", "peers"],
    ),
    ("keys", &["fleet_file", "operator_file"]),
    (
        "limits",
        &[
            "answer_retention_ms",
            "body_bytes",
            "connections",
            "header_bytes",
            "read_timeout_ms",
            "requests",
            "witness_records",
        ],
    ),
    ("log", &["level"]),
    ("metrics", &["statsd"]),
    ("platform", &["host_list", "object_api"]),
];

/// Identity and addresses of this host.
#[derive(Clone, Debug)]
pub struct Host {
    pub caller_address: SocketAddr,
    pub domain: id::Domain,
    pub id: id::Host,
    pub peer_address: SocketAddr,
    pub peers: Vec<SocketAddr>,
}

/// The keys from the key files.
#[derive(Clone, Debug)]
pub struct Keys {
    pub fleet: Secret,
    pub operator: Secret,
}

/// Limits of the connections, requests and records of this host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    pub answer_retention: Duration,
    pub body_bytes: usize,
    pub connections: usize,
    pub header_bytes: usize,
    pub read_timeout: Duration,
    pub requests: usize,
    pub witness_records: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            answer_retention: Duration::from_secs(60),
            body_bytes: 1024 * 1024,
            connections: 2000,
            header_bytes: 16 * 1024,
            read_timeout: Duration::from_secs(5),
            requests: 5000,
            witness_records: 200_000,
        }
    }
}

/// Addresses of the platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    pub host_list: SocketAddr,
    pub object_api: SocketAddr,
}

/// The validated settings.
#[derive(Clone, Debug)]
pub struct File {
    pub host: Host,
    pub keys: Keys,
    pub level: LevelFilter,
    pub limits: Limits,
    pub platform: Platform,
    pub statsd: Option<SocketAddr>,
}

impl File {
    /// Reads and validates the file and the key files that it names. Their
    /// paths are relative to its directory.
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
        Self::parse(&text, path.parent().unwrap_or(Path::new("")))
    }

    /// Parses and validates the text of a file in `directory`.
    ///
    /// # Errors
    ///
    /// Returns every fault that the text has.
    pub fn parse(text: &str, directory: &Path) -> Result<Self, Vec<Fault>> {
        let mut fields = Fields::parse(text, KNOWN_KEYS)?;
        let host = host(&mut fields);
        let keys = keys(&mut fields, directory);
        let level = fields.optional("log", "level", "off, error, warn, info, debug or trace");
        let limits = limits(&mut fields);
        let platform = platform(&mut fields);
        let statsd = fields.optional("metrics", "statsd", "an IP address and port");

        match (host, keys, platform, fields.faults()) {
            (Some(host), Some(keys), Some(platform), faults) if faults.is_empty() => Ok(Self {
                host,
                keys,
                level: level.unwrap_or(LevelFilter::Info),
                limits,
                platform,
                statsd,
            }),
            (.., faults) => Err(faults),
        }
    }
}

fn host(fields: &mut Fields) -> Option<Host> {
    const ADDRESS: &str = "an IP address and port";

    let caller_address = fields.required("host", "caller_address", ADDRESS);
    let domain = identifier(fields, "domain");
    let id = identifier(fields, "id");
    let peer_address = fields.required("host", "peer_address", ADDRESS);
    let peers = fields.list(
        "host",
        "peers",
        "IP addresses and ports separated by commas",
    );

    Some(Host {
        caller_address: caller_address?,
        domain: domain?.into(),
        id: id?.into(),
        peer_address: peer_address?,
        peers,
    })
}

fn identifier(fields: &mut Fields, key: &str) -> Option<String> {
    const EXPECTED: &str = "letters, digits, '-', '_' and '.'";

    let name: String = fields.required("host", key, EXPECTED)?;
    let valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);

    if name.is_empty() || !name.chars().all(valid) {
        fields.add_fault("host", key, &name, EXPECTED);
        return None;
    }

    Some(name)
}

fn keys(fields: &mut Fields, directory: &Path) -> Option<Keys> {
    let fleet = read_key(fields, directory, "fleet_file");
    let operator = read_key(fields, directory, "operator_file");

    Some(Keys {
        fleet: fleet?,
        operator: operator?,
    })
}

fn read_key(fields: &mut Fields, directory: &Path, key: &str) -> Option<Secret> {
    let name: String = fields.required("keys", key, "the name of a key file")?;
    let expected = format!(
        "a readable file with a key of at least {} bytes",
        secret::MIN_BYTES
    );

    let secret = fs::read(directory.join(&name))
        .ok()
        .and_then(|text| Secret::parse(&text));

    if secret.is_none() {
        fields.add_fault("keys", key, &name, &expected);
    }

    secret
}

fn limits(fields: &mut Fields) -> Limits {
    const MAX_COUNT: u64 = 10_000_000;
    const MAX_MILLIS: u64 = 600_000;

    let default = Limits::default();
    let mut size = |key, min, max, default: usize| {
        fields
            .number("limits", key, min, max)
            .and_then(|number| number.try_into().ok())
            .unwrap_or(default)
    };

    let body_bytes = size("body_bytes", 1, 1024 * 1024, default.body_bytes);
    let connections = size("connections", 1, MAX_COUNT, default.connections);
    let header_bytes = size("header_bytes", 256, 1024 * 1024, default.header_bytes);
    let requests = size("requests", 1, MAX_COUNT, default.requests);
    let witness_records = size("witness_records", 1, MAX_COUNT, default.witness_records);
    let mut millis = |key, default| {
        fields
            .number("limits", key, 1, MAX_MILLIS)
            .map_or(default, Duration::from_millis)
    };

    Limits {
        answer_retention: millis("answer_retention_ms", default.answer_retention),
        body_bytes,
        connections,
        header_bytes,
        read_timeout: millis("read_timeout_ms", default.read_timeout),
        requests,
        witness_records,
    }
}

fn platform(fields: &mut Fields) -> Option<Platform> {
    let host_list = service_address(fields, "host_list");
    let object_api = service_address(fields, "object_api");

    Some(Platform {
        host_list: host_list?,
        object_api: object_api?,
    })
}

fn service_address(fields: &mut Fields, key: &str) -> Option<SocketAddr> {
    const EXPECTED: &str = "http:// followed by an IP address and port";

    let url: String = fields.required("platform", key, EXPECTED)?;
    let address = url
        .strip_prefix("http://")
        .and_then(|rest| rest.trim_end_matches('/').parse().ok());

    if address.is_none() {
        fields.add_fault("platform", key, &url, EXPECTED);
    }

    address
}
