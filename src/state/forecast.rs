//! How far estimates of queueing time were off.

use {
    crate::state::{clock::Time, estimate::Estimate, tuning::Tuning},
    std::time::Duration,
};

/// Number of priorities.
const PRIORITIES: usize = 10;
/// Shorter estimates say nothing about the error.
const SHORTEST: Duration = Duration::from_millis(50);
/// Samples from which the error is used.
const TRUSTED: f32 = 8.0;
/// Bounds of the factor once it is measured.
const FACTORS: (f64, f64) = (1.5, 4.0);
/// Age of the last sample above which the error counts as unknown.
const FRESH: Duration = Duration::from_secs(5);

/// The measured error of one pool's estimates, by priority. Work that arrives
/// later and goes first makes the estimates of low priorities too short.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    /// Ratios of measured to estimated waits; one second stands for one.
    ratios: [Estimate; PRIORITIES],
    recorded: [Time; PRIORITIES],
}

impl Forecast {
    /// Returns the factor for an estimate: the 95th percentile of the recent
    /// ratios, or the tuned margin if there are too few.
    pub fn factor(&self, now: Time, priority: u8, tuning: &Tuning) -> f64 {
        let level = level(priority);
        let ratio = &self.ratios[level];

        if ratio.samples() < TRUSTED || now.since(self.recorded[level]) > FRESH {
            return tuning.admission_margin;
        }

        ratio.high().as_secs_f64().clamp(FACTORS.0, FACTORS.1)
    }

    /// Takes the estimated and the measured wait of one stage.
    pub fn record(&mut self, now: Time, priority: u8, estimated: Duration, measured: Duration) {
        if estimated >= SHORTEST {
            let level = level(priority);
            let ratio = measured.as_secs_f64() / estimated.as_secs_f64();
            self.recorded[level] = now;
            self.ratios[level].record(Duration::from_secs_f64(ratio.min(100.0)));
        }
    }
}

fn level(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
