//! Violations of the rules of settings replicas.

use snafu::Snafu;

/// Violation of a rule.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum Violation {
    #[snafu(display("host {host} is at version {version} after the faults, expected {newest}"))]
    Behind {
        host: usize,
        newest: u64,
        version: u64,
    },
    #[snafu(display(
        "host {host} has changes or a tree at version {version} that differ from the accepted ones"
    ))]
    Diverged { host: usize, version: u64 },
    #[snafu(display("host {host} went from version {from} back to {to}"))]
    VersionRegressed { from: u64, host: usize, to: u64 },
    #[snafu(display(
        "operation {operation} was reported as {outcome}, which contradicts the store"
    ))]
    WrongOutcome { operation: String, outcome: String },
    #[snafu(display("version {version} was created before the previous version"))]
    Skipped { version: u64 },
    #[snafu(display("version {version} replaced a value that changed after its author read it"))]
    LostUpdate { version: u64 },
    #[snafu(display("operation {operation} was applied twice"))]
    AppliedTwice { operation: String },
    #[snafu(display("operation {operation} was not answered"))]
    Unanswered { operation: String },
}
