//! Tests of the serving path's state, without I/O.

mod balance;
mod batch;
mod batch_fuzz;
mod budget;
mod catch_up;
mod chain;
mod config;
mod departures;
mod directory;
mod dispatchers;
mod event_stream;
mod explain;
mod follower;
mod graph;
mod limit;
mod mirror;
mod overload;
mod packing;
mod piece;
mod placement;
mod pressure;
mod quarantine;
mod readers;
mod rendezvous;
mod stop;
mod tally;

#[path = "../support/fuzz.rs"]
mod fuzz;
