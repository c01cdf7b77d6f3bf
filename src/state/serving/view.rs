//! What the traffic thread knows of the control state.

use {
    crate::state::{
        clock::Time,
        fleet::member::{Member, Phase},
        serving::{config::Config, roster::Roster},
    },
    std::sync::Arc,
};

/// An immutable snapshot of the control state.
#[derive(Clone, Debug)]
pub struct View {
    pub config: Option<Arc<Config>>,
    /// When the configuration came into force here.
    pub config_since: Time,
    /// Whether this host takes no new work.
    pub leaving: bool,
    pub local: Member,
    /// The other hosts that are not gone.
    pub members: Arc<Vec<Member>>,
    pub roster: Arc<Roster>,
    /// Whether the endpoints were listed at all.
    pub roster_loaded: bool,
}

impl View {
    /// Returns whether this host takes callers' requests.
    pub fn is_ready(&self) -> bool {
        !self.leaving && self.config.is_some() && self.roster_loaded
    }

    /// Returns this host and the others that are alive.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        let others = self.members.iter();
        let others = others.filter(|member| member.phase == Phase::Alive);
        let local = (!self.leaving).then_some(&self.local);
        others.chain(local)
    }

    /// Returns the number of hosts that may send work to endpoints.
    pub fn hosts(&self) -> usize {
        self.members.len() + 1
    }
}
