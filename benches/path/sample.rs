//! Measured times and their quantiles.

use std::time::{Duration, Instant};

/// The times that calls of one kind took.
#[derive(Clone, Debug, Default)]
pub struct Sample(Vec<Duration>);

impl Sample {
    /// Runs an action and adds the time that it took.
    pub fn time<T>(&mut self, action: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let value = action();
        self.0.push(started.elapsed());
        value
    }

    /// Adds the times of another sample.
    pub fn extend(&mut self, other: Self) {
        self.0.extend(other.0);
    }

    /// Returns the number of times.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the time in milliseconds within which the fraction `share` of the
    /// calls completed.
    ///
    /// # Panics
    ///
    /// Panics if the sample is empty.
    pub fn quantile(&self, share: f64) -> f64 {
        let mut times = self.0.clone();
        times.sort_unstable();
        let index = ((times.len() - 1) as f64 * share).round() as usize;
        times[index].as_secs_f64() * 1e3
    }

    /// Returns the median in milliseconds.
    pub fn median(&self) -> f64 {
        self.quantile(0.5)
    }

    /// Returns the 99th percentile in milliseconds.
    pub fn p99(&self) -> f64 {
        self.quantile(0.99)
    }

    /// Returns the longest time in milliseconds.
    pub fn max(&self) -> f64 {
        self.quantile(1.0)
    }
}
