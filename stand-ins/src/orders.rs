//! Orders to a model engine, and the state that they change.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, str::FromStr},
};

/// Whether an engine refuses orders with an old fencing token.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fencing {
    #[default]
    Enforced,
    Ignored,
}

impl FromStr for Fencing {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "enforced" => Ok(Self::Enforced),
            "ignored" => Ok(Self::Ignored),
            _ => Err(format!("fencing is {text:?}, expected enforced or ignored")),
        }
    }
}

/// Kind of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    LoadAdapter,
    LoadModel,
    LoadVersion,
    SetRole,
}

/// An order to a model engine.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    pub kind: Kind,
    pub name: String,
    pub operation: String,
    pub token: u64,
}

/// State of a model engine that orders change.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct EngineState {
    pub adapters: BTreeSet<String>,
    #[serde(skip)]
    fencing: Fencing,
    pub models: BTreeSet<String>,
    /// Applied operations, in the order of their application.
    pub operations: Vec<String>,
    pub role: String,
    /// Highest fencing token of an accepted order.
    pub token: u64,
    pub versions: BTreeSet<String>,
}

impl EngineState {
    /// Creates the state of an engine to which no order was applied.
    pub fn new(fencing: Fencing) -> Self {
        Self {
            fencing,
            role: "serve".into(),
            ..Self::default()
        }
    }

    /// Applies an order and returns whether its fencing token was accepted. An
    /// operation that was applied before has no further effect.
    pub fn apply(&mut self, order: Order) -> bool {
        if self.fencing == Fencing::Enforced && order.token < self.token {
            return false;
        }

        self.token = self.token.max(order.token);

        if self.operations.contains(&order.operation) {
            return true;
        }

        self.operations.push(order.operation);

        match order.kind {
            Kind::LoadAdapter => drop(self.adapters.insert(order.name)),
            Kind::LoadModel => drop(self.models.insert(order.name)),
            Kind::LoadVersion => drop(self.versions.insert(order.name)),
            Kind::SetRole => self.role = order.name,
        }

        true
    }
}
