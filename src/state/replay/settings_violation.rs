//! The rules that settings replicas must keep.

use snafu::Snafu;

/// A broken rule.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum Violation {
    #[snafu(display("host {host} is at version {version} after the faults, not {newest}"))]
    Behind {
        host: usize,
        newest: u64,
        version: u64,
    },
    #[snafu(display(
        "host {host} has other changes or another tree at version {version} than were accepted"
    ))]
    Diverged { host: usize, version: u64 },
    #[snafu(display("host {host} went from version {from} back to {to}"))]
    VersionRegressed { from: u64, host: usize, to: u64 },
    #[snafu(display("operation {operation} was reported as {outcome}, which is not so"))]
    WrongOutcome { operation: String, outcome: String },
    #[snafu(display("version {version} was created while the one before was missing"))]
    Skipped { version: u64 },
    #[snafu(display("version {version} replaced a value that its author did not see"))]
    LostUpdate { version: u64 },
    #[snafu(display("operation {operation} was applied twice"))]
    AppliedTwice { operation: String },
    #[snafu(display("operation {operation} got no answer"))]
    Unanswered { operation: String },
}
