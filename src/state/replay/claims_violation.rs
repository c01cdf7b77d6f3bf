//! Broken promises about requests that run at most once.

use snafu::Snafu;

/// A broken promise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum Violation {
    #[snafu(display("ticket {ticket} ran although a caller was told not_run"))]
    RanDespiteNotRun { ticket: usize },
    #[snafu(display("ticket {ticket} ran {runs} times"))]
    RanTwice { runs: u32, ticket: usize },
}
