//! The part of the control thread that serves as witness for other hosts' tickets.

use {
    crate::state::{
        claims::witness::{Subject, Verdict, Witness},
        clock::Time,
        id,
        view::View,
    },
    tokio::sync::oneshot::Sender,
};

/// An event for this part.
#[derive(Debug)]
pub enum Event {
    /// A home asks whether it may send a request.
    Permit {
        nonce: u64,
        reply: Sender<Verdict>,
        subject: Subject,
    },
    /// A host asks to rule out that a request runs.
    Void {
        reply: Sender<Verdict>,
        subject: Subject,
    },
}

/// The state of this part.
#[derive(Debug)]
pub struct Claims {
    incarnation: id::Incarnation,
    witness: Witness,
}

impl Claims {
    /// Builds the part with an empty table for at most `capacity` tickets.
    pub fn new(view: &View, capacity: usize) -> Self {
        let incarnation = view.local.incarnation;

        Self {
            incarnation,
            witness: Witness::new(view.local.host.clone(), incarnation, capacity),
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, event: Event, view: &mut View) {
        self.renew(view);

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

    /// Does what is due.
    pub fn tick(&mut self, now: Time, view: &mut View) {
        self.renew(view);
        self.witness.expire(now);
    }

    fn renew(&mut self, view: &View) {
        if view.local.incarnation != self.incarnation {
            self.incarnation = view.local.incarnation;
            self.witness.restart(self.incarnation);
        }
    }
}
