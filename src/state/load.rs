//! Tracks how busy an endpoint is, from this host's calls and load reports.

use {
    crate::state::{clock::Time, endpoint, tuning::Tuning},
    std::{collections::VecDeque, time::Duration},
};

/// Maximum number of changes in this host's calls that are kept.
const MAX_HISTORY: usize = 32;

/// The latest load report of an endpoint.
#[derive(Clone, Debug)]
struct Report {
    age: Duration,
    others: f64,
    queued: u32,
    received: Time,
    running: u32,
}

/// Inputs from which a host's window on an endpoint is computed.
#[derive(Clone, Copy, Debug)]
pub struct WindowInputs {
    /// Concurrent calls that the endpoint accepts.
    pub limit: u32,
    /// Random number between 0 and 1 that decides how the window is rounded.
    pub uniform: f64,
    /// This host's fraction of all demand.
    pub share: f64,
}

/// This host's calls to an endpoint and the endpoint's latest load report.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Times at which the number of this host's calls changed, with the new
    /// number.
    history: VecDeque<(Time, u32)>,
    own: u32,
    report: Option<Report>,
    window: u32,
}

impl Load {
    /// Counts the start of a call.
    pub fn begin(&mut self, now: Time) {
        self.own += 1;
        self.record_own(now);
    }

    /// Counts the end of a call.
    pub fn end(&mut self, now: Time) {
        self.own = self.own.saturating_sub(1);
        self.record_own(now);
    }

    /// Returns the estimated number of other hosts' calls: a weighted average of
    /// the last report, whose weight decays with its age, and `expected`.
    pub fn others(&self, now: Time, expected: f64, tuning: &Tuning) -> f64 {
        let Some(report) = &self.report else {
            return expected;
        };

        let age = (now.since(report.received) + report.age).as_secs_f64();
        let weight = (-age / tuning.load_half_life.as_secs_f64()).exp2();
        weight * report.others + (1.0 - weight) * expected
    }

    /// Returns the number of this host's calls.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Returns the last reported queue length.
    pub fn queued(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.queued)
    }

    /// Records a load report and returns the change in other hosts' calls.
    pub fn report(&mut self, now: Time, load: &endpoint::LoadReport, inputs: WindowInputs) -> f64 {
        let before = self.reported();
        let total = load.queued.saturating_add(load.running);
        let own = self.own_at(now, load.age);
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

    /// Returns the number of other hosts' calls according to the last report.
    pub fn reported(&self) -> f64 {
        self.report.as_ref().map_or(0.0, |report| report.others)
    }

    /// Returns the last reported number of running calls.
    pub fn running(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.running)
    }

    /// Returns how many calls this host may have on the endpoint according to the
    /// last report, or `None` before the first report.
    pub fn window(&self) -> Option<u32> {
        self.report.as_ref().map(|_| self.window)
    }

    fn record_own(&mut self, now: Time) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }

        self.history.push_back((now, self.own));
    }

    /// Returns the number of this host's calls at the time that a report of this
    /// age describes.
    fn own_at(&self, now: Time, age: Duration) -> u32 {
        let recent = |entry: &&(Time, u32)| now.since(entry.0) >= age;
        let entry = self.history.iter().rev().find(recent);
        let oldest = self.history.front();
        entry.or(oldest).map_or(0, |(_, own)| *own)
    }
}

/// Returns how many calls a host may have on an endpoint that had `total`
/// calls, of which `own` were this host's.
///
/// Hosts receive the same report at the same time, so each takes only its share
/// of the free calls in addition to those it had. Above the limit, a host with
/// more than its share reduces its calls by one.
fn window(own: u32, total: u32, inputs: WindowInputs) -> u32 {
    let quota = f64::from(inputs.limit) * inputs.share;
    if total < inputs.limit {
        let free = inputs.limit - total;
        let entitled = f64::from(free) * inputs.share;
        let rounded = entitled.floor() + f64::from(u8::from(inputs.uniform < entitled.fract()));
        (own + rounded as u32).max(quota as u32)
    } else if total > inputs.limit && f64::from(own) > quota {
        own - 1
    } else {
        own
    }
}
