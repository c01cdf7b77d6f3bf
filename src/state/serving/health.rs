//! Whether an endpoint takes work, judged by its own calls.

use {crate::state::clock::Time, std::time::Duration};

/// Failures one after the other that pause an endpoint.
const FAILURES_TO_PAUSE: u32 = 2;

/// Slowness, relative to the expected time, from which on an endpoint is
/// used only when no other one is free.
const SLOW_RATIO: f64 = 2.5;

/// Weight of the newest call in the slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;

/// First pause after failures; doubles with each one that follows.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Bound on the doublings of a pause: 4 s is below the time in which a worker
/// that crashed leaves the list, so that one that recovered is found soon.
const MAX_DOUBLINGS: u32 = 3;

/// Pause after an endpoint said that it is full. A queue at an endpoint
/// drains within one call.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// What the calls to one endpoint have shown.
#[derive(Clone, Debug)]
pub struct Health {
    doublings: u32,
    failures: u32,
    paused_until: Time,
    slowness: f64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            doublings: 0,
            failures: 0,
            paused_until: Time::ZERO,
            slowness: 1.0,
        }
    }
}

impl Health {
    /// Returns whether the endpoint is left alone for now.
    pub fn is_paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Returns when the endpoint may be used again.
    pub fn paused_until(&self) -> Time {
        self.paused_until
    }

    /// Returns whether the endpoint is much slower than expected.
    pub fn is_slow(&self) -> bool {
        self.slowness > SLOW_RATIO
    }

    /// Returns the smoothed time of calls relative to what was expected.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Counts a call that succeeded in `ratio` times the expected time.
    pub fn record_success(&mut self, ratio: f64) {
        self.doublings = 0;
        self.failures = 0;
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness);
    }

    /// Counts a failure and returns whether it pauses the endpoint.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.failures += 1;

        if self.failures < FAILURES_TO_PAUSE {
            return false;
        }

        self.pause(now);
        true
    }

    /// Counts a connection that could not be made.
    pub fn record_unreachable(&mut self, now: Time) {
        self.failures = self.failures.max(FAILURES_TO_PAUSE);
        self.pause(now);
    }

    /// Counts a refusal of an endpoint that is full.
    pub fn record_full(&mut self, now: Time) {
        self.paused_until = self.paused_until.max(now + FULL_PAUSE);
    }

    /// Notes that a call has run for `ratio` times the expected time and goes
    /// on. A ratio below the present slowness says nothing.
    pub fn record_elapsed(&mut self, ratio: f64) {
        if ratio > self.slowness {
            self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness);
        }
    }

    fn pause(&mut self, now: Time) {
        self.paused_until = now + FIRST_PAUSE * 2u32.pow(self.doublings);
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
    }
}
