//! Measures processor time and memory.

use {
    crate::allocation,
    rustix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// Returns the processor time that this thread has used.
pub fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}

/// Runs `work` and returns its result and the processor time that it took.
pub fn measure_cpu<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let before = thread_cpu_time();
    let result = work();
    (result, thread_cpu_time() - before)
}

/// Builds a value and returns it with the number of bytes that it keeps
/// allocated.
pub fn measure_bytes<T>(build: impl FnOnce() -> T) -> (T, usize) {
    let before = allocation::live_bytes();
    let value = build();
    (value, allocation::live_bytes().saturating_sub(before))
}

/// Returns the microseconds per unit.
pub fn micros_per(time: Duration, units: f64) -> f64 {
    time.as_secs_f64() * 1e6 / units
}

/// Converts a count to a float, saturating at `u32::MAX`.
pub fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
