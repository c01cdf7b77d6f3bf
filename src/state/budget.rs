//! The retry budget of a pool.

use crate::state::tuning::Tuning;

/// A token bucket that successes fill and retries and hedges empty.
///
/// A new budget holds one token, so that the first failure of a pool may be
/// retried.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: 1.0 }
    }
}

impl Budget {
    /// Adds what a success earns.
    pub fn earn(&mut self, tuning: &Tuning) {
        self.tokens = (self.tokens + tuning.budget_ratio).min(tuning.budget_cap);
    }

    /// Takes one token if there is one.
    pub fn take(&mut self, tuning: &Tuning) -> bool {
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
