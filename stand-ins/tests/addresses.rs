//! Hosts of one test process must not share their addresses.

use {
    stand_ins::platform::host::Addresses,
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Guards against hosts that receive each other's requests because more of them are
/// started than a byte can number.
#[test]
fn hosts_have_addresses_of_their_own() {
    const HOSTS: usize = 1000;

    let callers = (0..HOSTS).map(|_| Addresses::new().callers);
    assert_eq!(callers.collect::<BTreeSet<SocketAddr>>().len(), HOSTS);
}
