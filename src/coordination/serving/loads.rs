//! Takes note of the load that endpoints report in their answers.

use {
    crate::{
        coordination::serving::host::Host,
        protocol::adapter::{Answer, Fault},
        state::{
            clock::Time,
            id,
            serving::{
                pace::{Load, SLOW_PACE},
                roster::{Entry, Roster},
            },
        },
        transport::boot_clock,
    },
    std::{
        cell::{Cell, RefCell},
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// Maximum number of log lines a second about changes of a pace. Noisy neighbours come
/// and go many times a second.
const MAX_LINES: u32 = 5;

/// Interval in which that many lines are logged.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// What is known of the endpoints that report their load.
#[derive(Debug, Default)]
pub struct Loads {
    /// Endpoints whose invalid report was logged.
    faulty: RefCell<HashSet<id::Endpoint>>,
    /// When the current interval of log lines began, and the number of its lines.
    lines: Cell<(Time, u32)>,
    /// Whether an endpoint's last report had a slow pace.
    slow: RefCell<HashMap<id::Endpoint, bool>>,
}

impl Loads {
    /// Returns whether another line may be logged now, and counts it.
    fn may_log(&self, now: Time) -> bool {
        let (began, lines) = self.lines.get();
        let is_over = now.since(began) >= LINE_INTERVAL;
        let (began, lines) = if is_over { (now, 0) } else { (began, lines) };
        self.lines.set((began, lines + 1));
        lines < MAX_LINES
    }

    /// Forgets the endpoints that are no longer listed.
    pub fn retain(&self, roster: &Roster) {
        let is_listed = |endpoint: &id::Endpoint| roster.get(endpoint).is_some();
        self.faulty.borrow_mut().retain(is_listed);
        self.slow
            .borrow_mut()
            .retain(|endpoint, _| is_listed(endpoint));
    }
}

/// Records the load that an endpoint reports in an answer, if the settings enable it.
pub fn note(host: &Host, entry: &Entry, answer: &Answer) {
    if !host.settings().load_reports {
        return;
    }

    match &answer.load {
        None => {}
        Some(Ok(load)) => record(host, entry, *load),
        Some(Err(fault)) => note_fault(host, entry, fault),
    }
}

/// Forgets all reports if the settings no longer enable them.
pub fn follow_settings(host: &Host) {
    if !host.settings().load_reports {
        host.pools.forget_loads();
        host.placement.borrow_mut().forget_loads();
    }
}

fn record(host: &Host, entry: &Entry, load: Load) {
    let now = boot_clock::now();
    host.pools.record_load(now, entry, load);
    host.placement.borrow_mut().record_load(now, entry, load);
    note_pace(host, now, entry, load);
}

/// Notes a change between a slow and the usual pace.
fn note_pace(host: &Host, now: Time, entry: &Entry, load: Load) {
    let Some(pace) = load.pace else {
        return;
    };
    let is_slow = pace >= SLOW_PACE;
    let mut slow = host.loads.slow.borrow_mut();
    let was_slow = slow.insert(entry.endpoint.clone(), is_slow);

    if was_slow.unwrap_or(false) == is_slow {
        return;
    }

    let state = if is_slow { "slow" } else { "usual" };
    host.tally.count(
        "endpoint_paces",
        &[("service", entry.service.as_str()), ("state", state)],
    );

    if host.loads.may_log(now) {
        log::info!(
            endpoint = entry.endpoint.as_str(),
            service = entry.service.as_str(),
            pace = pace,
            running = load.running,
            waiting = load.waiting;
            "endpoint pace changed"
        );
    }
}

fn note_fault(host: &Host, entry: &Entry, fault: &Fault) {
    host.tally
        .count("load_report_faults", &[("service", entry.service.as_str())]);
    let first = (host.loads.faulty.borrow_mut()).insert(entry.endpoint.clone());

    if first {
        log::warn!(
            endpoint = entry.endpoint.as_str(),
            service = entry.service.as_str(),
            field = fault.field.as_str(),
            value = fault.value.as_str(),
            expected = fault.expected.as_str();
            "load report of an endpoint ignored"
        );
    }
}
