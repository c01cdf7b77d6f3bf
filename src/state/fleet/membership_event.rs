//! Events that the membership protocol handles.

use {crate::state::fleet::gossip::Message, std::net::SocketAddr};

/// An event of the membership protocol.
#[derive(Clone, Debug)]
pub enum Event {
    /// A probed host answered.
    Answered { message: Message, probe: u64 },
    /// A probe had no answer.
    Failed { probe: u64 },
    /// This host stops accepting new work.
    Leave,
    /// The peer addresses in the host list. Replaces those of the last event.
    Listed(Vec<SocketAddr>),
    /// A peer asks whether this host reaches `target`.
    ProbeFor { target: SocketAddr, token: u64 },
    /// A host that was asked to probe another one answered or failed to answer.
    Relayed { probe: u64, reached: bool },
    /// Time passed.
    Tick,
}
