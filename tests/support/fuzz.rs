//! Configuration that the state machine tests share.

use proptest::test_runner::{Config, RngSeed};

/// Number of transitions in one case.
pub const TRANSITIONS: usize = 100;

/// Fixed seed of the generators, so that a failing run can be reproduced.
pub const SEED: u64 = 0x5eed_0008;

/// Returns the configuration of a test. The environment variable
/// `PERSIMMON_FUZZ_CASES` overrides the number of cases.
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

/// Prints the seed and the size of the run, which reproduce it.
pub fn announce(config: &Config) {
    let cases = config.cases;
    println!("seed {SEED:#x}, {cases} cases of {TRANSITIONS} transitions");
}
