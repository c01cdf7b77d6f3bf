//! Calls received from other hosts, with the channels for their replies.

use {
    crate::state::{
        claims::witness::{Subject, WitnessAnswer},
        fleet::gossip::Message,
        id,
        serving::{
            balance::{Answer, Prompt, Report},
            mirror::RelayedChanges,
            piece::{Job, JobId, Outcome, Output},
            revision::Revision,
        },
    },
    std::{net::SocketAddr, sync::mpsc, time::Duration},
    tokio::sync::oneshot,
};

/// A call received from another host. The call fails if its reply channel is
/// dropped.
#[derive(Debug)]
pub enum PeerCall {
    /// Cancels a job.
    CancelJob(JobId),
    /// Requests the settings changes after a version, as JSON text.
    ChangesAfter {
        reply: mpsc::Sender<String>,
        version: u64,
    },
    /// Requests the objects of a kind that changed after a revision, and waits
    /// for the first change.
    ObjectChanges {
        kind: String,
        reply: oneshot::Sender<RelayedChanges>,
        revision: Revision,
        wait: Duration,
    },
    /// Asks the witness for permission to send a request.
    Permit {
        nonce: u64,
        reply: oneshot::Sender<WitnessAnswer>,
        subject: Subject,
    },
    /// Asks for the engine of a prompt.
    PlacePrompt {
        prompt: Prompt,
        reply: oneshot::Sender<Answer>,
    },
    /// Exchanges membership records.
    Probe {
        message: Message,
        reply: oneshot::Sender<Message>,
    },
    /// Asks whether this host can reach another one, as an indirect probe.
    ProbeFor {
        reply: oneshot::Sender<bool>,
        target: SocketAddr,
    },
    /// Releases outputs that are no longer needed.
    ReleaseOutputs {
        outputs: Vec<Output>,
        service: id::Pool,
    },
    /// Tells how a prompt fared at its engine.
    ReportPrompt {
        id: JobId,
        report: Report,
        service: id::Pool,
    },
    /// Submits a job to the dispatcher of a pool.
    RunJob {
        job: Job,
        reply: oneshot::Sender<Outcome>,
    },
    /// Asks the witness to void a ticket, so that its request never runs.
    Void {
        reply: oneshot::Sender<WitnessAnswer>,
        subject: Subject,
    },
}
