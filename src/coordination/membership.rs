//! The part of the control thread that keeps the view of the other hosts.

use {
    crate::state::{clock::Time, gossip::Message, member::Phase, view::View},
    std::net::SocketAddr,
    tokio::sync::oneshot::Sender,
};

/// An event for this part.
#[derive(Debug)]
pub enum Event {
    /// This host takes no new work from now on.
    Leave,
    /// A peer probes this host.
    Probed {
        message: Message,
        reply: Sender<Message>,
    },
    /// A peer asks whether this host reaches another one.
    ProbeFor {
        reply: Sender<bool>,
        target: SocketAddr,
    },
}

/// The state of this part.
#[derive(Debug, Default)]
pub struct Membership {}

impl Membership {
    /// Handles one event.
    pub fn handle(&mut self, _now: Time, event: Event, view: &mut View) {
        match event {
            Event::Leave => view.local.phase = Phase::Leaving,
            Event::ProbeFor { reply, .. } => {
                let _ = reply.send(false);
            }
            Event::Probed { reply, .. } => {
                let _ = reply.send(Message {
                    from: view.local.clone(),
                    updates: Vec::new(),
                });
            }
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, _now: Time, _view: &mut View) {}
}
