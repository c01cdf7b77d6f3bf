//! The settings tree, the log of its changes and the replica of both on each host.

pub mod change;
pub mod edit;
pub mod log;
pub mod path;
pub mod proposal;
pub mod replica;
pub mod replica_action;
pub mod replica_event;
pub mod replica_peers;
pub mod rollout;
pub mod snapshot;
pub mod tree;
pub mod validation;
