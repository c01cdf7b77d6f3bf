//! Settings of the state machine tests.

use proptest::test_runner::{Config, RngSeed};

/// Number of transitions in one case.
pub const TRANSITIONS: usize = 100;

/// Seed of every run, so that a failure repeats.
pub const SEED: u64 = 0x5eed_0008;

/// Runs as many cases as `PERSIMMON_FUZZ_CASES` says, else `cases`.
pub fn config(cases: u32) -> Config {
    let cases = std::env::var("PERSIMMON_FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(cases);

    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}

/// Prints what a run repeats.
pub fn announce(config: &Config) {
    let cases = config.cases;
    println!("seed {SEED:#x}, {cases} cases of {TRANSITIONS} transitions");
}
