//! A ratio that returns to 1 without new figures.

use {crate::state::clock::Time, std::time::Duration};

/// A moving average whose deviation from 1 loses half of its weight in a given time.
#[derive(Clone, Copy, Debug)]
pub struct Fading {
    at: Time,
    ratio: f64,
}

impl Default for Fading {
    fn default() -> Self {
        Self {
            at: Time::ZERO,
            ratio: 1.0,
        }
    }
}

impl Fading {
    /// Returns the average.
    pub fn get(&self, now: Time, half_life: Duration) -> f64 {
        fade(self.ratio, now.since(self.at), half_life)
    }

    /// Adds a figure with a weight from 0 to 1.
    pub fn record(&mut self, now: Time, ratio: f64, weight: f64, half_life: Duration) {
        let current = self.get(now, half_life);
        self.ratio = current + weight * (ratio - current);
        self.at = now;
    }
}

/// Returns a ratio of a given age, nearer to 1 the older it is.
pub fn fade(ratio: f64, age: Duration, half_life: Duration) -> f64 {
    let weight = 0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64());
    1.0 + (ratio - 1.0) * weight
}
