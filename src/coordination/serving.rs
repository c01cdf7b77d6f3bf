//! Serves callers' requests according to the configured routes. The control
//! thread follows the store and the membership of the fleet; the traffic
//! thread handles the requests.

pub mod answer;
pub mod attempt;
pub mod auxiliary;
pub mod backlogs;
pub mod balancing;
pub mod callers;
pub mod control;
pub mod crashes;
pub mod demotions;
pub mod dispatch;
pub mod drain;
pub mod expectation;
pub mod explain;
pub mod follower;
pub mod host;
pub mod ingress;
pub mod loads;
pub mod pools;
pub mod relay;
pub mod releases;
pub mod reload;
pub mod request;
pub mod retries;
pub mod stages;
pub mod stream;
pub mod timeline;
pub mod traffic;
