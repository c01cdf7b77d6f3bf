//! Connects the decisions to the outside: the control thread, its drivers and
//! the running of requests.

pub mod claim;
pub mod claims;
pub mod control;
pub mod error;
pub mod incoming;
pub mod membership;
pub mod published;
pub mod scheduling;
pub mod settings;
pub mod tickets;

pub use error::Error;
