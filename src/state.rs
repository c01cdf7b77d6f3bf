//! Pure decisions: events and the current time go in, what to do next comes
//! out. Nothing here opens a socket, starts a thread or reads a clock.

pub mod action;
pub mod attempt;
pub mod backlog;
pub mod claims_host;
pub mod claims_network;
pub mod claims_trace;
pub mod claims_violation;
pub mod claims_world;
pub mod class;
pub mod clock;
pub mod endpoint;
pub mod event;
pub mod gossip;
pub mod home;
pub mod id;
pub mod member;
pub mod membership;
pub mod membership_action;
pub mod membership_event;
pub mod peer;
pub mod peers;
pub mod pipeline;
pub mod policy;
pub mod pool;
pub mod probes;
pub mod refusal;
pub mod request;
pub mod resolution;

pub mod rumours;
pub mod scheduler;
pub mod standing;
pub mod targets;
pub mod view;
pub mod witness;
