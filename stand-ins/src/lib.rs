//! Local stand-ins for the systems around the daemon: the object API, the host
//! list and the endpoints. Faults are switched on and off over HTTP.
//!
//! `docs/platform.md` describes the interfaces. The stand-ins share no code
//! with the daemon, so that tests check the contract rather than shared types.
//! [`fleet`] starts daemon processes that use the stand-ins. [`platform`]
//! contains stand-ins for the users' platform, which has its own protocol.

pub mod batch;
pub mod cache;
pub mod call;
pub mod caller;
pub mod client;
pub mod daemon;
pub mod endpoint;
pub mod error;
pub mod faults;
pub mod fleet;
pub mod host_list;
pub mod http;
pub mod object_api;
pub mod oracle;
pub mod orders;
pub mod outcome;
pub mod platform;
pub mod relay;
pub mod run;
pub mod server;
pub mod store;
pub mod synthetic;

pub use error::Error;
