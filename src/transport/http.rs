//! Single-threaded HTTP of the serving path: connections from callers and
//! connections to endpoints.

pub mod body;
pub mod client;
pub mod server;
pub mod timing;
