//! Calls of the endpoint interface.

use {serde::Deserialize, serde_json::Value};

/// A call that runs one stage.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Call {
    pub attempt: String,
    pub class: String,
    pub deadline_ms: u64,
    pub input: Option<Value>,
    pub max_tokens: u32,
    pub prefix: Option<String>,
    pub priority: u8,
    pub prompt: String,
    pub repeatable: bool,
    pub request: String,
    pub resume_from: u32,
    pub stage: String,
    pub stream: bool,
    pub team: String,
}
