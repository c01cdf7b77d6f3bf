//! Decisions about requests that callers address to routes: which service
//! serves them, in which order their pieces run, which endpoint takes them
//! and what may be sent again.

pub mod batch;
pub mod budget;
pub mod config;
pub mod directory;
pub mod graph;
pub mod health;
pub mod mirror;
pub mod piece;
pub mod placement;
pub mod readers;
pub mod roster;
pub mod view;
