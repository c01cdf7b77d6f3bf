//! The actions that the scheduler requests from its caller.

use {
    crate::state::{backlog, claims::refusal::Refusal, id},
    std::time::Duration,
};

/// An action that the scheduler's caller carries out or reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// The request may start its first stage.
    Admitted { request: id::Request },
    /// The attempt is no longer needed and must be cancelled.
    Cancelled {
        attempt: id::Attempt,
        request: id::Request,
    },
    /// The stage must be sent to the endpoint.
    Dispatched {
        attempt: id::Attempt,
        endpoint: id::Endpoint,
        /// Whether another attempt of the same stage is still running.
        hedge: bool,
        request: id::Request,
        stage: usize,
        timeout: Duration,
    },
    /// The stage failed and is not retried, so the request failed too.
    Failed {
        refusal: Refusal,
        request: id::Request,
        stage: usize,
    },
    /// The request was refused at arrival, before any stage ran.
    Refused {
        refusal: Refusal,
        request: id::Request,
    },
    /// The last request of a team, class and stage in a queue is estimated to
    /// miss its deadline.
    Warned(backlog::Row),
}

impl Action {
    /// Returns the request of the action; a warning about a queue has none.
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
