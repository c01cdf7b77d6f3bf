//! Fleet members for the tests.

use {
    persimmoncleat::state::{
        clock::Time,
        fleet::member::{Member, Phase},
        id::Incarnation,
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Builds a live member whose peer port is 100 above its caller port.
pub fn member(host: &str, domain: &str, port: u16) -> Member {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));

    Member {
        caller_address: address(port),
        capacity: 1,
        clock: Time::from_millis(u64::from(port)),
        demand: BTreeMap::new(),
        domain: domain.into(),
        endpoints: 0,
        era: 0,
        evacuations: 0,
        host: host.into(),
        incarnation: Incarnation(1),
        outstanding: 0,
        peer_address: address(port + 100),
        phase: Phase::Alive,
        settings: 0,
    }
}
