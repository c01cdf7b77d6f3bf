//! The transport layer: HTTP clients and servers, connections between hosts,
//! metrics, logging and the clock.

pub mod boot_clock;
pub mod client;
pub mod connection;
pub mod error;
pub mod fleet_key;
pub mod head;
pub mod http;
pub mod http_connection;
pub mod json_log;
pub mod link;
pub mod link_server;
pub mod links;
pub mod machine;
pub mod metrics;
pub mod object_api;
pub mod packing;
pub mod peer_call;
pub mod peer_capnp;
pub mod peer_server;
pub mod resolver;
pub mod server;
pub mod tally;
pub mod wire;

pub use error::Error;
