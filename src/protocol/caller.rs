//! Messages of the caller interface.

use {
    crate::state::{claims::refusal::Refusal, id},
    serde::{Deserialize, Serialize},
    serde_json::Value,
    serde_with::{DurationMilliSeconds, serde_as},
    std::{net::SocketAddr, time::Duration},
};

/// The header that carries a ticket.
pub const TICKET_HEADER: &str = "Persimmon-Ticket";

/// An address that callers may use.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Entrypoint {
    pub address: SocketAddr,
    pub domain: id::Domain,
    pub host: id::Host,
}

/// Addresses in order of preference, and the time for which callers may cache
/// them.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Entrypoints {
    pub entrypoints: Vec<Entrypoint>,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "keep_ms")]
    pub keep: Duration,
}

/// The body of a request for a ticket.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TicketBody {
    /// SHA-256 of the request body that the ticket is for, hexadecimal.
    pub body_sha256: String,
    pub class: id::Class,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "deadline_ms")]
    pub deadline: Option<Duration>,
    pub pipeline: id::Pipeline,
    pub team: id::Team,
}

/// A signed ticket, which the caller sends back unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TicketAnswer {
    /// Address of the home, the host to which the request is to be posted.
    pub address: SocketAddr,
    pub request: id::Request,
    pub ticket: String,
}

/// The body of a request to a pipeline.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    #[serde(default)]
    pub input: Option<Value>,
    #[serde(default)]
    pub max_tokens: u32,
    #[serde(default)]
    pub prefix: Option<String>,
    pub prompt: String,
}

/// Attempts, time and tokens that one stage took.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StageReport {
    pub attempts: u32,
    pub endpoint: id::Endpoint,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "millis")]
    pub elapsed: Duration,
    pub stage: id::Stage,
    pub tokens: u32,
}

/// The complete answer to a request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    /// Always true; a body without it was truncated.
    pub complete: bool,
    pub output: Value,
    pub request: id::Request,
    pub stages: Vec<StageReport>,
}

/// A refusal as an RFC 9457 problem document.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Problem {
    /// Another address that the caller may try.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entrypoint: Option<SocketAddr>,
    #[serde(flatten)]
    pub refusal: Refusal,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<id::Request>,
    pub status: u16,
    pub title: String,
    #[serde(rename = "type")]
    pub kind: String,
}
