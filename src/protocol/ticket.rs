//! Tickets: the permission to run one not-repeatable request once.

use {
    crate::state::{clock::Time, id},
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{net::SocketAddr, time::Duration},
};

/// One incarnation of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Home {
    pub address: SocketAddr,
    pub host: id::Host,
    pub incarnation: id::Incarnation,
}

/// The host that remembers whether the request may have run.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Witness {
    /// Peer address of the witness.
    pub address: SocketAddr,
    pub host: id::Host,
    pub incarnation: id::Incarnation,
    /// The witness's own clock as its home last heard it, a lower bound of the
    /// issue time on that clock.
    pub stamp: Time,
}

/// A ticket for one request.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ticket {
    pub body_sha256: String,
    pub class: id::Class,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    pub home: Home,
    /// Issue time on the home's clock.
    pub issued: Time,
    pub pipeline: id::Pipeline,
    pub request: id::Request,
    pub team: id::Team,
    /// None when no other host was up at the time of issue.
    pub witness: Option<Witness>,
}
