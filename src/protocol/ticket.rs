//! Tickets, each of which permits one non-repeatable request to run once.

use {
    crate::state::{clock::Time, id},
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{net::SocketAddr, time::Duration},
};

/// The host that issued a ticket, in one incarnation.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Home {
    pub address: SocketAddr,
    pub host: id::Host,
    pub incarnation: id::Incarnation,
}

/// The host that records whether the request may have run.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Witness {
    /// Peer address of the witness.
    pub address: SocketAddr,
    pub host: id::Host,
    pub incarnation: id::Incarnation,
    /// Time on the witness's clock that the home last received from it, a lower
    /// bound of the issue time on that clock.
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
    /// `None` if no other host was up at the time of issue.
    pub witness: Option<Witness>,
}
