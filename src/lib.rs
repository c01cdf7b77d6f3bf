//! persimmoncleat runs multi-stage model pipelines on behalf of callers and
//! dispatches their stages to endpoints.
//!
//! The layers, from the outside in: [`transport`] sends and receives bytes,
//! [`protocol`] defines the message types, [`coordination`] connects hosts and
//! drives requests, and [`state`] contains the decision logic. See
//! `docs/design.md` for the design.

pub mod coordination;
pub mod protocol;
pub mod state;
pub mod transport;
