//! An exponentially smoothed rate.

use {crate::state::clock::Time, std::time::Duration};

/// Amount per second, smoothed exponentially.
#[derive(Clone, Debug)]
pub struct Rate {
    updated: Time,
    seconds: f64,
    value: f64,
}

impl Rate {
    /// Creates a rate of zero with the time constant `time`.
    pub fn new(time: Duration) -> Self {
        Self {
            updated: Time::ZERO,
            seconds: time.as_secs_f64(),
            value: 0.0,
        }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Time, amount: f64) {
        self.value = self.at(now) + amount / self.seconds;
        self.updated = now;
    }

    /// Returns the rate per second.
    pub fn at(&self, now: Time) -> f64 {
        self.value * (-now.since(self.updated).as_secs_f64() / self.seconds).exp()
    }

    /// Returns the amount that has not decayed yet.
    pub fn amount(&self, now: Time) -> f64 {
        self.at(now) * self.seconds
    }
}
