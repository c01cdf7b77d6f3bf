//! HTTP for the serving path, on one thread: callers' connections and the
//! connections to endpoints.

pub mod body;
pub mod client;
pub mod server;
pub mod timing;
