//! Pure decisions: events and the current time go in, what to do next comes
//! out. Nothing here opens a socket, starts a thread or reads a clock.

pub mod action;
pub mod attempt;
pub mod backlog;
pub mod change;
pub mod class;
pub mod clock;
pub mod edit;
pub mod endpoint;
pub mod event;
pub mod fault;
pub mod gossip;
pub mod home;
pub mod id;
pub mod key;
pub mod lease;
pub mod lease_trace;
pub mod member;
pub mod path;
pub mod pipeline;
pub mod policy;
pub mod policy_builder;
pub mod pool;
pub mod refusal;
pub mod registry;
pub mod rendezvous;
pub mod request;
pub mod resolution;
pub mod rollout;
pub mod scheduler;
pub mod subset;
pub mod tree;
pub mod validation;
pub mod view;
pub mod witness;
