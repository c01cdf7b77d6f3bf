//! A randomized soak test. Hosts run as processes among the stand-ins of the
//! platform, faults are injected from outside the processes, and the system's
//! guarantees are checked under load from what callers and workers observe.
//!
//! A seed determines the plan of faults. The load and the scheduling of the
//! processes differ from run to run, so repeating a seed makes a failure
//! likely to recur but doesn't guarantee it.

pub mod callers;
pub mod environment;
pub mod graph;
pub mod oracle;
pub mod plan;
pub mod record;
pub mod report;
pub mod run;
