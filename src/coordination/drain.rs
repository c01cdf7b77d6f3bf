//! Graceful shutdown: drains the host before the process ends.

use {
    crate::{
        coordination::{control, gateway::Gateway, membership},
        state::{clock::Time, fleet::member::Phase},
        transport::boot_clock,
    },
    std::{thread, time::Duration},
};

/// Interval between checks for work in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time within which the leaving phase of this host reaches all peers: two probe
/// periods.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(1);

/// Time after the latest deadline in which callers may still read answers.
const ANSWER_MARGIN: Duration = Duration::from_secs(10);

/// Starts the drain. This host accepts no new work from now on.
pub fn leave(gateway: &Gateway) {
    log::info!(
        "leaving with {} requests in progress",
        gateway.records.running()
    );
    let _ = gateway
        .control
        .send(control::Event::Membership(membership::Event::Leave));
}

/// Waits until the drain has started and is complete: no request is in
/// progress, no answer is being written, and both `ANNOUNCEMENT_TIME` and the
/// latest deadline of the requests that were in progress at its start have
/// passed. Answers that are still being written `ANSWER_MARGIN` after that are
/// abandoned.
pub fn wait(gateway: &Gateway, answering: impl Fn() -> usize) {
    while gateway.published.get().local.phase != Phase::Leaving {
        thread::sleep(POLL_INTERVAL);
    }

    let end = latest_deadline(gateway).max(boot_clock::now() + ANNOUNCEMENT_TIME);

    while boot_clock::now() < end || gateway.records.running() > 0 {
        thread::sleep(POLL_INTERVAL);
    }

    while answering() > 0 && boot_clock::now() < end + ANSWER_MARGIN {
        thread::sleep(POLL_INTERVAL);
    }
}

/// Logs the requests that are abandoned because a second signal ends the
/// process.
pub fn log_abandoned(gateway: &Gateway) {
    for (request, _) in gateway.records.unfinished() {
        log::error!(request = request.as_str(); "request abandoned: a second signal ends the process");
    }
}

fn latest_deadline(gateway: &Gateway) -> Time {
    gateway
        .records
        .unfinished()
        .into_iter()
        .map(|(_, deadline)| deadline)
        .max()
        .unwrap_or_default()
}
