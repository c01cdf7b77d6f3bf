//! Messages of the endpoint interface; `docs/platform.md` lists them.

use {
    crate::state::id,
    serde::{Deserialize, Serialize},
    serde_json::Value,
    serde_with::{DurationMilliSeconds, serde_as},
    std::time::Duration,
};

/// A call that runs one stage of a request.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Call {
    pub attempt: String,
    pub class: id::Class,
    /// Time left until the deadline when the call is sent.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    pub input: Option<Value>,
    pub max_tokens: u32,
    pub prefix: Option<String>,
    pub priority: u8,
    pub prompt: String,
    pub repeatable: bool,
    pub request: id::Request,
    /// Index of the first token to return.
    pub resume_from: u32,
    pub stage: id::Stage,
    pub stream: bool,
    pub team: id::Team,
}

/// Outcome of a call as the endpoint reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    Done,
    Failed,
    NotRun,
}

/// The complete answer to a call.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Reply {
    pub attempt: String,
    #[serde(default)]
    pub output: Option<Value>,
    #[serde(default)]
    pub reason: Option<String>,
    pub request: id::Request,
    pub status: Status,
    #[serde(default)]
    pub tokens: u32,
}

/// One line of a streamed answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(untagged)]
pub enum Line {
    /// Marks the end of a complete answer.
    End {
        attempt: String,
        end: bool,
        request: id::Request,
        tokens: u32,
    },
    Token {
        attempt: String,
        index: u32,
        token: String,
    },
}

/// An endpoint's report of its load.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Load {
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
    pub capacity: u32,
    pub leaving: bool,
    pub queued: u32,
    pub running: u32,
}

/// A cache event of a model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CacheEvent {
    pub kind: crate::state::endpoint::CacheEventKind,
    pub prefix: String,
    pub sequence: u64,
}

/// The cache events after a sequence number.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CacheEvents {
    pub events: Vec<CacheEvent>,
}
