//! Views for tests.

use {
    persimmoncleat::state::{fleet::member::Member, view::View},
    std::sync::Arc,
};

/// Builds the view of one host.
pub fn view(local: Member, members: Vec<Member>) -> View {
    View {
        endpoints: Arc::default(),
        had_peers: !members.is_empty(),
        last_peer_answer: None,
        last_store_answer: None,
        local,
        members: Arc::new(members),
        policy: Arc::default(),
    }
}
