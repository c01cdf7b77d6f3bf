//! The speeds of engines, from the times until their first events.
//!
//! An engine reads its prompts one after the other, so the time for one of them begins
//! with the first event before. A reference holds the time that the service needs for
//! a token of a prompt. Engines of all speeds contribute to it, and fast ones
//! more often than slow ones, so each time is divided by the speed that is known
//! of its engine before it counts. Each engine has two estimates relative to the
//! reference: a lasting one over tens of answers and a recent one, which decays
//! within a second.

use {
    crate::state::clock::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// Weight of the newest answer in the reference.
const REFERENCE_WEIGHT: f64 = 0.05;

/// Number of answers before which the reference is not used: the first ones may have
/// taken twice as long as others or half as long.
const MIN_REFERENCE: u32 = 20;

/// Number of answers over which the lasting estimate is averaged.
const MEMORY: f64 = 60.0;

/// Number of answers before which the lasting estimate is not used.
const MIN_ANSWERS: f64 = 20.0;

/// Deviation from the service, as a natural logarithm, that the lasting estimate
/// has to exceed with certainty: 20 %.
const SIGNIFICANT: f64 = 0.182;

/// Deviation below which a significant estimate is no longer used. It is below
/// `SIGNIFICANT` so that an estimate near that bound does not come and go.
const INSIGNIFICANT: f64 = 0.1;

/// Number of standard errors that the estimate has to exceed `SIGNIFICANT` by. With
/// 112 engines that are estimated anew with each answer, three keep equal engines
/// whose times vary by a factor of two below it.
const CERTAINTY: f64 = 3.0;

/// Lower bound of the variance of one answer's deviation, since few answers may
/// happen to agree.
const MIN_VARIANCE: f64 = 0.02;

/// Largest deviation that one answer contributes. Single answers take many times as
/// long when a caller reads slowly or a connection is lost.
const MAX_DEVIATION: f64 = 2.0;

/// Time without answers after which the lasting estimate decays, so that an engine
/// that was avoided for its speed is tried again.
const KEEP: Duration = Duration::from_secs(5);

/// Half-life of the lasting estimate without answers, in seconds.
const LASTING_HALF_LIFE: f64 = 10.0;

/// Weight of the newest answer in the trend, which shows that a slow engine has
/// recovered.
const TREND_WEIGHT: f64 = 0.2;

/// Number of answers that still count after a slow engine has recovered.
const RECOVERY_MEMORY: f64 = 4.0;

/// Half-life of the recent estimate, in seconds. An engine whose machine is shared
/// is slow for some tenths of a second at a time.
const RECENT_HALF_LIFE: f64 = 0.4;

/// Weight of the newest answer in the recent estimate.
const RECENT_WEIGHT: f64 = 0.9;

/// Recent deviation above which an engine is avoided: a factor of 1.6, which equal
/// engines whose times vary by a factor of two do not reach.
const SLOWED: f64 = 0.47;

/// Number of answers after which the engines' deviations are centred again.
const CENTRE_INTERVAL: u32 = 64;

/// The speed of one engine, relative to its service.
#[derive(Clone, Debug, Default)]
pub struct Speed {
    /// Number of answers, at most `MEMORY`.
    answers: f64,
    /// Mean of the deviations' squares.
    squares: f64,
    last: Time,
    /// Mean deviation from the reference, as a natural logarithm; positive for a slow
    /// engine.
    mean: f64,
    recent: f64,
    significant: bool,
    /// Moving average of the last few deviations.
    trend: f64,
    /// Prompts without a first event, oldest first: when they were placed, and their
    /// expected times in seconds.
    awaited: Vec<(Time, f64)>,
}

impl Speed {
    /// Returns the time that the engine takes relative to its service.
    pub fn slowness(&self, now: Time) -> f64 {
        let idle = now.since(self.last);
        // The decay is computed only where it matters, since every prompt asks for all
        // engines.
        let recent = if self.recent > SLOWED {
            self.recent_at(idle)
        } else {
            0.0
        };
        let recent = recent.max(self.overdue(now));
        let slowed = if recent > SLOWED { recent } else { 0.0 };
        let lasting = if self.significant {
            self.mean * decay(idle.saturating_sub(KEEP), LASTING_HALF_LIFE)
        } else {
            0.0
        };

        if slowed == 0.0 && lasting == 0.0 {
            return 1.0;
        }

        (slowed + lasting).exp()
    }

    /// Returns the deviation that the prompt that is being read shows already.
    fn overdue(&self, now: Time) -> f64 {
        let Some((placed, expected)) = self.awaited.first() else {
            return 0.0;
        };
        let elapsed = self.reading_time(now, *placed).as_secs_f64();

        if elapsed > *expected {
            (elapsed / expected).ln().min(MAX_DEVIATION)
        } else {
            0.0
        }
    }

    /// Returns the time for which the engine has read a prompt, if it is the next one.
    fn reading_time(&self, now: Time, placed: Time) -> Duration {
        now.since(placed.max(self.last))
    }

    /// Records that a prompt waits for its first event.
    fn expect(&mut self, placed: Time, expected: f64) {
        self.awaited.push((placed, expected * self.lasting().exp()));
    }

    /// Records that a prompt no longer waits.
    pub fn forget(&mut self, placed: Time) {
        let found = self.awaited.iter().position(|(time, _)| *time == placed);

        if let Some(position) = found {
            self.awaited.remove(position);
        }
    }

    /// Returns the lasting estimate if it is significant: the time that the engine
    /// takes relative to its service.
    pub fn significant(&self) -> Option<f64> {
        self.significant.then(|| self.mean.exp())
    }

    fn lasting(&self) -> f64 {
        if self.significant { self.mean } else { 0.0 }
    }

    fn recent_at(&self, idle: Duration) -> f64 {
        self.recent * decay(idle, RECENT_HALF_LIFE)
    }

    /// Records the deviation of an answer. Returns whether the significance of the
    /// estimate changed.
    fn record(&mut self, now: Time, deviation: f64) -> bool {
        let recent = self.recent_at(now.since(self.last));
        self.recent = recent + RECENT_WEIGHT * (deviation - self.lasting() - recent);
        self.last = now;
        self.answers = (self.answers + 1.0).min(MEMORY);
        let weight = 1.0 / self.answers;
        self.mean += weight * (deviation - self.mean);
        self.squares += weight * (deviation * deviation - self.squares);
        self.trend += TREND_WEIGHT * (deviation - self.trend);

        if self.significant && self.mean > 0.0 && self.trend < self.mean - SLOWED {
            self.answers = self.answers.min(RECOVERY_MEMORY);
        }

        let before = self.significant;
        self.significant = self.is_significant();
        before != self.significant
    }

    fn is_significant(&self) -> bool {
        if self.significant {
            return self.mean.abs() > INSIGNIFICANT;
        }

        if self.answers < MIN_ANSWERS {
            return false;
        }

        let variance = (self.squares - self.mean * self.mean).max(MIN_VARIANCE);
        let error = (variance / self.answers).sqrt();
        self.mean.abs() > SIGNIFICANT + CERTAINTY * error
    }

    /// Moves the zero of the deviations.
    fn shift(&mut self, offset: f64) {
        // E[(x - c)^2] = E[x^2] - 2cE[x] + c^2
        self.squares += offset * (offset - 2.0 * self.mean);
        self.mean -= offset;
        self.trend -= offset;
    }
}

/// The time that the engines of a service need, in seconds per token of work.
#[derive(Clone, Debug, Default)]
pub struct Reference {
    answers: u32,
    /// By the binary logarithm of the tokens.
    rates: BTreeMap<u32, Rate>,
}

/// The time that prompts of about the same size take.
#[derive(Clone, Copy, Debug)]
struct Rate {
    answers: u32,
    /// Seconds per token.
    mean: f64,
}

impl Rate {
    fn record(&mut self, deviation: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = REFERENCE_WEIGHT.max(1.0 / f64::from(self.answers));
        // In logarithms, so that engines of all speeds weigh the same.
        self.mean *= (weight * deviation).exp();
    }

    fn is_known(&self) -> bool {
        self.answers >= MIN_REFERENCE
    }
}

impl Reference {
    /// Records the first event of a prompt with `tokens` to read. Returns whether the
    /// significance of the engine's estimate changed.
    pub fn record(&mut self, now: Time, speed: &mut Speed, tokens: u64, placed: Time) -> bool {
        let tokens = tokens.max(1);
        let elapsed = speed.reading_time(now, placed).as_secs_f64();
        let rate = elapsed.max(1e-6) / tokens as f64;
        let expected = self.rates.entry(tokens.ilog2()).or_insert(Rate {
            answers: 0,
            mean: rate,
        });
        let deviation = (rate / expected.mean).ln();
        let deviation = deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        expected.record(deviation - speed.lasting());

        if !expected.is_known() {
            speed.last = now;
            return false;
        }

        self.answers += 1;
        speed.record(now, deviation)
    }

    /// Records a prompt with `tokens` to read, if the time for that is known.
    pub fn expect(&self, placed: Time, speed: &mut Speed, tokens: u64) {
        let tokens = tokens.max(1);

        let rate = self.rates.get(&tokens.ilog2());

        if let Some(rate) = rate.filter(|rate| rate.is_known()) {
            speed.expect(placed, rate.mean * tokens as f64);
        }
    }

    /// Moves the reference to the median engine from time to time: only the engines'
    /// relations are observed, so reference and deviations may drift together.
    pub fn centre<'a>(&mut self, speeds: impl Iterator<Item = &'a mut Speed>) {
        if self.answers < CENTRE_INTERVAL {
            return;
        }

        self.answers = 0;
        let mut known = speeds
            .filter(|speed| speed.answers >= MIN_ANSWERS)
            .collect::<Vec<&mut Speed>>();
        known.sort_by(|one, other| one.mean.total_cmp(&other.mean));
        let Some(median) = known.get(known.len() / 2).map(|speed| speed.mean) else {
            return;
        };

        for rate in self.rates.values_mut() {
            rate.mean *= median.exp();
        }

        for speed in known {
            speed.shift(median);
        }
    }
}

fn decay(time: Duration, half_life: f64) -> f64 {
    if time.is_zero() {
        return 1.0;
    }

    (-time.as_secs_f64() / half_life).exp2()
}
