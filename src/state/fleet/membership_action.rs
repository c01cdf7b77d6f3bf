//! Actions that the membership protocol requests.

use {crate::state::fleet::gossip::Message, std::net::SocketAddr};

/// An action to carry out.
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
    /// Answer a peer that asked whether this host reaches another one.
    Reached { reached: bool, token: u64 },
}
