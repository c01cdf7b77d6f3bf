//! Host of a [`Simulation`](crate::state::replay::claims_simulation::Simulation).

use {
    crate::state::{
        claims::home,
        claims::refusal::Outcome,
        claims::witness::{Subject, Witness},
        clock::Time,
        fleet::member::{Member, Phase},
        id,
        replay::claims_network::Content,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{Ipv4Addr, SocketAddr},
    },
};

/// State of a ticket at its home.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Record {
    Answered,
    AwaitingPermit { nonce: u64 },
    Closed(Outcome),
    Permitted,
}

impl Record {
    fn in_progress(self) -> bool {
        matches!(self, Self::AwaitingPermit { .. } | Self::Permitted)
    }
}

/// Simulated host with its clock, records and process state.
#[derive(Debug)]
pub struct Host {
    pub clock: Time,
    pub frozen: bool,
    /// Incarnation and clock of each peer, as last received from it.
    pub last_received: BTreeMap<usize, (id::Incarnation, Time)>,
    pub incarnation: id::Incarnation,
    pub records: BTreeMap<usize, Record>,
    /// Tickets whose void is in progress.
    pub resolving: BTreeSet<usize>,
    pub up: bool,
    witness: Witness,
}

impl Host {
    /// Builds host number `host` of a fleet in which each host has received the
    /// state of all others.
    pub fn new(host: usize, hosts: usize, witness_records: usize) -> Self {
        let incarnation = id::Incarnation(1);

        Self {
            clock: Time::ZERO,
            frozen: false,
            last_received: (0..hosts)
                .filter(|peer| *peer != host)
                .map(|peer| (peer, (incarnation, Time::ZERO)))
                .collect(),
            incarnation,
            records: BTreeMap::new(),
            resolving: BTreeSet::new(),
            up: true,
            witness: Witness::new(name(host), incarnation, witness_records),
        }
    }

    /// Returns whether the process is up and not frozen.
    pub fn active(&self) -> bool {
        self.up && !self.frozen
    }

    /// Changes the incarnation without a restart of the process.
    pub fn change_incarnation(&mut self, incarnation: id::Incarnation) {
        self.incarnation = incarnation;
        self.witness.restart(incarnation);
    }

    /// Starts a new process with a new incarnation.
    pub fn restart(&mut self, incarnation: id::Incarnation) {
        self.change_incarnation(incarnation);
        self.clock = Time::ZERO;
        self.frozen = false;
        self.records.clear();
        self.resolving.clear();
        self.up = true;
    }

    /// Removes records past their retention.
    pub fn expire(&mut self, issued: impl Fn(usize) -> Time) {
        let now = self.clock;
        self.witness.expire(now);
        self.records.retain(|ticket, record| {
            record.in_progress() || now.since(issued(*ticket)) < home::RETENTION
        });
    }

    /// Replies to a permit or a void as witness.
    pub fn answer_as_witness(&mut self, request: Content, subject: &Subject) -> Content {
        match request {
            Content::Permit { nonce } => Content::PermitReply {
                nonce,
                answer: self.witness.permit(self.clock, subject, nonce),
            },
            _ => Content::VoidReply(self.witness.void(self.clock, subject)),
        }
    }
}

/// Returns the id of host number `host`.
pub fn name(host: usize) -> id::Host {
    format!("h{host}").into()
}

/// Returns the membership entry of host number `host` on a host that considers
/// it alive.
pub fn member(host: usize, incarnation: id::Incarnation) -> Member {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));

    Member {
        caller_address: address,
        capacity: 1,
        clock: Time::ZERO,
        demand: BTreeMap::new(),
        domain: "".into(),
        endpoints: 0,
        era: 0,
        evacuations: 0,
        host: name(host),
        incarnation,
        outstanding: 0,
        peer_address: address,
        phase: Phase::Alive,
        settings: 0,
    }
}
