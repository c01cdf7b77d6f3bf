//! The settings of a pool of endpoints.

use serde::{Deserialize, Serialize};

/// The kind of endpoints in a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines, which stream tokens, cache prefixes and accept orders.
    Engine,
    /// Encoders, retrievers and rerankers.
    Pool,
    /// Plain services.
    Service,
}

/// Whether engines refuse orders with an outdated fencing token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    Enforced,
    Ignored,
}

/// The settings of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pool {
    /// Concurrent calls that one endpoint accepts.
    pub concurrency_limit: u32,
    pub fencing: Fencing,
    /// Whether slow repeatable calls may be hedged on a second endpoint.
    pub hedge: bool,
    pub kind: Kind,
    /// The model that the pool's engines are ordered to load.
    pub model: Option<String>,
    /// Whether the pool's endpoints report their load.
    pub reports_load: bool,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            concurrency_limit: 8,
            fencing: Fencing::Ignored,
            hedge: true,
            kind: Kind::Pool,
            model: None,
            reports_load: false,
        }
    }
}
