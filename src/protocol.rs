//! Typed messages, their encodings and the settings files.

pub mod adapter;
pub mod call;
pub mod caller;
pub mod daemon_file;
pub mod digest;
pub mod error;
pub mod event_stream;
pub mod fields;
pub mod hex;
pub mod hosts;
pub mod object;
pub mod object_api;
pub mod order;
pub mod query;
pub mod secret;
pub mod serving_file;
pub mod serving_reload;
pub mod ticket;
pub mod tree_file;

pub use error::Error;
