//! The permission to send one not-repeatable request.

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

/// The witness has not been asked.
#[derive(Debug)]
pub struct Unsent;

/// The witness has granted the request to this claim.
#[derive(Debug)]
pub struct Permitted;

/// A ticket on its way to an endpoint. Only a permitted claim can be sent.
#[derive(Debug)]
pub struct Claim<State> {
    nonce: u64,
    state: PhantomData<State>,
    ticket: Ticket,
}

impl Claim<Unsent> {
    /// Builds a claim under a nonce that no other claim has.
    pub fn new(ticket: Ticket, nonce: u64) -> Self {
        Self {
            nonce,
            state: PhantomData,
            ticket,
        }
    }

    /// Asks the ticket's witness for the permission to send. A ticket without
    /// a witness needs no permission.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if the witness did not grant. The
    /// request must then never be sent.
    pub fn permit(self, links: &Links, timeout: Duration) -> Result<Claim<Permitted>, Refusal> {
        let verdict = self.ticket.witness.as_ref().map(|witness| {
            links
                .permit(witness.address, &self.ticket, self.nonce, timeout)
                .map_err(|error| error.to_string())
        });

        match home::permission(verdict) {
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

/// Resolves a ticket whose home cannot be reached: asks the witness to rule
/// out that the request ever runs, and returns the refusal for the caller.
pub fn resolve(ticket: &Ticket, links: &Links, timeout: Duration) -> Refusal {
    resolution::refusal(ticket.witness.as_ref().map(|witness| {
        links
            .void(witness.address, ticket, timeout)
            .map_err(|error| error.to_string())
    }))
}
