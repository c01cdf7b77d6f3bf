//! Reads the resource usage of a process from `/proc`.

use std::{fs, time::Duration};

/// Unit of processor times. `USER_HZ` of Linux is 100 on every architecture that
/// the daemon supports.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Page size of `/proc/PID/statm` on x86-64 and on the usual 64-bit Arm
/// kernels.
const PAGE_BYTES: u64 = 4096;

/// The resources that a process uses or has used since its start.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// User and system time together.
    pub processor: Duration,
    pub resident_bytes: u64,
    pub threads: u64,
}

impl Usage {
    /// Reads the usage of a process by its id.
    ///
    /// # Panics
    ///
    /// Panics if the process doesn't exist.
    pub fn of(process: u32) -> Self {
        let read = |name| fs::read_to_string(format!("/proc/{process}/{name}")).expect("a process");
        let stat = read("stat");
        let (_, after_name) = stat.rsplit_once(')').expect("a name in parentheses");
        let stat = numbers(after_name);
        let ticks = u32::try_from(stat[11] + stat[12]).expect("a short run");

        Self {
            processor: CLOCK_TICK * ticks,
            resident_bytes: numbers(&read("statm"))[1] * PAGE_BYTES,
            threads: stat[17],
        }
    }
}

/// Parses whitespace-separated fields. Fields that aren't counts are returned as
/// 0.
fn numbers(text: &str) -> Vec<u64> {
    text.split_whitespace()
        .map(|field| field.parse().unwrap_or(0))
        .collect()
}
