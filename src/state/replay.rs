//! Simulations, oracles and traces of the state machines, for the fuzz tests
//! and for `persimmoncleatctl replay`. The daemon does not use this module.

pub mod claims_host;
pub mod claims_network;
pub mod claims_simulation;
pub mod claims_trace;
pub mod claims_violation;
pub mod lease_trace;
pub mod scheduler_fixture;
pub mod scheduler_oracle;
pub mod scheduler_trace;
pub mod scheduler_violation;
pub mod settings_call;
mod settings_oracle;
pub mod settings_step;
pub mod settings_store;
pub mod settings_trace;
pub mod settings_violation;
