//! persimmoncleat serves multi-stage model pipelines between callers and
//! endpoints.
//!
//! The layers, from the outside in: [`transport`] moves bytes, [`protocol`]
//! types them, [`coordination`] connects hosts and drives requests, and
//! [`state`] decides. `docs/design.md` gives the whole design.

pub mod coordination;
pub mod protocol;
pub mod state;
pub mod transport;
