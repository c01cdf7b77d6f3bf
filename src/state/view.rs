//! State shared between request threads and the parts of the control thread.

use {
    crate::state::{clock::Time, endpoint::Endpoint, fleet::member::Member, id, policy::Policy},
    std::sync::Arc,
};

/// An immutable snapshot of a host's state.
///
/// Each part of the control thread updates the fields that it owns; request
/// threads read a published copy.
#[derive(Clone, Debug)]
pub struct View {
    /// All known endpoints; owned by scheduling.
    pub endpoints: Arc<Vec<Endpoint>>,
    /// Time of the last answer of a peer to this incarnation; owned by membership.
    pub last_peer_answer: Option<Time>,
    /// Time of the last answer of the object API; owned by settings.
    pub last_store_answer: Option<Time>,
    /// This host's own record; owned by membership, except for `settings` (owned by
    /// settings), `outstanding` and `demand` (owned by scheduling).
    pub local: Member,
    /// Peers, excluding this host and gone peers; owned by membership.
    pub members: Arc<Vec<Member>>,
    /// The settings in force; owned by settings.
    pub policy: Arc<Policy>,
    /// Whether this host has ever had a peer; owned by membership. A host that
    /// never had one does not need an answer from a peer.
    pub had_peers: bool,
}

impl View {
    /// Returns the peer with this id, if it is known and not gone.
    pub fn member(&self, host: &id::Host) -> Option<&Member> {
        self.members.iter().find(|member| member.host == *host)
    }
}
