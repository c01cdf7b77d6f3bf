//! The pace of an endpoint that reports none, from the response times that this host
//! observes.

use {
    crate::state::{clock::Time, serving::pace::fading::Fading},
    std::time::Duration,
};

/// Weight of the newest response in the usual response time of a service.
const USUAL_WEIGHT: f64 = 0.03;

/// Weight of the newest response in an endpoint's slow estimate, which covers tens of
/// responses.
const SLOW_WEIGHT: f64 = 0.03;

/// Time in which the slow estimate loses half of its weight without new figures.
const SLOW_HALF_LIFE: Duration = Duration::from_secs(20);

/// Number of responses before the slow estimate counts.
const MIN_RESPONSES: u32 = 15;

/// Deviation of the slow estimate from 1 that does not count.
const SLOW_DEVIATION: f64 = 0.2;

/// Weight of the newest response in the fast estimate. A host sees only a few
/// responses a second, so that two of them have to tell.
const FAST_WEIGHT: f64 = 0.6;

/// Time in which the fast estimate loses half of its weight.
const FAST_HALF_LIFE: Duration = Duration::from_millis(400);

/// Maximum ratio of one response, so that a single long one does not count as many.
const MAX_RATIO: f64 = 4.0;

/// The usual response time of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usual {
    seconds: f64,
}

impl Usual {
    /// Records a response time, and returns it relative to the usual one.
    pub fn record(&mut self, elapsed: Duration) -> f64 {
        let seconds = elapsed.as_secs_f64().max(0.001);

        if self.seconds == 0.0 {
            self.seconds = seconds;
        }

        let ratio = (seconds / self.seconds).min(MAX_RATIO);
        self.seconds += USUAL_WEIGHT * (ratio - 1.0) * self.seconds;
        ratio
    }
}

/// The response times of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Responses {
    count: u32,
    fast: Fading,
    slow: Fading,
}

impl Responses {
    /// Records a response time, relative to the usual one of the service.
    pub fn record(&mut self, now: Time, ratio: f64) {
        let speed = self.speed(now);
        self.fast
            .record(now, ratio / speed, FAST_WEIGHT, FAST_HALF_LIFE);
        self.count = self.count.saturating_add(1);
        let weight = SLOW_WEIGHT.max(1.0 / f64::from(self.count));
        self.slow.record(now, ratio, weight, SLOW_HALF_LIFE);
    }

    /// Returns the pace of the endpoint at present.
    pub fn ratio(&self, now: Time) -> f64 {
        self.speed(now) * self.fast.get(now, FAST_HALF_LIFE)
    }

    /// Returns the slow estimate, or 1 while it is not significant.
    fn speed(&self, now: Time) -> f64 {
        let slow = self.slow.get(now, SLOW_HALF_LIFE);
        let significant = self.count >= MIN_RESPONSES && (slow - 1.0).abs() > SLOW_DEVIATION;
        if significant { slow.max(0.1) } else { 1.0 }
    }
}
