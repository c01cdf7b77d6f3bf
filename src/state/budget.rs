//! The retry budget of a pool.

use crate::state::tuning::Tuning;

/// A token bucket that successes fill and retries and hedges empty.
///
/// A new budget holds one token, so that the first failure of a pool may be
/// retried.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: 1.0 }
    }
}

impl RetryBudget {
    /// Adds what a success earns.
    pub fn deposit(&mut self, tuning: &Tuning) {
        self.tokens = (self.tokens + tuning.budget_ratio).min(tuning.budget_cap);
    }

    /// Takes one token if there is one.
    pub fn withdraw(&mut self, tuning: &Tuning) -> bool {
        if !tuning.budget {
            return true;
        }

        if self.tokens < 1.0 {
            return false;
        }

        self.tokens -= 1.0;
        true
    }
}
