//! Calls of simulated settings replicas.

use crate::state::{
    replay::settings_step::Fault, settings::proposal::Creation, settings::replica_action::Action,
    settings::replica_event::Event,
};

/// Call in progress.
#[derive(Clone, Debug)]
pub struct Call {
    pub action: Action,
    /// Answer of the call, once it was executed.
    pub answer: Option<Event>,
    pub host: usize,
}

impl Call {
    /// Returns the event that the caller receives under a fault.
    pub fn end(&self, fault: Fault) -> Event {
        match (self.answer.clone(), fault) {
            (Some(answer), Fault::None | Fault::Refused) => answer,
            (
                Some(Event::Watched {
                    mut changes,
                    revision,
                }),
                fault,
            ) => {
                if fault == Fault::Lost {
                    changes.pop();
                } else {
                    changes.reverse();
                }

                Event::Watched { changes, revision }
            }
            (Some(answer), Fault::Reordered) => answer,
            (None, Fault::Refused) => refusal(&self.action),
            (None, _) | (Some(_), Fault::Lost) => failure(&self.action),
        }
    }
}

fn failure(action: &Action) -> Event {
    match action {
        Action::AskPeer { peer, .. } => Event::PeerFailed { peer: peer.clone() },
        Action::Create(change) => Event::Created {
            creation: Creation::Unknown,
            operation: change.operation.clone(),
        },
        Action::ReadSnapshot => Event::SnapshotFailed,
        Action::Watch { .. } => Event::WatchFailed,
        Action::WriteSnapshot { .. } => Event::SnapshotWritten(None),
        Action::List { .. } | Action::Reply { .. } => Event::ListFailed,
    }
}

fn refusal(action: &Action) -> Event {
    match action {
        Action::Create(change) => Event::Created {
            creation: Creation::Refused,
            operation: change.operation.clone(),
        },
        action => failure(action),
    }
}
