//! What this host knows of one other host.

use {
    crate::state::{
        clock::Time,
        fleet::member::{Member, Phase},
        id,
    },
    std::time::Duration,
};

/// How long a peer stays suspect before it is taken to be gone.
pub const SUSPICION: Duration = Duration::from_secs(3);

/// One other host's newest record and what was observed of it here.
#[derive(Clone, Debug)]
pub struct Peer {
    /// When the record became `Gone`.
    gone_since: Option<Time>,
    /// When the host itself last sent a newer record.
    last_received: Option<Time>,
    member: Member,
    /// Start of the current suspicion.
    suspected_since: Option<Time>,
}

impl Peer {
    /// Builds the peer from the first record of it.
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

    /// Returns when the host itself was last heard.
    pub fn last_received(&self) -> Option<Time> {
        self.last_received
    }

    /// Returns whether the host is taken to be gone.
    pub fn is_gone(&self) -> bool {
        self.member.phase == Phase::Gone
    }

    /// Returns whether a suspicion is running.
    pub fn is_suspected(&self) -> bool {
        self.suspected_since.is_some()
    }

    /// Returns whether the host has been gone for at least `duration`.
    pub fn gone_for(&self, now: Time, duration: Duration) -> bool {
        self.gone_since
            .is_some_and(|gone_since| now.since(gone_since) >= duration)
    }

    /// Takes over a record if it is newer. Returns whether other hosts should
    /// hear of it.
    ///
    /// A record passed on by another host carries no demand, so the last known
    /// one is kept.
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

    /// Starts a suspicion because a probe of `incarnation`, sent at `sent`, had
    /// no answer. Returns whether other hosts should hear of it.
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

    /// Ends a suspicion that lasted long enough. Returns whether the host is
    /// now gone.
    pub fn expire(&mut self, now: Time) -> bool {
        let expired = self
            .suspected_since
            .is_some_and(|since| now.since(since) >= SUSPICION);

        if expired {
            self.gone_since = Some(now);
            self.member.phase = Phase::Gone;
            self.suspected_since = None;
        }

        expired
    }

    /// Starts a running suspicion again.
    pub fn restart_suspicion(&mut self, now: Time) {
        self.suspected_since = self.suspected_since.map(|_| now);
    }
}

/// Orders records of one host. Within an incarnation `Gone` is final; before
/// that the host's own clock tells which record is newer, so a host refutes a
/// suspicion with a later record of the same incarnation.
fn rank(member: &Member) -> (id::Incarnation, bool, Time, Phase) {
    let Member {
        clock,
        incarnation,
        phase,
        ..
    } = member;

    (*incarnation, *phase == Phase::Gone, *clock, *phase)
}
