//! Bytes in and out: HTTP client and server, peer links, metrics, clock.

pub mod boot_clock;
pub mod error;
pub mod links;
pub mod object_api;

pub use error::Error;
