//! Connects the decision logic of `state` to the network and the clock: the
//! control thread, the threads that perform its I/O, and the execution of
//! requests.

pub mod admin;
pub mod attempt;
pub mod auth;
pub mod body;
pub mod claim;
pub mod claims;
pub mod control;
pub mod daemon;
pub mod discovery;
pub mod drain;
pub mod engines;
pub mod entrypoints;
pub mod error;
pub mod exchange;
pub mod forward;
pub mod gateway;
pub mod gauges;
pub mod incoming;
pub mod intake;
pub mod leases;
pub mod membership;
pub mod observer;
pub mod posted_request;
pub mod problem;
pub mod progress;
pub mod published_view;
pub mod record;
pub mod records;
pub mod requests;
pub mod routes;
pub mod run;
pub mod runner;
pub mod scheduling;
pub mod serving;
pub mod settings;
pub mod settings_api;
pub mod settings_log;
pub mod settings_worker;
pub mod ticketed_requests;
pub mod tickets;

pub use error::Error;
