//! Ejects failing and slow endpoints for a limited time.

use {
    crate::state::{clock::Time, tuning::Tuning},
    std::time::Duration,
};

/// Weight of the newest call in the moving average of an endpoint's latency
/// ratio.
const NEWEST_CALL_WEIGHT: f64 = 0.2;
/// Calls after which an endpoint on probation can be ejected as slow.
const PROBATION_SAMPLES: u32 = 2;
/// Maximum number of times that an ejection or a pause is doubled.
const MAX_DOUBLINGS: u32 = 16;

/// Tracks the failures of one endpoint and the duration of its calls.
#[derive(Clone, Debug)]
pub struct Ejection {
    doublings: u32,
    failures: u32,
    paused_until: Time,
    refusals: u32,
    samples: u32,
    latency_ratio: f64,
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
            latency_ratio: 1.0,
            ejected_until: Time::ZERO,
        }
    }
}

impl Ejection {
    /// Ejects the endpoint, doubles the time of the next ejection and restarts
    /// the measurement of the latency ratio.
    pub fn eject(&mut self, now: Time, tuning: &Tuning) {
        self.ejected_until =
            now + backoff(tuning.ejection_time, tuning.ejection_max, self.doublings);
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        self.samples = 0;
        self.latency_ratio = 1.0;
    }

    /// Returns whether the endpoint is ejected at `now`.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Counts a failure and returns whether the number of consecutive failures
    /// requires an ejection.
    pub fn record_failure(&mut self, tuning: &Tuning) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= tuning.ejection_failures
    }

    /// Records the elapsed time of a cancelled call relative to the pool's
    /// median. It is a lower bound of the call's duration, so a value below the
    /// current latency ratio carries no information and is ignored.
    pub fn record_lower_bound(&mut self, ratio: f64) {
        if ratio > self.latency_ratio {
            self.record_ratio(ratio);
        }
    }

    /// Returns whether the endpoint is paused at `now` because it refused a
    /// call.
    pub fn is_paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Returns whether the endpoint has been ejected and has not completed a
    /// call at normal speed since. Such an endpoint gets one call at a time.
    pub fn on_probation(&self) -> bool {
        self.doublings > 0
    }

    /// Pauses the endpoint after a `not_run`: it is full or cannot be reached.
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
    pub fn latency_ratio(&self) -> f64 {
        self.latency_ratio
    }

    /// Returns whether the endpoint is much slower than its pool, whose
    /// latency ratio is `pool`.
    pub fn is_straggler(&self, pool: f64, tuning: &Tuning) -> bool {
        let samples = if self.on_probation() {
            PROBATION_SAMPLES
        } else {
            tuning.straggler_samples
        };

        self.samples >= samples && self.latency_ratio > tuning.straggler_ratio * pool
    }

    /// Records a complete answer that took `ratio` times the pool's median.
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
        self.latency_ratio += NEWEST_CALL_WEIGHT * (ratio - self.latency_ratio);
    }
}

fn backoff(initial: Duration, max: Duration, doublings: u32) -> Duration {
    initial
        .saturating_mul(1 << doublings.min(MAX_DOUBLINGS))
        .min(max)
}
