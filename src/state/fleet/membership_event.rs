//! What the membership is told.

use {crate::state::fleet::gossip::Message, std::net::SocketAddr};

/// An event for the membership.
#[derive(Clone, Debug)]
pub enum Event {
    /// A probed host answered.
    Answered { message: Message, probe: u64 },
    /// A probe had no answer.
    Failed { probe: u64 },
    /// This host takes no new work from now on.
    Leave,
    /// The peer addresses that the host list shows; replaces what it showed
    /// before.
    Listed(Vec<SocketAddr>),
    /// A peer asks whether this host reaches `target`.
    ProbeFor { target: SocketAddr, token: u64 },
    /// A host that was asked to probe another one answered, or failed to.
    Relayed { probe: u64, reached: bool },
    /// Time passed.
    Tick,
}
