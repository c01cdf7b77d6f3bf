//! How busy an endpoint is, as far as this host can know.

use {
    crate::state::{clock::Time, endpoint, tuning::Tuning},
    std::{collections::VecDeque, time::Duration},
};

/// Changes of the own calls that are remembered.
const HISTORY: usize = 32;

/// The last report of an endpoint.
#[derive(Clone, Debug)]
struct Report {
    age: Duration,
    others: f64,
    queued: u32,
    received: Time,
    running: u32,
}

/// This host's claim on an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct WindowInputs {
    /// Calls at a time that the endpoint takes.
    pub limit: u32,
    /// A random number between 0 and 1 that rounds the claim.
    pub uniform: f64,
    /// This host's part of all demand.
    pub share: f64,
}

/// This host's own calls and the endpoint's reports.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// When the own calls changed, and to what.
    history: VecDeque<(Time, u32)>,
    own: u32,
    report: Option<Report>,
    window: u32,
}

impl Load {
    /// Counts a call that starts.
    pub fn begin(&mut self, now: Time) {
        self.own += 1;
        self.note(now);
    }

    /// Counts a call that ended.
    pub fn end(&mut self, now: Time) {
        self.own = self.own.saturating_sub(1);
        self.note(now);
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
    pub fn report(&mut self, now: Time, load: &endpoint::LoadReport, inputs: WindowInputs) -> f64 {
        let before = self.reported();
        let total = load.queued.saturating_add(load.running);
        let own = self.own_before(now, load.age);
        self.window = window(own, total, inputs);

        self.report = Some(Report {
            age: load.age,
            others: f64::from(total.saturating_sub(own)),
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

    /// Returns the last reported number of running calls.
    pub fn running(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.running)
    }

    /// Returns the calls that this host may have on the endpoint according to
    /// the last report, or `None` before the first one.
    pub fn window(&self) -> Option<u32> {
        self.report.as_ref().map(|_| self.window)
    }

    fn note(&mut self, now: Time) {
        if self.history.len() == HISTORY {
            self.history.pop_front();
        }

        self.history.push_back((now, self.own));
    }

    /// Returns the own calls at the time to which a report of this age refers.
    fn own_before(&self, now: Time, age: Duration) -> u32 {
        let recent = |entry: &&(Time, u32)| now.since(entry.0) >= age;
        let entry = self.history.iter().rev().find(recent);
        let oldest = self.history.front();
        entry.or(oldest).map_or(0, |(_, own)| *own)
    }
}

/// Returns the calls that a host may have on an endpoint that had `total`
/// calls, `own` of them this host's.
///
/// Hosts see the same report at the same time, so each takes only its share
/// of what is free, and what it had it may have again. Above the limit, hosts
/// that hold more than their share give one up.
fn window(own: u32, total: u32, inputs: WindowInputs) -> u32 {
    let quota = f64::from(inputs.limit) * inputs.share;
    if total < inputs.limit {
        let free = inputs.limit - total;
        let part = f64::from(free) * inputs.share;
        let rounded = part.floor() + f64::from(u8::from(inputs.uniform < part.fract()));
        (own + rounded as u32).max(quota as u32)
    } else if total > inputs.limit && f64::from(own) > quota {
        own - 1
    } else {
        own
    }
}
