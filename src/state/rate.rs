//! A rate that fades.

use {crate::state::clock::Time, std::time::Duration};

/// Something that arrives each second, smoothed exponentially.
#[derive(Clone, Debug)]
pub struct Rate {
    updated: Time,
    seconds: f64,
    value: f64,
}

impl Rate {
    /// Builds a rate of zero that is smoothed over `time`.
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

    /// Returns the rate.
    pub fn at(&self, now: Time) -> f64 {
        self.value * (-now.since(self.updated).as_secs_f64() / self.seconds).exp()
    }

    /// Returns the amount that has not faded yet.
    pub fn amount(&self, now: Time) -> f64 {
        self.at(now) * self.seconds
    }
}
