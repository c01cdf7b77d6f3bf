//! The state of one other host, as observed by this host.

use {
    crate::state::{
        clock::Time,
        fleet::member::{Member, Phase},
        id,
    },
    std::time::Duration,
};

/// Time for which a peer stays suspect before it is declared gone.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// The newest record of another host and the local observations about it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// When the record became `Gone`.
    gone_since: Option<Time>,
    /// When the host itself last sent a newer record, as opposed to relayed
    /// ones.
    last_received: Option<Time>,
    member: Member,
    /// Start of the current suspicion.
    suspected_since: Option<Time>,
}

impl Peer {
    /// Creates a peer from its first record. `direct` means that the peer itself
    /// sent it.
    pub fn new(now: Time, member: Member, direct: bool) -> Self {
        Self {
            gone_since: None,
            last_received: direct.then_some(now),
            suspected_since: (member.phase == Phase::Suspect).then_some(now),
            member,
        }
    }

    /// Returns the newest record.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Returns when the host itself last sent a newer record.
    pub fn last_received(&self) -> Option<Time> {
        self.last_received
    }

    /// Returns whether the host has been declared gone.
    pub fn is_gone(&self) -> bool {
        self.member.phase == Phase::Gone
    }

    /// Returns whether the host is suspected.
    pub fn is_suspected(&self) -> bool {
        self.suspected_since.is_some()
    }

    /// Returns whether the host has been gone for at least `duration`.
    pub fn gone_for(&self, now: Time, duration: Duration) -> bool {
        self.gone_since
            .is_some_and(|gone_since| now.since(gone_since) >= duration)
    }

    /// Replaces the record if the given one is newer. Returns whether the change
    /// should be disseminated.
    ///
    /// A record relayed by another host carries no demand, so the current demand
    /// is kept.
    pub fn merge(&mut self, now: Time, mut record: Member, direct: bool) -> bool {
        if rank(&record) <= rank(&self.member) {
            return false;
        }

        let new_incarnation = record.incarnation != self.member.incarnation;
        let changed = new_incarnation || record.phase != self.member.phase;

        if direct {
            self.last_received = Some(now);
        } else {
            record.demand = std::mem::take(&mut self.member.demand);
        }

        self.suspected_since = match record.phase {
            Phase::Suspect => self
                .suspected_since
                .filter(|_| !new_incarnation)
                .or(Some(now)),
            Phase::Alive | Phase::Gone | Phase::Leaving => None,
        };
        self.gone_since = (record.phase == Phase::Gone).then_some(now);
        self.member = record;
        changed
    }

    /// Suspects the host because a probe of `incarnation`, sent at `sent`, had no
    /// answer. Returns whether the suspicion should be disseminated.
    pub fn suspect(&mut self, now: Time, sent: Time, incarnation: id::Incarnation) -> bool {
        let outdated = incarnation != self.member.incarnation
            || self
                .last_received
                .is_some_and(|last_received| last_received > sent)
            || self.is_gone()
            || self.is_suspected();

        if outdated {
            return false;
        }

        self.suspected_since = Some(now);

        if self.member.phase == Phase::Alive {
            self.member.phase = Phase::Suspect;
        }

        self.member.phase == Phase::Suspect
    }

    /// Declares the host gone if its suspicion has expired. Returns whether it
    /// has.
    pub fn expire(&mut self, now: Time) -> bool {
        let expired = self
            .suspected_since
            .is_some_and(|since| now.since(since) >= SUSPICION_TIMEOUT);

        if expired {
            self.gone_since = Some(now);
            self.member.phase = Phase::Gone;
            self.suspected_since = None;
        }

        expired
    }

    /// Restarts the timer of a suspicion.
    pub fn restart_suspicion(&mut self, now: Time) {
        self.suspected_since = self.suspected_since.map(|_| now);
    }
}

/// Returns the sort key that orders the records of one host, newest last. Within
/// an incarnation `Gone` is final. Otherwise the host's own clock decides which
/// record is newer, so a host refutes a suspicion with a later record of the same
/// incarnation.
fn rank(member: &Member) -> (id::Incarnation, bool, Time, Phase) {
    let Member {
        clock,
        incarnation,
        phase,
        ..
    } = member;

    (*incarnation, *phase == Phase::Gone, *clock, *phase)
}
