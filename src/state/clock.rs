//! The time type of the scheduling logic.

use {
    serde::{Deserialize, Serialize},
    std::{ops::Add, time::Duration},
};

/// A point in time on one host's boot-time clock, in microseconds.
///
/// Each process has its own zero. Times of different hosts are never compared;
/// hosts exchange only durations.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    pub const ZERO: Self = Self(0);

    /// Returns the time `micros` microseconds after this clock's zero.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the time `millis` milliseconds after this clock's zero.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns the microseconds since this clock's zero.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration from `earlier` to this time, or zero if `earlier`
    /// is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Time {
    /// Returns the time `duration` before this one, but never before the
    /// clock's zero.
    pub fn before(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
