//! Service times of a pool by size class.

use {
    crate::state::{estimate::Estimate, tuning::Tuning},
    std::time::Duration,
};

/// Samples from which a size class is used. The mean over all sizes is so far
/// off for a long call that two samples are better.
const USABLE: f32 = 2.0;
/// Samples from which a size class is trusted to judge a single call.
const TRUSTED: f32 = 8.0;
/// Upper bounds of generated tokens of the size classes but the last; the
/// first holds calls without a bound.
const BOUNDS: [u32; 5] = [0, 64, 256, 1024, 4096];

/// The size class of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SizeClass(usize);

impl SizeClass {
    /// Returns the size class of a call that generates up to `max_tokens`.
    pub fn of(max_tokens: u32) -> Self {
        Self(BOUNDS.partition_point(|bound| *bound < max_tokens))
    }
}

/// The estimates of one pool.
#[derive(Clone, Debug)]
pub struct Estimates {
    all: Estimate,
    prior: Duration,
    sizes: [Estimate; BOUNDS.len() + 1],
}

impl Estimates {
    /// Builds estimates without samples.
    pub fn new(tuning: &Tuning) -> Self {
        Self {
            all: Estimate::default(),
            prior: tuning.initial_service_time,
            sizes: Default::default(),
        }
    }

    /// Returns the 95th percentile.
    pub fn p95(&self, size: SizeClass) -> Duration {
        self.trusted(size).map_or(self.prior, Estimate::p95)
    }

    /// Returns the mean.
    pub fn mean(&self, size: SizeClass) -> Duration {
        self.trusted(size).map_or(self.prior, Estimate::mean)
    }

    /// Returns the median.
    pub fn median(&self, size: SizeClass) -> Duration {
        self.trusted(size).map_or(self.prior, Estimate::median)
    }

    /// Returns the mean over all size classes.
    pub fn overall_mean(&self) -> Duration {
        if self.all.samples() >= USABLE {
            self.all.mean()
        } else {
            self.prior
        }
    }

    /// Adds one service time.
    pub fn record(&mut self, size: SizeClass, elapsed: Duration) {
        self.all.record(elapsed);
        self.sizes[size.0].record(elapsed);
    }

    /// Returns whether there are enough samples to judge a single call.
    pub fn has_enough_samples(&self, size: SizeClass) -> bool {
        self.sizes[size.0].samples() >= TRUSTED
    }

    fn trusted(&self, size: SizeClass) -> Option<&Estimate> {
        [&self.sizes[size.0], &self.all]
            .into_iter()
            .find(|estimate| estimate.samples() >= USABLE)
    }
}
