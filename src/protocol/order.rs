//! Orders to model engines; `docs/platform.md` lists the calls.

use serde::{Deserialize, Serialize};

/// What an order changes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    LoadAdapter,
    LoadModel,
    LoadVersion,
    SetRole,
}

/// An order.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    pub kind: Kind,
    pub name: String,
    /// The same for every try of one order, so that an engine carries it out
    /// once.
    pub operation: String,
    /// Version of the lease object under which the order is given.
    pub token: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    pub applied: bool,
    /// Highest token that the engine has seen.
    pub token: u64,
}

/// What an engine has loaded.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct Engine {
    pub adapters: Vec<String>,
    pub models: Vec<String>,
    pub operations: Vec<String>,
    pub role: String,
    pub token: u64,
    pub versions: Vec<String>,
}
