//! The deployment that is measured.

use {
    crate::caller::{Caller, Outcome, body},
    stand_ins::{endpoint::Kind, fleet::Fleet, server::ANY_PORT},
    std::env,
};

/// Endpoints of the pool `encode`. With 8 slots each they have a slot for
/// each of 128 callers, so that the endpoints do not limit a host.
const ENCODERS: usize = 16;

/// Calls before a measurement.
const WARM_UP: usize = 20;

/// Names another daemon to measure, to compare two builds.
const DAEMON: &str = "PERSIMMONCLEATD";

/// Returns the path of the daemon.
pub fn daemon() -> String {
    env::var(DAEMON).unwrap_or_else(|_| env!("CARGO_BIN_EXE_persimmoncleatd").into())
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

/// Starts hosts in a platform and waits until they are ready.
pub fn add_hosts(fleet: &mut Fleet, hosts: usize) {
    for number in 1..=hosts {
        fleet.start_host(&format!("h{number}"), &format!("d{number}"));
    }

    fleet.wait_ready();
}

/// Makes a few calls, so that connections are open and estimates known.
pub fn warm_up(caller: &Caller, pipeline: &str) {
    for _ in 0..WARM_UP {
        assert_eq!(caller.post(pipeline, &body()), Outcome::Answered);
    }
}
