//! At-most-once execution of requests that are not repeatable.
//!
//! The host that issues a ticket is its home. If the ticket names another host
//! as its witness, the home needs a permit from the witness before it sends the
//! request. When the home is gone, a host asks the witness to void the ticket;
//! a voided ticket proves that the request did not run.

pub mod at_most_once;
pub mod home;
pub mod refusal;
pub mod resolution;
pub mod witness;
