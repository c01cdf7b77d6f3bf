//! Bytes in and out: HTTP client and server, peer links, metrics, clock.

pub mod boot_clock;
pub mod client;
pub mod connection;
pub mod error;
pub mod head;
pub mod json_log;
pub mod links;
pub mod metrics;
pub mod server;

pub use error::Error;
