//! Decides which headroom a host reports: the part of its processor time that is
//! unused, in percent.
//!
//! A report changes the order of dispatchers and the answers of the directory, so
//! it has few steps and leaves one only after that has been wrong for some time.

use {crate::state::clock::Time, std::time::Duration};

/// Distance between two steps, in percent.
const STEP: f64 = 25.0;

/// Distance from the reported step at which it is wrong, in percent. At half a step
/// a host at the border between two steps would change its report all the time.
const WRONG_DISTANCE: f64 = 17.5;

/// The lowest report. With none, the host would get no callers at all, and 0 stands
/// for a host that does not report.
const LOWEST: u8 = 1;

/// Time for which a step must be too high before a lower one is reported. After a
/// burst of half a second, the average is too high for one second.
const FALL_DELAY: Duration = Duration::from_millis(1500);

/// Time for which a step must be too low before a higher one is reported. It is
/// longer than the other, since a host that gives up work seems to have room for it.
const RISE_DELAY: Duration = Duration::from_secs(3);

/// Time constant of the moving average. Processor time is granted in periods of
/// 100 ms, so shorter intervals say little.
const AVERAGE_TIME: Duration = Duration::from_millis(500);

/// Lateness of a timer that does not count. Timers have a resolution of a
/// millisecond, and one request may take a few of them.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(5);

/// What was measured since the sample before.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub elapsed: Duration,
    /// How much later than due the timer of the traffic thread woke up.
    pub lateness: Duration,
    /// Processor time that the process used.
    pub used: Duration,
}

/// A change of the report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// Part of the time by which timers are late, in percent.
    pub late: u8,
    /// The new report, in percent.
    pub report: u8,
    /// Part of the processor time that is used, in percent.
    pub used: u8,
}

/// How long the reported step has been wrong.
#[derive(Clone, Copy, Debug)]
struct Wrong {
    since: Time,
    too_high: bool,
}

/// The headroom of this host.
#[derive(Clone, Debug)]
pub struct Headroom {
    /// Processor time that the process may use, in cores, if it is known.
    cores: Option<f64>,
    /// Moving average of the part of the time by which timers are late.
    late: f64,
    reported: Option<u8>,
    /// Moving average of the part of the processor time that is used.
    used: f64,
    wrong: Option<Wrong>,
}

impl Headroom {
    /// Creates the headroom of an idle host.
    pub fn new(cores: Option<f64>) -> Self {
        Self {
            cores,
            late: 0.0,
            reported: None,
            used: 0.0,
            wrong: None,
        }
    }

    /// Records a sample, and returns the report if it changes.
    pub fn record(&mut self, now: Time, sample: Sample) -> Option<Change> {
        self.average(sample);
        let unused = 100.0 * (1.0 - self.used.max(self.late)).clamp(0.0, 1.0);
        let Some(reported) = self.reported else {
            return Some(self.report(unused));
        };
        let step = if reported == LOWEST {
            0.0
        } else {
            f64::from(reported)
        };

        if (unused - step).abs() <= WRONG_DISTANCE {
            self.wrong = None;
            return None;
        }

        let too_high = unused < step;
        let known = self.wrong.filter(|wrong| wrong.too_high == too_high);
        let wrong = known.unwrap_or(Wrong {
            since: now,
            too_high,
        });
        let delay = if too_high { FALL_DELAY } else { RISE_DELAY };
        self.wrong = Some(wrong);
        (now.since(wrong.since) >= delay).then(|| self.report(unused))
    }

    fn average(&mut self, sample: Sample) {
        let elapsed = sample.elapsed.as_secs_f64();

        if elapsed <= 0.0 {
            return;
        }

        let weight = 1.0 - (-elapsed / AVERAGE_TIME.as_secs_f64()).exp();
        let lateness = sample.lateness.saturating_sub(LATENESS_TOLERANCE);
        let late = lateness.as_secs_f64() / elapsed;
        self.late += weight * (late.min(1.0) - self.late);

        if let Some(cores) = self.cores.filter(|cores| *cores > 0.0) {
            let used = sample.used.as_secs_f64() / (elapsed * cores);
            self.used += weight * (used.min(1.0) - self.used);
        }
    }

    fn report(&mut self, unused: f64) -> Change {
        let step = (unused / STEP).round() * STEP;
        let report = (step as u8).max(LOWEST);
        self.reported = Some(report);
        self.wrong = None;
        Change {
            late: (self.late * 100.0) as u8,
            report,
            used: (self.used * 100.0) as u8,
        }
    }
}
