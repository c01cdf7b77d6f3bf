//! Calls between hosts.

use {
    crate::{
        protocol::ticket::Ticket,
        state::{gossip::Message, witness::Verdict},
        transport::error::{ConnectSnafu, Error},
    },
    std::{net::SocketAddr, time::Duration},
};

/// A handle on the thread that keeps the connections to other hosts.
#[derive(Clone, Debug)]
pub struct Links {}

impl Links {
    /// Asks the witness at `address` whether the ticket's request may be sent.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived in time, or the connection broke.
    pub fn permit(
        &self,
        address: SocketAddr,
        _ticket: &Ticket,
        _nonce: u64,
        _timeout: Duration,
    ) -> Result<Verdict, Error> {
        Self::unconnected(address)
    }

    /// Asks the witness at `address` to rule out that the request runs.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived in time, or the connection broke.
    pub fn void(
        &self,
        address: SocketAddr,
        _ticket: &Ticket,
        _timeout: Duration,
    ) -> Result<Verdict, Error> {
        Self::unconnected(address)
    }

    /// Fetches the settings changes after `version`, as JSON text.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived in time, or the connection broke.
    pub fn changes_after(
        &self,
        address: SocketAddr,
        _version: u64,
        _timeout: Duration,
    ) -> Result<String, Error> {
        Self::unconnected(address)
    }

    /// Exchanges member records with the host at `address`, and passes its
    /// answer to `done` without blocking.
    pub fn probe(
        &self,
        address: SocketAddr,
        _message: Message,
        _timeout: Duration,
        done: impl FnOnce(Result<Message, Error>) + Send + 'static,
    ) {
        done(Self::unconnected(address));
    }

    /// Asks the host at `address` whether it reaches `target`, and passes its
    /// answer to `done` without blocking.
    pub fn probe_for(
        &self,
        address: SocketAddr,
        _target: SocketAddr,
        _timeout: Duration,
        done: impl FnOnce(Result<bool, Error>) + Send + 'static,
    ) {
        done(Self::unconnected(address));
    }

    fn unconnected<T>(address: SocketAddr) -> Result<T, Error> {
        ConnectSnafu {
            address: address.to_string(),
            message: "links are not running",
        }
        .fail()
    }
}
