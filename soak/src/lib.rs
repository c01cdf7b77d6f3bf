//! A randomized soak: hosts run as processes among the stand-ins of the
//! platform, faults are injected from outside them, and the promises are
//! checked while the load runs, from what callers and workers see.
//!
//! A seed decides the plan of faults. The load and the timing of processes
//! differ from run to run, so a seed makes a fault likely again and not
//! certain.

pub mod callers;
pub mod oracle;
pub mod plan;
pub mod record;
pub mod report;
pub mod run;
pub mod world;
