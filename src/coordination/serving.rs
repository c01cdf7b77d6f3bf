//! Serves callers' requests by the routes in force: the control thread with
//! its followers of the store, and the traffic thread with the requests.

pub mod answer;
pub mod attempt;
pub mod auxiliary;
pub mod control;
pub mod dispatch;
pub mod drain;
pub mod follower;
pub mod host;
pub mod ingress;
pub mod pools;
pub mod relay;
pub mod releases;
pub mod reload;
pub mod request;
pub mod retries;
pub mod stages;
pub mod stream;
pub mod traffic;
