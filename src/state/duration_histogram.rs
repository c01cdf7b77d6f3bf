//! A decaying histogram of durations with cached quantiles.

use std::time::Duration;

/// Number of buckets. With four per power of two they cover 4 µs to over 4
/// hours; shorter and longer durations count in the first and last one.
const BUCKETS: usize = 128;
/// Total weight at which all counts are halved, so that old samples decay.
const WINDOW: f32 = 256.0;
/// Total weight below which each sample recomputes the quantiles.
const ALWAYS_REFRESH_BELOW: f32 = 32.0;

/// A decaying histogram of durations, such as the service times of one pool and
/// size class. It takes constant memory.
#[derive(Clone, Debug)]
pub struct DurationHistogram {
    counts: [f32; BUCKETS],
    p95: Duration,
    mean: Duration,
    median: Duration,
    since_refresh: u32,
    sum_us: f64,
    total: f32,
}

impl Default for DurationHistogram {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            p95: Duration::ZERO,
            mean: Duration::ZERO,
            median: Duration::ZERO,
            since_refresh: 0,
            sum_us: 0.0,
            total: 0.0,
        }
    }
}

impl DurationHistogram {
    /// Returns the 95th percentile as of the last recomputation.
    pub fn p95(&self) -> Duration {
        self.p95
    }

    /// Returns the mean as of the last recomputation.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the median as of the last recomputation.
    pub fn median(&self) -> Duration {
        self.median
    }

    /// Adds a sample.
    pub fn record(&mut self, elapsed: Duration) {
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.counts[bucket(micros)] += 1.0;
        self.sum_us += elapsed.as_secs_f64() * 1e6;
        self.total += 1.0;
        self.since_refresh += 1;

        if self.total >= WINDOW {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.sum_us /= 2.0;
            self.total /= 2.0;
        }

        if self.total < ALWAYS_REFRESH_BELOW || self.since_refresh >= 8 {
            self.since_refresh = 0;
            self.p95 = self.quantile(0.95);
            self.mean = Duration::from_secs_f64(self.sum_us / 1e6 / f64::from(self.total));
            self.median = self.quantile(0.5);
        }
    }

    /// Returns the total weight of the samples; old ones count as a fraction.
    pub fn samples(&self) -> f32 {
        self.total
    }

    fn quantile(&self, quantile: f32) -> Duration {
        let rank = self.total * quantile;
        let mut cumulative = 0.0;

        for (index, count) in self.counts.iter().enumerate() {
            cumulative += count;
            if cumulative >= rank && *count > 0.0 {
                return midpoint(index);
            }
        }

        Duration::ZERO
    }
}

fn bucket(micros: u64) -> usize {
    let micros = micros.max(4);
    let octave = micros.ilog2();
    let quarter = (micros >> (octave - 2)) & 3;
    let index = (octave as usize - 2) * 4 + quarter as usize;
    index.min(BUCKETS - 1)
}

fn midpoint(index: usize) -> Duration {
    let base = 1u64 << (index / 4);
    let step = index as u64 % 4;
    Duration::from_micros(base * (4 + step) + base / 2)
}
