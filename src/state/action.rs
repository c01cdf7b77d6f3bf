//! What the scheduler wants done.

use {
    crate::state::{backlog, claims::refusal::Refusal, id},
    std::time::Duration,
};

/// An action of the scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// The request may start its first stage.
    Admitted { request: id::Request },
    /// The attempt is no longer needed and is to be cancelled.
    Cancelled {
        attempt: id::Attempt,
        request: id::Request,
    },
    /// The stage is to be sent to the endpoint.
    Dispatched {
        attempt: id::Attempt,
        endpoint: id::Endpoint,
        /// Whether another attempt of the same stage is still running.
        hedge: bool,
        request: id::Request,
        stage: usize,
        timeout: Duration,
    },
    /// The stage failed for good, and the request with it.
    Failed {
        refusal: Refusal,
        request: id::Request,
        stage: usize,
    },
    /// The request is refused before anything ran.
    Refused {
        refusal: Refusal,
        request: id::Request,
    },
    /// A queue is estimated to turn late.
    Warned(backlog::Row),
}

impl Action {
    /// Returns the request that the action concerns.
    pub fn request(&self) -> Option<&id::Request> {
        match self {
            Self::Admitted { request }
            | Self::Cancelled { request, .. }
            | Self::Dispatched { request, .. }
            | Self::Failed { request, .. }
            | Self::Refused { request, .. } => Some(request),
            Self::Warned(_) => None,
        }
    }
}
