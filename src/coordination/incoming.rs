//! Routes calls from other hosts to the components of the control thread.

use crate::{
    coordination::{claims, control::Event, membership, settings},
    transport::peer_call::PeerCall,
};

impl Event {
    /// Returns the event for a call, or `None` if this daemon does not serve
    /// the call. It is then refused, since its reply channel is dropped.
    pub fn from_call(call: PeerCall) -> Option<Self> {
        Some(match call {
            PeerCall::CancelJob(_)
            | PeerCall::ObjectChanges { .. }
            | PeerCall::PlacePrompt { .. }
            | PeerCall::ReleaseOutputs { .. }
            | PeerCall::ReportPrompt { .. }
            | PeerCall::RunJob { .. } => return None,
            PeerCall::ChangesAfter { reply, version } => {
                Self::Settings(settings::Event::ChangesAfter { reply, version })
            }
            PeerCall::Permit {
                nonce,
                reply,
                subject,
            } => Self::Claims(claims::Event::Permit {
                nonce,
                reply,
                subject,
            }),
            PeerCall::Probe { message, reply } => {
                Self::Membership(membership::Event::Probed { message, reply })
            }
            PeerCall::ProbeFor { reply, target } => {
                Self::Membership(membership::Event::ProbeFor { reply, target })
            }
            PeerCall::Void { reply, subject } => {
                Self::Claims(claims::Event::Void { reply, subject })
            }
        })
    }
}
