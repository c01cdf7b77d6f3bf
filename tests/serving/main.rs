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
mod engine_room;
mod engine_speeds;
mod event_stream;
mod follower;
mod graph;
mod limit;
mod mirror;
mod order;
mod overload;
mod packing;
mod piece;
mod placement;
mod quarantine;
mod readers;
mod rendezvous;
mod stop;
mod tally;

#[path = "../support/fuzz.rs"]
mod fuzz;
