//! Tests of the serving path's state, without I/O.

mod balance;
mod batch;
mod batch_fuzz;
mod budget;
mod catch_up;
mod chain;
mod cold;
mod config;
mod crashes;
mod departures;
mod directory;
mod dispatchers;
mod engine_room;
mod engine_speeds;
mod evacuation;
mod event_stream;
mod explain;
mod follower;
mod forecast;
mod graph;
mod job_team;
mod limit;
mod mirror;
mod order;
mod overload;
mod pace;
mod packing;
mod piece;
mod placement;
mod pressure;
mod prompt_crashes;
mod prompt_crashes_fuzz;
mod prompts;
mod quarantine;
mod readers;
mod rendezvous;
mod restoration;
mod stop;
mod tally;
mod uneven;
mod value_order;
mod weighted_directory;

#[path = "../support/fuzz.rs"]
mod fuzz;
