//! Starts the deployment that is measured.

use {
    crate::caller::{Caller, Outcome, body},
    stand_ins::{endpoint::Kind, fleet::Fleet, server::ANY_PORT},
    std::env,
};

/// Number of endpoints of the pool `encode`. With 8 slots each they have a slot
/// for each of 128 callers, so that the endpoints don't limit a host.
const ENCODERS: usize = 16;

/// Number of calls before a measurement.
const WARM_UP_CALLS: usize = 20;

/// Environment variable with the path of another build of the daemon to
/// measure.
const DAEMON_VARIABLE: &str = "PERSIMMONCLEATD";

/// Returns the path of the daemon.
pub fn daemon() -> String {
    env::var(DAEMON_VARIABLE).unwrap_or_else(|_| env!("CARGO_BIN_EXE_persimmoncleatd").into())
}

/// Starts hosts whose pipeline `fast` has one stage that takes 5 ms.
pub fn start(hosts: usize) -> Fleet {
    let mut fleet = Fleet::without_hosts(&daemon());
    fleet.change_settings(&[("pipelines/fast", "stages", "encode")]);

    for number in 3..=ENCODERS {
        fleet.start_endpoint(&format!("encode-{number}"), "encode", Kind::Pool, ANY_PORT);
    }

    add_hosts(&mut fleet, hosts);
    fleet
}

/// Starts hosts and waits until they are ready.
pub fn add_hosts(fleet: &mut Fleet, hosts: usize) {
    for number in 1..=hosts {
        fleet.start_host(&format!("h{number}"), &format!("d{number}"));
    }

    fleet.wait_ready();
}

/// Makes [`WARM_UP_CALLS`] calls, so that connections are open and the host has
/// estimates of service times.
pub fn warm_up(caller: &Caller, pipeline: &str) {
    for _ in 0..WARM_UP_CALLS {
        assert_eq!(caller.post(pipeline, &body()), Outcome::Answered);
    }
}
