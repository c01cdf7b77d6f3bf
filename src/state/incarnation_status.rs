//! Compares a host's own membership record with the records that peers hold of
//! it.

use crate::state::{
    clock::Time,
    fleet::member::{Member, Phase},
    id,
};

/// Whether peers have acknowledged this host's incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncarnationStatus {
    /// A peer has answered a probe of the current incarnation.
    Acknowledged,
    /// Peers considered this host gone, and none has answered since.
    PresumedGone,
    /// The process is new and no peer has answered yet.
    New,
}

/// The reaction to a record of this host received from a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Correction {
    /// The record needs no correction.
    None,
    /// Peers suspect this host: spread a newer record.
    Refute,
    /// Peers hold a record with a higher incarnation, or consider this one gone:
    /// switch to this higher incarnation.
    Renew(id::Incarnation),
    /// Another process has replaced this one.
    Replaced,
}

/// Compares this host's own record with one received from a peer.
///
/// A higher incarnation at the same address belongs to an earlier process of
/// this host whose wall clock was ahead. At another address it belongs to a
/// process that replaced this one, provided that a peer has ever answered this
/// process (`established`).
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

/// Returns the record of itself that this host sends to peers.
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
