//! Corrects estimates of queueing time by their measured error.

use {crate::state::duration_histogram::DurationHistogram, std::time::Duration};

/// Number of priority levels.
const PRIORITIES: usize = 10;
/// Minimum estimate that is recorded; shorter ones carry no information about
/// the error.
const MIN_ESTIMATE: Duration = Duration::from_millis(50);
/// Samples from which the measured error is used.
const MIN_SAMPLES: f32 = 8.0;
/// Maximum factor derived from the measured error.
const MAX_FACTOR: f64 = 4.0;

/// The measured error of one pool's wait estimates, by priority. Estimates for
/// low priorities are too short because work that arrives later can be served
/// first.
#[derive(Clone, Debug, Default)]
pub struct WaitCorrection {
    /// Ratios of measured to estimated waits, stored as durations: one second
    /// stands for a ratio of 1.
    ratios: [DurationHistogram; PRIORITIES],
}

impl WaitCorrection {
    /// Returns the factor to multiply an estimate by: the 95th percentile of
    /// the ratios, at most `MAX_FACTOR` and at least `margin`, or `margin` if
    /// there are too few samples.
    pub fn factor(&self, priority: u8, margin: f64) -> f64 {
        let ratio = &self.ratios[ratio_index(priority)];

        if ratio.samples() < MIN_SAMPLES {
            return margin;
        }

        ratio.p95().as_secs_f64().min(MAX_FACTOR).max(margin)
    }

    /// Records the estimated and the measured wait of one stage.
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
