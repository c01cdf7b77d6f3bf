//! How busy an endpoint is, as far as this host can know.

use {
    crate::state::{clock::Time, endpoint, tuning::Tuning},
    std::time::Duration,
};

/// The last report of an endpoint.
#[derive(Clone, Debug)]
struct Report {
    age: Duration,
    others: f64,
    queued: u32,
    received: Time,
    running: u32,
}

/// This host's own calls and the endpoint's reports.
#[derive(Clone, Debug, Default)]
pub struct Load {
    own: u32,
    report: Option<Report>,
}

impl Load {
    /// Counts a call that starts.
    pub fn begin(&mut self) {
        self.own += 1;
    }

    /// Counts a call that ended.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Returns the calls of other hosts. A report counts less the older it
    /// is; `expected` stands in for what it no longer tells.
    pub fn others(&self, now: Time, expected: f64, tuning: &Tuning) -> f64 {
        let Some(report) = &self.report else {
            return expected;
        };

        let age = (now.since(report.received) + report.age).as_secs_f64();
        let weight = (-age / tuning.load_half_life.as_secs_f64()).exp2();
        weight * report.others + (1.0 - weight) * expected
    }

    /// Returns this host's calls.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Returns the last reported queue length.
    pub fn queued(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.queued)
    }

    /// Takes a report and returns the change in other hosts' calls.
    pub fn report(&mut self, now: Time, load: &endpoint::Load) -> f64 {
        let before = self.reported();
        let total = load.queued.saturating_add(load.running);

        self.report = Some(Report {
            age: load.age,
            others: f64::from(total.saturating_sub(self.own)),
            queued: load.queued,
            received: now,
            running: load.running,
        });

        self.reported() - before
    }

    /// Returns other hosts' calls as last reported.
    pub fn reported(&self) -> f64 {
        self.report.as_ref().map_or(0.0, |report| report.others)
    }

    /// Returns whether the endpoint has reported its load.
    pub fn reports(&self) -> bool {
        self.report.is_some()
    }

    /// Returns the last reported number of running calls.
    pub fn running(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.running)
    }
}
