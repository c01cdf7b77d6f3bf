//! Typed messages and their codecs.

pub mod call;
pub mod caller;
pub mod error;
pub mod hosts;
pub mod object;
pub mod order;
pub mod ticket;

pub use error::Error;
