//! Orders to model engines; `docs/platform.md` lists the calls.

use serde::{Deserialize, Serialize};

/// The change that an order requests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    LoadAdapter,
    LoadModel,
    LoadVersion,
    SetRole,
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    pub kind: Kind,
    pub name: String,
    /// Id that is the same for all attempts of one order, so that an engine
    /// applies it once.
    pub operation: String,
    /// Fencing token: the version of the lease object under which the order is
    /// issued.
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

/// The state of an engine: what it has loaded and applied.
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
