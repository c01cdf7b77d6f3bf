//! What the membership wants done.

use {crate::state::fleet::gossip::Message, std::net::SocketAddr};

/// What to do next.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a probe.
    Probe {
        address: SocketAddr,
        message: Message,
        probe: u64,
    },
    /// Ask the host at `address` to probe `target`.
    ProbeFor {
        address: SocketAddr,
        probe: u64,
        target: SocketAddr,
    },
    /// Answer the peer that asked whether this host reaches another one.
    Reached { reached: bool, token: u64 },
}
