//! Steps of a trace of settings replicas.

use serde::{Deserialize, Serialize};

/// Fault in the answer of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The last event of a watch is lost; any other call loses its answer.
    Lost,
    None,
    /// A creation is refused before it is sent.
    Refused,
    /// The events of a watch arrive in reverse order.
    Reordered,
}

/// Step of a trace. Indexes of calls count those in progress and wrap around.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum Step {
    /// A call ends. It fails if it was not executed by a `Run` step before.
    Answer { call: usize, fault: Fault },
    /// A host restarts without state.
    Crash { host: usize },
    /// A host loses or regains its links to its peers.
    Cut { host: usize, on: bool },
    /// A call is executed and answered.
    Finish { call: usize },
    /// A host is frozen or continues. Its calls may be executed meanwhile.
    Freeze { host: usize, on: bool },
    /// A call that its host has abandoned is executed.
    Late { call: usize },
    /// A host starts or stops leaving.
    Leave { host: usize, on: bool },
    /// The store stops or resumes executing calls.
    Outage { on: bool },
    /// Time passes on a host, and its calls are executed and answered.
    Round { host: usize },
    /// A call is executed. If it writes a snapshot, only the first `parts` of
    /// its three writes take effect.
    Run { call: usize, parts: u8 },
    /// All faults end, after which every host must reach the newest version.
    Settle,
    /// An operator submits a change that is derived from the operation's
    /// number.
    Submit {
        host: usize,
        operation: u16,
        /// Whether the change names the value that it replaces.
        #[serde(rename = "seen")]
        names_old_value: bool,
    },
    /// Time passes on a host.
    Tick { host: usize, millis: u64 },
}
