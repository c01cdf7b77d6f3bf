//! Limits the retries and hedges of a pool.

use crate::state::tuning::Tuning;

/// A token bucket: successful calls add to it, and each retry or hedge takes
/// one token.
///
/// A new budget holds one token, so that the first failure in a pool can be
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
    /// Adds `budget_ratio` tokens for a successful call, up to `budget_cap`.
    pub fn deposit(&mut self, tuning: &Tuning) {
        self.tokens = (self.tokens + tuning.budget_ratio).min(tuning.budget_cap);
    }

    /// Takes one token and returns whether there was one. Always returns `true`
    /// if budgets are switched off.
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
