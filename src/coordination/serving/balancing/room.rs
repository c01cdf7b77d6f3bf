//! Logs and metrics of the room and the speeds of engines.

use {
    crate::{
        coordination::serving::host::Host,
        state::{
            clock::Time,
            id,
            serving::balance::{Answer, Balancer, Choice, Prompt},
        },
        transport::boot_clock,
    },
    std::{cell::RefCell, collections::HashMap, time::Duration},
};

/// Minimum time between two log lines of a kind about the engines of a service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// When a line of a kind about the engines of each service was last logged.
#[derive(Default)]
pub(super) struct Logged(RefCell<HashMap<id::Pool, Time>>);

impl Logged {
    /// Returns whether a line may be logged now.
    pub(super) fn is_due(&self, service: &id::Pool) -> bool {
        let now = boot_clock::now();
        let mut logged = self.0.borrow_mut();
        let is_due = (logged.get(service)).is_none_or(|last| now.since(*last) >= LOG_INTERVAL);

        if is_due {
            logged.insert(service.clone(), now);
        }

        is_due
    }
}

/// Counts and logs the answer to a host that needs an engine.
pub(super) fn observe(host: &Host, balancer: &mut Balancer, prompt: &Prompt, answer: &Answer) {
    let service = prompt.service.as_str();
    let tags = [("service", service)];

    match answer.choice {
        Choice::Refused(_) => host.tally.count("prompts_refused", &tags),
        Choice::Wait(_) => host.tally.count("prompt_waits", &tags),
        Choice::Engine(_) | Choice::Later { .. } | Choice::NoEngine | Choice::Quarantined => {}
    }

    for change in balancer.take_speed_changes() {
        host.tally.count("engine_speed_changes", &tags);
        log::info!(
            endpoint = change.endpoint.as_str(),
            service = service,
            slowness = change.slowness;
            "engine speed changed"
        );
    }

    if !matches!(answer.choice, Choice::Refused(_) | Choice::Wait(_)) {
        return;
    }

    host.tally.time("engine_backlog_ms", answer.backlog, &tags);

    if !host.balancing.logged.is_due(&prompt.service) {
        return;
    }

    if let Some(occupancy) = balancer.occupancy() {
        host.tally
            .sample("engines_full", occupancy.full as u64, &tags);
        host.tally
            .sample("prompts_waiting", occupancy.waiting as u64, &tags);
        log::info!(
            service = service,
            engines = occupancy.engines,
            full = occupancy.full,
            requests = occupancy.held,
            waiting = occupancy.waiting,
            backlog_ms = occupancy.backlog.as_millis();
            "prompts wait for room at engines"
        );
    }
}
