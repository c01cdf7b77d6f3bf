//! The rate at which room becomes free.

use crate::state::serving::balance::room::Released;

/// Weight of the newest end of a request.
const WEIGHT: f64 = 0.02;

/// Number of ends before which the rate is unknown.
const MIN_ENDS: u32 = 10;

/// How long requests hold their room.
///
/// The rate follows from the room that is held now and the time for which it is held.
/// Counting the ends alone would show the load before a burst, which is lower than
/// what the engines can do.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Flow {
    ends: u32,
    share: f64,
    /// Shares times seconds.
    time: f64,
}

impl Flow {
    /// Records the end of a request.
    pub fn record(&mut self, released: Released) {
        self.ends = self.ends.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.ends));
        let time = released.share * released.time.as_secs_f64();
        self.share += weight * (released.share - self.share);
        self.time += weight * (time - self.time);
    }

    /// Returns the shares of engines that become free in a second while `held` are in
    /// use; 0 if that is unknown.
    pub fn rate(&self, held: f64) -> f64 {
        if self.ends < MIN_ENDS || self.time <= 0.0 {
            return 0.0;
        }

        held * self.share / self.time
    }
}
