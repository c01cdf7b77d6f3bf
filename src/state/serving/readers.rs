//! Selects the hosts that read the store.
//!
//! The store's rate limits grow more slowly than the fleet, and every call has
//! its price, so only a few hosts read it and the others follow them. When the
//! readers fail, more and more hosts read the store themselves: it may turn away
//! any group of hosts, among them all readers. While hosts disagree about which
//! hosts are alive, there are temporarily more readers. This only costs extra
//! calls.

use {
    crate::state::{fleet::member::Member, id, rendezvous},
    std::{cmp::Reverse, collections::BTreeSet, net::SocketAddr, time::Duration},
};

/// Number of hosts that read the store in a large fleet.
pub const READERS: usize = 4;

/// Largest fleet in which every host reads the store.
pub const SMALL_FLEET: usize = 12;

/// Factor by which the number of hosts that may read the store grows after as
/// many failures as there are readers.
const GROWTH: usize = 3;

/// Pause after a failure to follow a reader, while another one is left.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause after further failures, while the first hosts that replace the readers
/// are asked.
const REPLACEMENT_PAUSE: Duration = Duration::from_millis(400);

/// Pause after failures of these, too. An outage of the store fails all hosts that
/// read it, and the number of calls must not follow the size of the fleet.
const OUTAGE_PAUSE: Duration = Duration::from_millis(2000);

/// Interval at which a host that reads the store in place of the readers asks
/// whether one of them is up to date again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// How a host stays up to date with the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Follow this host.
    Follow(SocketAddr),
    /// Read the store directly.
    Read,
    /// Read the store directly until this reader is up to date again.
    ReadFor(SocketAddr),
}

/// A host that may read the store.
#[derive(Clone, Debug)]
struct Candidate {
    peer_address: SocketAddr,
    /// Order in which the local host turns to the candidates, highest first.
    preference: f64,
}

/// The live hosts in the order in which they become readers.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    candidates: Vec<Candidate>,
    /// Position of the local host. A host that is leaving has none.
    local: Option<usize>,
}

impl Ranking {
    /// Ranks the members that are alive, including the local host unless it is
    /// leaving. The largest hosts come first, since a reader sends every change
    /// to all of its followers and a configuration may take some hundred
    /// kilobytes. The first of them are in different failure domains.
    pub fn new<'a>(local: &id::Host, alive: impl Iterator<Item = &'a Member>) -> Self {
        let mut members = alive.collect::<Vec<&Member>>();
        members.sort_by_cached_key(|member| {
            let weight = rendezvous::weight(&"store reader", &member.host.as_str());
            Reverse((member.capacity, weight))
        });
        let largest = members.first().map_or(0, |member| member.capacity);
        let mut domains = BTreeSet::new();
        let (mut ranked, others) = members.into_iter().partition::<Vec<&Member>, _>(|member| {
            member.capacity == largest && domains.insert(&member.domain)
        });
        ranked.extend(others);

        Self {
            candidates: ranked
                .iter()
                .map(|member| Candidate {
                    peer_address: member.peer_address,
                    preference: rendezvous::score(
                        &local.as_str(),
                        &member.host.as_str(),
                        member.capacity,
                    ),
                })
                .collect(),
            local: ranked.iter().position(|member| member.host == *local),
        }
    }

    /// Returns the role of the local host after a number of consecutive failures
    /// to follow another host.
    pub fn role(&self, failures: u32) -> Role {
        let failures = failures as usize;
        let width = width(failures);
        let is_within = |width| self.local.is_some_and(|position| position < width);

        if !self.has_followers() || is_within(READERS) {
            Role::Read
        } else if is_within(width) {
            Role::ReadFor(self.preferred(READERS, failures))
        } else {
            Role::Follow(self.preferred(width, failures))
        }
    }

    /// Returns whether the fleet is large enough for hosts to follow others.
    pub fn has_followers(&self) -> bool {
        self.candidates.len() > SMALL_FLEET
    }

    /// Returns the address of the candidate to turn to after a number of
    /// failures, among the first `width`: the readers, then those that replace
    /// them, in proportion to their capacity.
    fn preferred(&self, width: usize, failures: usize) -> SocketAddr {
        let mut candidates = self.candidates.iter().take(width).collect::<Vec<_>>();
        let readers = candidates.len().min(READERS);
        let (readers, replacements) = candidates.split_at_mut(readers);

        for part in [readers, replacements] {
            part.sort_by(|one, other| other.preference.total_cmp(&one.preference));
        }

        candidates[failures % candidates.len()].peer_address
    }
}

/// Returns the pause before another host is asked for changes, after a number
/// of consecutive failures.
pub const fn pause(role: Role, failures: u32) -> Duration {
    let rounds = failures as usize / READERS;

    match role {
        Role::Follow(_) if failures == 0 => Duration::ZERO,
        // Another reader probably answers, which ends the calls to the store.
        Role::ReadFor(_) if failures > 0 && rounds == 0 => RETRY_PAUSE,
        Role::Read | Role::ReadFor(_) => RECHECK_INTERVAL,
        Role::Follow(_) => match rounds {
            0 => RETRY_PAUSE,
            1 => REPLACEMENT_PAUSE,
            _ => OUTAGE_PAUSE,
        },
    }
}

/// Returns the number of hosts, in the order of the ranking, that read the store
/// after a number of failures.
fn width(failures: usize) -> usize {
    let rounds = u32::try_from(failures / READERS).unwrap_or(u32::MAX);
    READERS.saturating_mul(GROWTH.saturating_pow(rounds))
}
