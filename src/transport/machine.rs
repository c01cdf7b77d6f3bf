//! What the operating system says of the machine.

use std::fs;

/// Memory that is assumed if the operating system does not report any, in bytes.
const DEFAULT_MEMORY: usize = 256_000_000;

/// Returns the memory of the machine, in bytes.
pub fn memory() -> usize {
    let path = "/proc/meminfo";
    let text = fs::read_to_string(path).unwrap_or_else(|error| {
        log::warn!("cannot read {path}: {error}");
        String::new()
    });

    total(&text).unwrap_or_else(|| {
        log::warn!(bytes = DEFAULT_MEMORY; "the machine's memory is not known");
        DEFAULT_MEMORY
    })
}

fn total(text: &str) -> Option<usize> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kibibytes = line.trim().strip_suffix("kB")?;
    kibibytes.trim().parse::<usize>().ok()?.checked_mul(1024)
}
