//! What really ran: the record that tests compare answers with.

use serde::{Deserialize, Serialize};

/// One call that began to run.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallRecord {
    pub attempt: String,
    /// Completed runs.
    pub effects: u32,
    /// First word of the text that the call works on.
    pub marker: String,
    pub request: String,
    pub stage: String,
}

/// Every call that began to run, in order.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Oracle {
    pub calls: Vec<CallRecord>,
    /// Number of calls that were refused before they ran.
    pub refused: u64,
}

impl Oracle {
    /// Records that a call began and returns its row number.
    pub fn begin(&mut self, row: CallRecord) -> usize {
        self.calls.push(row);
        self.calls.len() - 1
    }

    /// Records that a call completed its run.
    pub fn complete(&mut self, row: usize) {
        self.calls[row].effects += 1;
    }

    /// Returns the calls that began for a request.
    pub fn calls_of(&self, request: &str) -> usize {
        self.calls
            .iter()
            .filter(|row| row.request == request)
            .count()
    }

    /// Returns the completed runs for a request.
    pub fn effects_of(&self, request: &str) -> u32 {
        self.calls
            .iter()
            .filter(|row| row.request == request)
            .map(|row| row.effects)
            .sum()
    }
}
