//! The planned stop.

use {
    crate::{
        coordination::{control, gateway::Gateway, membership},
        state::{clock::Time, fleet::member::Phase},
        transport::boot_clock,
    },
    std::{thread, time::Duration},
};

/// Pause between two looks at what is left.
const PAUSE: Duration = Duration::from_millis(20);

/// Time in which peers learn that this host leaves: two probe periods.
const ANNOUNCEMENT: Duration = Duration::from_secs(1);

/// Time beyond the longest deadline in which callers may still read answers.
const MARGIN: Duration = Duration::from_secs(10);

/// Starts the planned stop: this host takes no new work from now on.
pub fn leave(gateway: &Gateway) {
    log::info!(
        "leaving with {} requests in progress",
        gateway.records.running()
    );
    let _ = gateway
        .control
        .send(control::Event::Membership(membership::Event::Leave));
}

/// Returns once the planned stop has begun and nothing is left to do: no
/// request in progress, no answer being written, and the longest deadline of
/// the requests that were in progress is over.
pub fn wait(gateway: &Gateway, answering: impl Fn() -> usize) {
    while gateway.published.get().local.phase != Phase::Leaving {
        thread::sleep(PAUSE);
    }

    let end = longest(gateway).max(boot_clock::now() + ANNOUNCEMENT);

    while boot_clock::now() < end || gateway.records.running() > 0 {
        thread::sleep(PAUSE);
    }

    while answering() > 0 && boot_clock::now() < end + MARGIN {
        thread::sleep(PAUSE);
    }
}

/// Logs the requests that a second signal abandons.
pub fn log_abandoned(gateway: &Gateway) {
    for (request, _) in gateway.records.unfinished() {
        log::error!(request = request.as_str(); "abandoned: a second signal ends the process");
    }
}

fn longest(gateway: &Gateway) -> Time {
    gateway
        .records
        .unfinished()
        .into_iter()
        .map(|(_, deadline)| deadline)
        .max()
        .unwrap_or_default()
}
