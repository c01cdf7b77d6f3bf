//! The facts that request threads and the parts of the control thread share.

use {
    crate::state::{clock::Time, endpoint::Endpoint, fleet::member::Member, id, policy::Policy},
    std::sync::Arc,
};

/// An immutable snapshot of what this host knows.
///
/// Each part of the control thread writes the fields it owns; request threads
/// read a published copy.
#[derive(Clone, Debug)]
pub struct View {
    /// Every endpoint known here; owned by scheduling.
    pub endpoints: Arc<Vec<Endpoint>>,
    /// Last answer of a peer to this incarnation; owned by membership.
    pub last_peer_answer: Option<Time>,
    /// Last answer of the object API; owned by settings.
    pub last_store_answer: Option<Time>,
    /// This host's own record; its owner is membership, except for `settings`
    /// (settings), `outstanding` and `demand` (scheduling).
    pub local: Member,
    /// Peers without this host, gone ones left out; owned by membership.
    pub members: Arc<Vec<Member>>,
    /// Settings in force; owned by settings.
    pub policy: Arc<Policy>,
    /// Whether peers were ever known; owned by membership. A host that never
    /// had a peer needs no answer from one.
    pub had_peers: bool,
}

impl View {
    /// Returns the member with this id, if it is known and not gone.
    pub fn member(&self, host: &id::Host) -> Option<&Member> {
        self.members.iter().find(|member| member.host == *host)
    }
}
