//! Takes failing and slow endpoints out for a while.

use {
    crate::state::{clock::Time, tuning::Tuning},
    std::time::Duration,
};

/// Weight of the newest call in an endpoint's slowness.
const NEWEST_CALL_WEIGHT: f64 = 0.2;
/// Calls after which an endpoint that returned from an ejection is judged.
const PROBATION_SAMPLES: u32 = 2;
/// Bound on the doublings of an ejection or a pause.
const MAX_DOUBLINGS: u32 = 16;

/// The failures and the slowness of one endpoint.
#[derive(Clone, Debug)]
pub struct Ejection {
    doublings: u32,
    failures: u32,
    paused_until: Time,
    refusals: u32,
    samples: u32,
    slowness: f64,
    ejected_until: Time,
}

impl Default for Ejection {
    fn default() -> Self {
        Self {
            doublings: 0,
            failures: 0,
            paused_until: Time::ZERO,
            refusals: 0,
            samples: 0,
            slowness: 1.0,
            ejected_until: Time::ZERO,
        }
    }
}

impl Ejection {
    /// Ejects the endpoint.
    pub fn eject(&mut self, now: Time, tuning: &Tuning) {
        self.ejected_until =
            now + backoff(tuning.ejection_time, tuning.ejection_max, self.doublings);
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        self.samples = 0;
        self.slowness = 1.0;
    }

    /// Returns whether the endpoint is ejected.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Counts a failure; returns whether the endpoint is to be ejected.
    pub fn record_failure(&mut self, tuning: &Tuning) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= tuning.ejection_failures
    }

    /// Adds a lower bound of a cancelled call's duration, relative to the
    /// pool's median. A bound below the present slowness says nothing.
    pub fn record_lower_bound(&mut self, ratio: f64) {
        if ratio > self.slowness {
            self.record_ratio(ratio);
        }
    }

    /// Returns whether the endpoint is paused after it refused a call.
    pub fn is_paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Returns whether the endpoint came back from an ejection and has not
    /// yet shown that it is well. It then gets one call at a time.
    pub fn on_probation(&self) -> bool {
        self.doublings > 0
    }

    /// Counts a `not_run`: the endpoint is full or cannot be reached.
    pub fn record_refusal(&mut self, now: Time, tuning: &Tuning) {
        let pause = backoff(
            tuning.not_run_pause,
            tuning.not_run_pause_max,
            self.refusals,
        );
        self.paused_until = now + pause;
        self.refusals = (self.refusals + 1).min(MAX_DOUBLINGS);
    }

    /// Returns the smoothed duration of calls relative to the pool's median.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns whether the endpoint is slow compared with the pool.
    pub fn is_straggler(&self, pool: f64, tuning: &Tuning) -> bool {
        let samples = if self.on_probation() {
            PROBATION_SAMPLES
        } else {
            tuning.straggler_samples
        };

        self.samples >= samples && self.slowness > tuning.straggler_ratio * pool
    }

    /// Counts a whole answer that took `ratio` times the pool's median.
    pub fn record_success(&mut self, ratio: f64, tuning: &Tuning) {
        self.failures = 0;
        self.refusals = 0;

        if ratio < tuning.straggler_ratio {
            self.doublings = 0;
        }

        self.record_ratio(ratio);
    }

    fn record_ratio(&mut self, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        self.slowness += NEWEST_CALL_WEIGHT * (ratio - self.slowness);
    }
}

fn backoff(initial: Duration, max: Duration, doublings: u32) -> Duration {
    initial
        .saturating_mul(1 << doublings.min(MAX_DOUBLINGS))
        .min(max)
}
