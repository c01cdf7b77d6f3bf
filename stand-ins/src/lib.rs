//! Small local stand-ins for the platform: the object API, the host list and
//! the endpoints, with faults that are switched over HTTP.
//!
//! `docs/platform.md` describes the interfaces. The stand-ins share no code
//! with the daemon, so that a test checks the contract and not a common type.
//! [`fleet`] starts daemons as processes among the stand-ins. [`platform`]
//! has the stand-ins of the users' platform, which speak its own protocol.

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
