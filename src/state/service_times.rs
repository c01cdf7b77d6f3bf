//! Service times of a pool by size class.

use {
    crate::state::{duration_histogram::DurationHistogram, tuning::Tuning},
    std::time::Duration,
};

/// Samples from which the histogram of a size class is used. The mean over all
/// sizes is so wrong for long calls that two samples of the class are better.
const MIN_SAMPLES: f32 = 2.0;
/// Samples from which single calls are compared with the histogram of their size
/// class.
const MIN_SAMPLES_SINGLE_CALL: f32 = 8.0;
/// Upper bounds of the size classes in generated tokens. The first class holds
/// calls without a token limit; the last class has no upper bound.
const TOKEN_BOUNDS: [u32; 5] = [0, 64, 256, 1024, 4096];

/// The size class of a call, by the tokens that it may generate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SizeClass(usize);

impl SizeClass {
    /// Returns the size class of a call that generates up to `max_tokens`.
    pub fn of(max_tokens: u32) -> Self {
        Self(TOKEN_BOUNDS.partition_point(|bound| *bound < max_tokens))
    }
}

/// The service times of one pool.
#[derive(Clone, Debug)]
pub struct ServiceTimes {
    all: DurationHistogram,
    prior: Duration,
    sizes: [DurationHistogram; TOKEN_BOUNDS.len() + 1],
}

impl ServiceTimes {
    /// Builds histograms without samples. Until they have enough, the methods
    /// return `tuning.initial_service_time`.
    pub fn new(tuning: &Tuning) -> Self {
        Self {
            all: DurationHistogram::default(),
            prior: tuning.initial_service_time,
            sizes: Default::default(),
        }
    }

    /// Returns the 95th percentile of a size class.
    pub fn p95(&self, size: SizeClass) -> Duration {
        self.usable(size).map_or(self.prior, DurationHistogram::p95)
    }

    /// Returns the mean of a size class.
    pub fn mean(&self, size: SizeClass) -> Duration {
        self.usable(size)
            .map_or(self.prior, DurationHistogram::mean)
    }

    /// Returns the median of a size class.
    pub fn median(&self, size: SizeClass) -> Duration {
        self.usable(size)
            .map_or(self.prior, DurationHistogram::median)
    }

    /// Returns the mean over all size classes.
    pub fn overall_mean(&self) -> Duration {
        if self.all.samples() >= MIN_SAMPLES {
            self.all.mean()
        } else {
            self.prior
        }
    }

    /// Adds the service time of one call.
    pub fn record(&mut self, size: SizeClass, elapsed: Duration) {
        self.all.record(elapsed);
        self.sizes[size.0].record(elapsed);
    }

    /// Returns whether a size class has enough samples to compare single calls
    /// with its histogram.
    pub fn has_enough_samples(&self, size: SizeClass) -> bool {
        self.sizes[size.0].samples() >= MIN_SAMPLES_SINGLE_CALL
    }

    /// Returns the histogram of a size class, or else that of all sizes, if it
    /// has enough samples.
    fn usable(&self, size: SizeClass) -> Option<&DurationHistogram> {
        [&self.sizes[size.0], &self.all]
            .into_iter()
            .find(|histogram| histogram.samples() >= MIN_SAMPLES)
    }
}
