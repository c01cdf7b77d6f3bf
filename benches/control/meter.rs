//! Measures what a piece of work takes.

use {
    crate::allocation,
    rustix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// Returns the processor time of this thread.
pub fn cpu() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}

/// Runs work and returns its result and the processor time it took.
pub fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let before = cpu();
    let result = work();
    (result, cpu() - before)
}

/// Builds a value and returns it with the bytes that it holds.
pub fn weighed<T>(build: impl FnOnce() -> T) -> (T, usize) {
    let before = allocation::live();
    let value = build();
    (value, allocation::live().saturating_sub(before))
}

/// Returns microseconds per unit.
pub fn micros_per(time: Duration, units: f64) -> f64 {
    time.as_secs_f64() * 1e6 / units
}

/// Converts a count for arithmetic.
pub fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
