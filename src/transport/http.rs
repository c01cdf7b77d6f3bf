//! Single-threaded HTTP of the serving path: connections from callers and
//! connections to endpoints.

pub mod body;
pub mod client;
pub mod head_limit;
pub mod memory;
pub mod observed_stream;
pub mod server;
pub mod timing;
