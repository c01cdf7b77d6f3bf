//! Membership: which hosts are alive, and the records that they exchange.

pub mod gossip;
pub mod hints;
pub mod member;
pub mod membership;
pub mod membership_action;
pub mod membership_event;
pub mod peer;
pub mod peers;
pub mod pending_updates;
pub mod probes;
pub mod record;
pub mod watchers;
