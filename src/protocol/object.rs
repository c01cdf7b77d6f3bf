//! Messages of the object API; `docs/platform.md` lists its calls.

use {
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// One object at one version.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Object {
    pub key: String,
    pub value: Value,
    pub version: u64,
}

/// Objects under a prefix.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct List {
    pub objects: Vec<Object>,
    pub revision: u64,
}

/// A change that a watch reports; the value is null for a deletion.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Change {
    pub key: String,
    pub value: Option<Value>,
    pub version: u64,
}

/// Changes since a revision.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Watch {
    pub events: Vec<Change>,
    pub revision: u64,
}

/// An object's key and its current version, without the value.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Version {
    pub key: String,
    pub version: u64,
}
