//! How long work takes at an endpoint at present, relative to its usual time: from
//! the load that the endpoint reports, corrected by what its calls took.
//!
//! Every figure loses its weight with its age, so that an endpoint that was slow is
//! used again although it had no calls in between.

use {
    crate::state::{clock::Time, serving::pace::fading::Fading},
    std::time::Duration,
};

pub mod fading;
pub mod response;

/// Time in which a reported pace loses half of its weight. Neighbours that slow an
/// endpoint down come and go within a second.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(300);

/// Time in which the correction of an endpoint's reports loses half of its weight.
const CORRECTION_HALF_LIFE: Duration = Duration::from_secs(4);

/// Weight of the newest call in the correction.
const CORRECTION_WEIGHT: f64 = 0.4;

/// Deviation of a call's duration from the reported pace that is not corrected: the
/// pace changes during calls.
const TOLERANCE: f64 = 1.25;

/// Bounds of the pace that counts. A call to an endpoint that claims more than five
/// times the usual time would run into its timeout, and count as a straggler too late.
const MIN_PACE: f64 = 0.5;
const MAX_PACE: f64 = 5.0;

/// Maximum number of waiting calls that count. A report may hold any number.
const MAX_WAITING: u32 = 8;

/// Pace from which on an endpoint is clearly slow at present.
pub const SLOW_PACE: f64 = 1.5;

/// The load that an endpoint reports in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Duration of work on the endpoint's machine at present, relative to the usual
    /// one, if it reports that.
    pub pace: Option<f64>,
    /// Number of calls that run at the endpoint.
    pub running: u32,
    /// Number of calls that the endpoint runs at once.
    pub slots: u32,
    /// Number of calls that wait at the endpoint.
    pub waiting: u32,
}

impl Load {
    /// Returns whether another call would have to wait. The answered call may count as
    /// running, so an endpoint whose slots are just taken is not full.
    pub fn is_full(&self) -> bool {
        self.running.saturating_add(self.waiting) > self.slots
    }
}

/// The last report of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Time,
    load: Load,
    /// Number of waiting calls that others have sent.
    others: u32,
}

/// The pace of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    /// Measured duration of calls, relative to the reported pace.
    correction: Fading,
    report: Option<Report>,
}

impl Pace {
    /// Records a report. `own` is the number of this host's calls at the endpoint.
    pub fn record_report(&mut self, now: Time, load: Load, own: usize) {
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        let own_waiting = own.saturating_sub(load.slots);
        self.report = Some(Report {
            at: now,
            load,
            others: load.waiting.saturating_sub(own_waiting).min(MAX_WAITING),
        });
    }

    /// Records the duration of a call, relative to the usual one. `before` is the load
    /// that was known when it was sent.
    ///
    /// A duration between that load and the pace reported now says nothing of the
    /// reports.
    pub fn record_call(&mut self, now: Time, ratio: f64, before: f64) {
        let Some(reported) = self.reported(now) else {
            return;
        };
        let (least, most) = (reported.min(before), reported.max(before));
        let explained = ratio <= most * TOLERANCE && ratio * TOLERANCE >= least;
        let correction = if explained { 1.0 } else { ratio / reported };
        let correction = correction.clamp(MIN_PACE / MAX_PACE, MAX_PACE / MIN_PACE);
        self.correction
            .record(now, correction, CORRECTION_WEIGHT, CORRECTION_HALF_LIFE);
    }

    /// Records that a call still runs after `ratio` times the usual duration.
    pub fn record_lower_bound(&mut self, now: Time, ratio: f64, before: f64) {
        if self.reported(now).is_some_and(|pace| ratio > pace) {
            self.record_call(now, ratio, before);
        }
    }

    /// Returns the pace for the choice among endpoints, including the calls of others
    /// that wait there, or `None` if the endpoint has never reported its load. `call`
    /// is the usual duration of a call.
    pub fn ratio(&self, now: Time, call: Duration) -> Option<f64> {
        let reported = self.reported(now)?;
        let correction = self.correction.get(now, CORRECTION_HALF_LIFE);
        let pace = (reported * correction).clamp(MIN_PACE, MAX_PACE);
        Some(pace + self.waiting(now, call))
    }

    /// Returns the reported pace, including the calls of others that wait there, or 1 if
    /// the endpoint has never reported its load.
    pub fn known(&self, now: Time, call: Duration) -> f64 {
        self.reported(now)
            .map_or(1.0, |pace| pace + self.waiting(now, call))
    }

    /// Returns the pace by which the expected duration of a call is multiplied. It is
    /// at least 1: a false report must not turn each call into a straggler.
    pub fn expected(&self, now: Time, call: Duration) -> f64 {
        let Some(reported) = self.reported(now) else {
            return 1.0;
        };
        // A measured duration shortens the expected one, and does not excuse an
        // endpoint that is slower than it reports.
        let correction = self.correction.get(now, CORRECTION_HALF_LIFE).min(1.0);
        let pace = reported * correction + self.waiting(now, call);
        pace.clamp(1.0, MAX_PACE)
    }

    /// Returns whether another call would have to wait at the endpoint, as far as a
    /// report that is not old shows.
    pub fn is_full(&self, now: Time) -> bool {
        self.report
            .is_some_and(|report| report.load.is_full() && now.since(report.at) < REPORT_HALF_LIFE)
    }

    /// Returns the reported pace, weighted by its age.
    pub fn reported(&self, now: Time) -> Option<f64> {
        let report = self.report?;
        let pace = report.load.pace.unwrap_or(1.0).clamp(MIN_PACE, MAX_PACE);
        Some(fading::fade(pace, now.since(report.at), REPORT_HALF_LIFE))
    }

    /// Returns whether the endpoint has reported a pace.
    pub fn has_pace(&self) -> bool {
        self.report.is_some_and(|report| report.load.pace.is_some())
    }

    /// Returns the time until the waiting calls of others have begun, in calls.
    fn waiting(&self, now: Time, call: Duration) -> f64 {
        let Some(report) = self.report.filter(|report| report.others > 0) else {
            return 0.0;
        };
        let begun = now.since(report.at).as_secs_f64() / call.as_secs_f64().max(0.001);
        let slots = f64::from(report.load.slots.max(1));
        (f64::from(report.others) / slots - begun).max(0.0)
    }
}
