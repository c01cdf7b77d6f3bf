//! The permission to send a non-repeatable request, granted by the ticket's
//! witness.

use {
    crate::{
        protocol::ticket::Ticket,
        state::{
            claims::home::{self, Permission},
            claims::refusal::Refusal,
            claims::resolution,
        },
        transport::links::Links,
    },
    std::{marker::PhantomData, time::Duration},
};

/// State of a claim before its witness is asked for the permission to send.
#[derive(Debug)]
pub struct Unpermitted;

/// State of a claim that may be sent: its witness has granted the permission,
/// or its ticket has no witness.
#[derive(Debug)]
pub struct Permitted;

/// A claim to send a ticket's request to an endpoint. Only a permitted claim
/// can be sent.
#[derive(Debug)]
pub struct Claim<State> {
    nonce: u64,
    state: PhantomData<State>,
    ticket: Ticket,
}

impl Claim<Unpermitted> {
    /// Creates a claim. No other claim may have the same nonce.
    pub fn new(ticket: Ticket, nonce: u64) -> Self {
        Self {
            nonce,
            state: PhantomData,
            ticket,
        }
    }

    /// Asks the ticket's witness for permission to send. A ticket without a
    /// witness needs no permission.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller unless the witness grants the
    /// permission. The request must never be sent after a refusal.
    pub fn permit(self, links: &Links, timeout: Duration) -> Result<Claim<Permitted>, Refusal> {
        let answer = self.ticket.witness.as_ref().map(|witness| {
            links
                .permit(witness.address, &self.ticket, self.nonce, timeout)
                .map_err(|error| error.to_string())
        });

        match home::permission(answer) {
            Permission::Close(refusal) => Err(refusal),
            Permission::Send => Ok(Claim {
                nonce: self.nonce,
                state: PhantomData,
                ticket: self.ticket,
            }),
        }
    }
}

impl Claim<Permitted> {
    /// Returns the ticket of the request that may be sent.
    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }
}

/// Resolves a ticket whose home cannot be reached: asks the witness to void the
/// ticket, so that its request never runs, and returns the refusal for the
/// caller.
pub fn resolve(ticket: &Ticket, links: &Links, timeout: Duration) -> Refusal {
    resolution::refusal(ticket.witness.as_ref().map(|witness| {
        links
            .void(witness.address, ticket, timeout)
            .map_err(|error| error.to_string())
    }))
}
