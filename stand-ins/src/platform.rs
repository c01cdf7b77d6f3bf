//! Stand-ins for the users' platform: its store, its workers and its callers.

pub mod caller;
pub mod config;
pub mod host;
pub mod store;
pub mod workers;
