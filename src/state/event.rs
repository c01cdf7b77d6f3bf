//! What the scheduler is told.

use {
    crate::state::{attempt, endpoint, id, policy::Policy, request::Request},
    std::{collections::BTreeMap, sync::Arc},
};

/// Requests in progress by team, as one peer reports them.
pub type Demand = BTreeMap<id::Team, u32>;

/// An event for the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new request asks for admission.
    Arrived(Request),
    /// An endpoint's prefix cache changed.
    Cache {
        endpoint: id::Endpoint,
        event: endpoint::CacheEvent,
    },
    /// The request is over, whatever its outcome.
    Ended { request: id::Request },
    /// The list of endpoints changed; those not named are gone.
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
    /// Peers reported their demand by team; replaces what was known.
    Peers(Vec<Demand>),
    /// New settings are in force.
    Policy(Arc<Policy>),
    /// The request's stage with this index is to run.
    Ready { request: id::Request, stage: usize },
    /// Time passed.
    Tick,
}
