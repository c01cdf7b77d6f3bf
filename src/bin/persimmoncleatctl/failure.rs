//! Why a command failed, and with which exit code.

use persimmoncleat::state::fault::Fault;

const OTHER: u8 = 1;
const USAGE: u8 = 2;
const REFUSED: u8 = 3;
const UNREACHABLE: u8 = 4;

/// The exit code and what to print to the standard error.
#[derive(Debug)]
pub struct Failure {
    pub code: u8,
    pub text: String,
}

impl Failure {
    /// Builds a failure that has no code of its own.
    pub fn other(text: impl Into<String>) -> Self {
        Self::new(OTHER, text)
    }

    /// Builds a failure of wrong usage or of a wrong file.
    pub fn usage(text: impl Into<String>) -> Self {
        Self::new(USAGE, text)
    }

    /// Builds a failure of a change that was refused.
    pub fn refused(text: impl Into<String>) -> Self {
        Self::new(REFUSED, text)
    }

    /// Builds a failure of a service that did not answer, or could not.
    pub fn unreachable(text: impl Into<String>) -> Self {
        Self::new(UNREACHABLE, text)
    }

    /// Lists everything that is wrong with a file or a call.
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
