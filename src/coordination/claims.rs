//! The component of the control thread that serves as witness for the tickets
//! of other hosts.

use {
    crate::state::{
        claims::witness::{Subject, Witness, WitnessAnswer},
        clock::Time,
        id,
        view::View,
    },
    tokio::sync::oneshot::Sender,
};

/// Event handled by [`Claims`].
#[derive(Debug)]
pub enum Event {
    /// A ticket's home requests the permission to send its request.
    Permit {
        nonce: u64,
        reply: Sender<WitnessAnswer>,
        subject: Subject,
    },
    /// A host requests that a ticket be voided, so that its request never runs.
    Void {
        reply: Sender<WitnessAnswer>,
        subject: Subject,
    },
}

/// The witness of this host, which restarts when the host's incarnation
/// changes.
#[derive(Debug)]
pub struct Claims {
    incarnation: id::Incarnation,
    witness: Witness,
}

impl Claims {
    /// Creates a witness with an empty table of at most `capacity` tickets.
    pub fn new(view: &View, capacity: usize) -> Self {
        let incarnation = view.local.incarnation;

        Self {
            incarnation,
            witness: Witness::new(view.local.host.clone(), incarnation, capacity),
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, event: Event, view: &mut View) {
        self.refresh_incarnation(view);

        match event {
            Event::Permit {
                nonce,
                reply,
                subject,
            } => {
                let _ = reply.send(self.witness.permit(now, &subject, nonce));
            }
            Event::Void { reply, subject } => {
                let _ = reply.send(self.witness.void(now, &subject));
            }
        }
    }

    /// Restarts the witness after a change of incarnation and removes expired
    /// records.
    pub fn tick(&mut self, now: Time, view: &mut View) {
        self.refresh_incarnation(view);
        self.witness.expire(now);
    }

    fn refresh_incarnation(&mut self, view: &View) {
        if view.local.incarnation != self.incarnation {
            self.incarnation = view.local.incarnation;
            self.witness.restart(self.incarnation);
        }
    }
}
