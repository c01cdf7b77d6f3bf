//! How far estimates of queueing time were off.

use {crate::state::estimate::Estimate, std::time::Duration};

/// Number of priorities.
const PRIORITIES: usize = 10;
/// Shorter estimates say nothing about the error.
const MIN_ESTIMATE: Duration = Duration::from_millis(50);
/// Samples from which the error is used.
const MIN_SAMPLES: f32 = 8.0;
/// Largest factor of correction.
const MAX_FACTOR: f64 = 4.0;

/// The measured error of one pool's estimates, by priority. Work that arrives
/// later and goes first makes the estimates of low priorities too short.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    /// Ratios of measured to estimated waits; one second stands for one.
    ratios: [Estimate; PRIORITIES],
}

impl Forecast {
    /// Returns the factor for an estimate: the 95th percentile of the ratios,
    /// at least `margin`.
    pub fn factor(&self, priority: u8, margin: f64) -> f64 {
        let ratio = &self.ratios[ratio_index(priority)];

        if ratio.samples() < MIN_SAMPLES {
            return margin;
        }

        ratio.p95().as_secs_f64().min(MAX_FACTOR).max(margin)
    }

    /// Takes the estimated and the measured wait of one stage.
    pub fn record(&mut self, priority: u8, estimated: Duration, measured: Duration) {
        if estimated >= MIN_ESTIMATE {
            let ratio = measured.as_secs_f64() / estimated.as_secs_f64();
            self.ratios[ratio_index(priority)].record(Duration::from_secs_f64(ratio.min(100.0)));
        }
    }
}

fn ratio_index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
