//! Decisions about requests that callers send to routes: which service serves
//! a request, in which order its pieces run, which endpoint is chosen and what
//! may be retried.

pub mod balance;
pub mod batch;
pub mod budget;
pub mod catch_up;
pub mod chain;
pub mod cold;
pub mod config;
pub mod crashes;
pub mod departures;
pub mod directory;
pub mod dispatchers;
pub mod evacuation;
pub mod explain;
pub mod forecast;
pub mod graph;
pub mod health;
pub mod limit;
pub mod mirror;
pub mod order;
pub mod pace;
pub mod piece;
pub mod placement;
pub mod quarantine;
pub mod readers;
pub mod restoration;
pub mod revision;
pub mod roster;
pub mod stop;
pub mod view;
