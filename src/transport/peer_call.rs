//! Calls from other hosts, each with the channel for its answer.

use {
    crate::state::{
        claims::witness::{Subject, Verdict},
        fleet::gossip::Message,
        id,
        serving::{
            mirror::Relayed,
            piece::{Job, JobId, Outcome, Output},
        },
    },
    std::{net::SocketAddr, sync::mpsc, time::Duration},
    tokio::sync::oneshot,
};

/// A call from another host. Dropping the channel refuses the call.
#[derive(Debug)]
pub enum PeerCall {
    /// Gives a job up.
    CancelJob(JobId),
    /// Asks for the settings changes after a version, as JSON text.
    ChangesAfter {
        reply: mpsc::Sender<String>,
        version: u64,
    },
    /// Asks for the objects of a kind that changed after a revision, and waits
    /// for the first one.
    ObjectChanges {
        kind: String,
        reply: oneshot::Sender<Relayed>,
        revision: u64,
        wait: Duration,
    },
    /// Asks whether the request may be sent.
    Permit {
        nonce: u64,
        reply: oneshot::Sender<Verdict>,
        subject: Subject,
    },
    /// Exchanges member records.
    Probe {
        message: Message,
        reply: oneshot::Sender<Message>,
    },
    /// Asks whether this host reaches another one.
    ProbeFor {
        reply: oneshot::Sender<bool>,
        target: SocketAddr,
    },
    /// Frees outputs that are not needed any more.
    ReleaseOutputs {
        outputs: Vec<Output>,
        service: id::Pool,
    },
    /// Asks the dispatcher of a pool to run pieces.
    RunJob {
        job: Job,
        reply: oneshot::Sender<Outcome>,
    },
    /// Asks to rule out that the request runs.
    Void {
        reply: oneshot::Sender<Verdict>,
        subject: Subject,
    },
}
