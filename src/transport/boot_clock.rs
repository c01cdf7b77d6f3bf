//! The clock for leases, tickets and deadlines.

use {crate::state::clock::Time, std::sync::OnceLock};

static ORIGIN: OnceLock<u64> = OnceLock::new();

/// Returns the time on `CLOCK_BOOTTIME` since the first call in this process.
///
/// Unlike `std::time::Instant`, this clock advances while the machine is
/// suspended, so a lease holder that was suspended finds its lease expired.
///
/// # Panics
///
/// Panics if the kernel has no `CLOCK_BOOTTIME`, which Linux has since 2.6.39.
pub fn now() -> Time {
    let boot = boot_micros();
    Time::from_micros(boot.saturating_sub(*ORIGIN.get_or_init(|| boot)))
}

fn boot_micros() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    u64::try_from(time.tv_sec).expect("boot time is not negative") * 1_000_000
        + u64::try_from(time.tv_nsec).expect("nanoseconds are not negative") / 1000
}
