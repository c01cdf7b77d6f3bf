//! Routes calls from other hosts to the components of the control thread.

use crate::{
    coordination::{claims, control::Event, membership, settings},
    transport::incoming::Incoming,
};

impl Event {
    /// Returns the event for a call, or `None` if this daemon does not serve
    /// the call. It is then refused, since its reply channel is dropped.
    pub fn from_call(call: Incoming) -> Option<Self> {
        Some(match call {
            Incoming::CancelJob(_)
            | Incoming::ObjectChanges { .. }
            | Incoming::ReleaseOutputs { .. }
            | Incoming::RunJob { .. } => return None,
            Incoming::ChangesAfter { reply, version } => {
                Self::Settings(settings::Event::ChangesAfter { reply, version })
            }
            Incoming::Permit {
                nonce,
                reply,
                subject,
            } => Self::Claims(claims::Event::Permit {
                nonce,
                reply,
                subject,
            }),
            Incoming::Probe { message, reply } => {
                Self::Membership(membership::Event::Probed { message, reply })
            }
            Incoming::ProbeFor { reply, target } => {
                Self::Membership(membership::Event::ProbeFor { reply, target })
            }
            Incoming::Void { reply, subject } => {
                Self::Claims(claims::Event::Void { reply, subject })
            }
        })
    }
}
