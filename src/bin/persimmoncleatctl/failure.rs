//! Failures of commands and their exit codes.

use persimmoncleat::state::fault::Fault;

const OTHER: u8 = 1;
const USAGE: u8 = 2;
const REFUSED: u8 = 3;
const UNREACHABLE: u8 = 4;

/// An exit code and the text for the standard error.
#[derive(Debug)]
pub struct Failure {
    pub code: u8,
    pub text: String,
}

impl Failure {
    /// Builds a failure that has no exit code of its own.
    pub fn other(text: impl Into<String>) -> Self {
        Self::new(OTHER, text)
    }

    /// Builds a failure of an invalid command line or file.
    pub fn usage(text: impl Into<String>) -> Self {
        Self::new(USAGE, text)
    }

    /// Builds a failure of a refused change.
    pub fn refused(text: impl Into<String>) -> Self {
        Self::new(REFUSED, text)
    }

    /// Builds a failure of a service that cannot be reached or is unavailable.
    pub fn unreachable(text: impl Into<String>) -> Self {
        Self::new(UNREACHABLE, text)
    }

    /// Builds a failure that lists the faults of a file or a call.
    pub fn faults(faults: &[Fault]) -> Self {
        Self::usage(lines(faults))
    }

    fn new(code: u8, text: impl Into<String>) -> Self {
        Self {
            code,
            text: text.into(),
        }
    }
}

/// Returns one line for each fault.
pub fn lines(faults: &[Fault]) -> String {
    faults
        .iter()
        .map(|fault| format!("error: {fault}\n"))
        .collect()
}
