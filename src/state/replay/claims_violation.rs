//! Violations of at-most-once execution.

use snafu::Snafu;

/// Violation of at-most-once execution.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum Violation {
    #[snafu(display("ticket {ticket} ran although a caller was answered with not_run"))]
    RanDespiteNotRun { ticket: usize },
    #[snafu(display("ticket {ticket} ran {runs} times"))]
    RanTwice { runs: u32, ticket: usize },
}
