//! Reports what the order by value does: log lines of demoted jobs, and metrics.

use {
    crate::{
        coordination::serving::host::Host,
        state::{
            clock::Time,
            id,
            serving::batch::{Demotion, Note},
        },
        transport::boot_clock,
    },
    std::{cell::RefCell, collections::HashMap, time::Duration},
};

/// Maximum number of lines about demoted jobs of one pool per interval.
const MAX_LINES: u32 = 10;

const INTERVAL: Duration = Duration::from_secs(1);

/// Bounds the lines about demoted jobs: the start of the current interval and the
/// lines within it, by pool.
#[derive(Default)]
pub struct Bound(RefCell<HashMap<id::Pool, (Time, u32)>>);

impl Bound {
    /// Counts a line and returns whether it is to be written.
    fn allows(&self, now: Time, service: &id::Pool) -> bool {
        let mut pools = self.0.borrow_mut();
        let (since, lines) = pools.entry(service.clone()).or_insert((now, 0));

        if now.since(*since) >= INTERVAL {
            (*since, *lines) = (now, 0);
        }

        *lines += 1;
        *lines <= MAX_LINES
    }
}

/// Logs and counts what has happened to the jobs of a pool.
pub fn report(host: &Host, service: &id::Pool, notes: Vec<Note>) {
    for note in notes {
        match note {
            Note::Begun { priority, wait } => {
                let priority = priority.to_string();
                let tags = [("service", service.as_str()), ("priority", &priority)];
                host.tally.time("job_wait_ms", wait, &tags);
            }
            Note::Demoted(demotion) => report_demotion(host, service, &demotion),
        }
    }
}

fn report_demotion(host: &Host, service: &id::Pool, demotion: &Demotion) {
    let priority = demotion.priority.to_string();
    let tags = [("service", service.as_str()), ("priority", &priority)];
    host.tally.count("jobs_demoted", &tags);

    if host.pools.demotion_lines.allows(boot_clock::now(), service) {
        log::info!(
            request = demotion.request.as_str(),
            service = service.as_str(),
            priority = demotion.priority,
            team = demotion.team.as_ref().map(id::Team::as_str),
            pieces = demotion.pieces,
            start_within_ms = demotion.start_within.as_millis(),
            left_ms = demotion.time_left.as_millis();
            "job demoted: not all jobs can be on time"
        );
    }
}
