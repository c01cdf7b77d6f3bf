//! The inputs of the scheduler.

use {
    crate::state::{attempt, endpoint, id, policy::Policy, request::Request},
    std::{collections::BTreeMap, sync::Arc},
};

/// Requests in progress by team, as reported by one peer.
pub type Demand = BTreeMap<id::Team, u32>;

/// An input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new request arrived and needs an admission decision.
    Arrived(Request),
    /// An endpoint's prefix cache changed.
    Cache {
        endpoint: id::Endpoint,
        event: endpoint::CacheEvent,
    },
    /// The request is over, with any outcome.
    Ended { request: id::Request },
    /// The list of endpoints changed. Endpoints that it does not contain are
    /// gone.
    Endpoints(Vec<endpoint::Endpoint>),
    /// An attempt ended.
    Finished {
        attempt: id::Attempt,
        report: attempt::Report,
    },
    /// An endpoint reported its load.
    Load {
        endpoint: id::Endpoint,
        load: endpoint::LoadReport,
    },
    /// The peers' demand by team, which replaces all earlier reports.
    Peers(Vec<Demand>),
    /// New settings took effect.
    Policy(Arc<Policy>),
    /// The stage with this index is ready to run.
    Ready { request: id::Request, stage: usize },
    /// Time passed: sends queued stages that can be placed and warns of late
    /// queues. The timers that are due run before every event.
    Tick,
}
