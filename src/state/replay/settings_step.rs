//! The steps of a trial of settings replicas, as traces hold them.

use serde::{Deserialize, Serialize};

/// What happens to the answer of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A watch misses its last event, any other call loses its answer.
    Lost,
    None,
    /// A creation is refused before it is sent.
    Refused,
    /// The events of a watch arrive in reverse order.
    Reordered,
}

/// One step. An index counts calls in progress and wraps around.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum Step {
    /// A call ends. Without `Run` before, it fails.
    Answer { call: usize, fault: Fault },
    /// A host is replaced by a fresh one.
    Crash { host: usize },
    /// A host loses or regains its links to its peers.
    Cut { host: usize, on: bool },
    /// A call is carried out and answered.
    Finish { call: usize },
    /// A host is frozen or goes on. Its calls may be carried out meanwhile.
    Freeze { host: usize, on: bool },
    /// A creation whose caller gave up is carried out.
    Late { call: usize },
    /// A host starts or stops leaving.
    Leave { host: usize, on: bool },
    /// The store starts or stops refusing calls.
    Outage { on: bool },
    /// Time passes on a host, and its calls end.
    Round { host: usize },
    /// A call is carried out; `parts` tells how far the writing of a snapshot
    /// gets.
    Run { call: usize, parts: u8 },
    /// All faults end, after which every host must reach the newest version.
    Settle,
    /// An operator submits a change, which follows from the operation's
    /// number. `seen` tells whether it names the value it
    /// replaces.
    Submit {
        host: usize,
        operation: u16,
        seen: bool,
    },
    /// Time passes on a host.
    Tick { host: usize, millis: u64 },
}
