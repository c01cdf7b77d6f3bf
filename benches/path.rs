//! Measures the built daemon end to end: hosts run as processes on loopback, and
//! the stand-ins of the platform run in this process.
//!
//! `cargo bench --bench path` runs every part in less than 90 s and prints
//! tables; `cargo bench --bench path -- NAME` runs the parts whose name
//! contains NAME. `PERSIMMONCLEATD=FILE` measures another build of the daemon.
//! Times depend on the machine and its load, so compare only figures of the same
//! run.

#[path = "path/burst.rs"]
mod burst;
#[path = "path/caller.rs"]
mod caller;
#[path = "path/deployment.rs"]
mod deployment;
#[path = "path/idle.rs"]
mod idle;
#[path = "path/latency.rs"]
mod latency;
#[path = "path/memory.rs"]
mod memory;
#[path = "path/process.rs"]
mod process;
#[path = "path/sample.rs"]
mod sample;
#[path = "path/throughput.rs"]
mod throughput;
#[path = "path/witness.rs"]
mod witness;

use std::{env, fs, thread, time::Instant};

const PARTS: [(&str, fn()); 6] = [
    ("latency", latency::run),
    ("throughput", throughput::run),
    ("witness", witness::run),
    ("memory", memory::run),
    ("burst", burst::run),
    ("idle", idle::run),
];

fn main() {
    let started = Instant::now();
    let filter = env::args()
        .skip(1)
        .find(|argument| !argument.starts_with('-'))
        .unwrap_or_default();
    let cores = thread::available_parallelism().map_or(0, usize::from);
    println!("{cores} cores; load averages before: {}", load());

    for (name, run) in PARTS {
        if name.contains(&filter) {
            run();
        }
    }

    println!("\nload averages after: {}", load());
    println!("took {:.0} s", started.elapsed().as_secs_f64());
}

/// Returns the load averages of the machine over 1, 5 and 15 minutes.
fn load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .take(3)
        .collect::<Vec<&str>>()
        .join(" ")
}
