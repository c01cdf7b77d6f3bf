//! The test oracle: a record of the calls that an endpoint ran, which tests
//! compare with the responses.

use serde::{Deserialize, Serialize};

/// A call that began to run.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallRecord {
    pub attempt: String,
    /// Number of completed runs.
    pub effects: u32,
    /// First word of the call's source text.
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
    /// Records that a call began and returns the index of its record.
    pub fn begin(&mut self, record: CallRecord) -> usize {
        self.calls.push(record);
        self.calls.len() - 1
    }

    /// Records that a call ran to completion.
    pub fn complete(&mut self, record: usize) {
        self.calls[record].effects += 1;
    }

    /// Returns the number of calls that began for a request.
    pub fn calls_of(&self, request: &str) -> usize {
        self.calls
            .iter()
            .filter(|record| record.request == request)
            .count()
    }

    /// Returns the number of completed runs for a request.
    pub fn effects_of(&self, request: &str) -> u32 {
        self.calls
            .iter()
            .filter(|record| record.request == request)
            .map(|record| record.effects)
            .sum()
    }
}
