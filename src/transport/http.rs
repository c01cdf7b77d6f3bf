//! Single-threaded HTTP of the serving path: connections from callers and
//! connections to endpoints.

pub mod body;
pub mod callers;
pub mod client;
pub mod head_limit;
pub mod memory;
pub mod observed_stream;
pub mod outbox;
pub mod pressure;
pub mod server;
pub mod timing;
