//! How a host stands with its peers.

use crate::state::{
    clock::Time,
    fleet::member::{Member, Phase},
    id,
};

/// Whether peers know this host's incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncarnationStatus {
    /// A peer has answered to the current incarnation.
    Acknowledged,
    /// Peers took this host to be gone, and none has answered since.
    PresumedGone,
    /// The process is new and no peer has answered.
    New,
}

/// What to do about a record of this host itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Correction {
    /// The record agrees with this host.
    None,
    /// Peers suspect this host: pass on a newer record.
    Refute,
    /// Peers know a higher incarnation or take this one to be gone: take a
    /// higher one.
    Renew(id::Incarnation),
    /// Another process took this host's place.
    Replaced,
}

/// Compares this host's own record with one that a peer passed on.
///
/// A higher incarnation with the same address is an earlier life of this host
/// whose wall clock was ahead. With another address, and when `established` says
/// that a peer has ever answered to this process, it is a process that took
/// this one's place.
pub fn correction(local: &Member, established: bool, record: &Member) -> Correction {
    let higher = record.incarnation > local.incarnation;
    let same = record.incarnation == local.incarnation;

    if higher && established && record.peer_address != local.peer_address {
        Correction::Replaced
    } else if higher || same && record.phase == Phase::Gone {
        Correction::Renew(id::Incarnation(record.incarnation.0 + 1))
    } else if same && record.phase == Phase::Suspect {
        Correction::Refute
    } else {
        Correction::None
    }
}

/// Returns the record that this host sends of itself.
pub fn record(local: &Member, now: Time) -> Member {
    let phase = match local.phase {
        Phase::Leaving => Phase::Leaving,
        Phase::Alive | Phase::Gone | Phase::Suspect => Phase::Alive,
    };

    Member {
        clock: now,
        phase,
        ..local.clone()
    }
}
