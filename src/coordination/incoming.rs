//! Routes the calls of other hosts to the parts of the control thread.

use crate::{
    coordination::{claims, control::Event, membership, settings},
    transport::incoming::Incoming,
};

impl From<Incoming> for Event {
    fn from(call: Incoming) -> Self {
        match call {
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
        }
    }
}
