//! The platform's host list; `docs/platform.md` lists its calls.

use {
    crate::state::{endpoint::Phase, id},
    serde::{Deserialize, Serialize},
    serde_json::value::RawValue,
    std::net::SocketAddr,
};

/// The pool name under which entry hosts are listed, with their peer address.
pub const ENTRY_POOL: &str = "entry";

/// One record of the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Host {
    pub address: SocketAddr,
    pub domain: id::Domain,
    pub id: String,
    pub phase: Phase,
    pub pool: id::Pool,
}

/// The host list, of which single records may be unreadable.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
pub struct Hosts {
    hosts: Vec<Box<RawValue>>,
    pub revision: u64,
}

impl Hosts {
    /// Decodes the host list. Bytes that are not UTF-8 make only their record
    /// unreadable.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a host list.
    pub fn read(text: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_str(&String::from_utf8_lossy(text))
    }

    /// Returns the records that can be read, and the errors of the others.
    pub fn records(&self) -> (Vec<Host>, Vec<String>) {
        let mut records = Vec::new();
        let mut errors = Vec::new();

        for text in self.hosts.iter().map(|record| record.get()) {
            match serde_json::from_str(text) {
                _ if text.contains(char::REPLACEMENT_CHARACTER) => {
                    errors.push("a record is not text in UTF-8".into());
                }
                Ok(record) => records.push(record),
                Err(error) => errors.push(format!("a record cannot be read: {error}")),
            }
        }

        (records, errors)
    }
}
