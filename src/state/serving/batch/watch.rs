//! Watches calls: what their ends say of an endpoint, and which of them take
//! too long.

use {
    crate::state::{
        clock::Time,
        serving::{
            batch::{Call, CallOutcome, Dispatcher, MAX_ATTEMPTS, endpoint_state::EndpointState},
            piece,
        },
    },
    std::time::Duration,
};

/// Time of a call, relative to the expected one, after which its pieces are
/// given to another endpoint as well.
const STRAGGLER_RATIO: f64 = 2.0;

/// Added to the straggler's time, for the way to the endpoint and back.
const STRAGGLER_MARGIN: Duration = Duration::from_millis(150);

impl Dispatcher {
    pub(super) fn hedge(&mut self, now: Time) {
        for call in self.calls.values_mut() {
            let elapsed = now.since(call.sent);
            let bound = call.expected.mul_f64(STRAGGLER_RATIO) + STRAGGLER_MARGIN;

            if call.is_straggler || elapsed < bound {
                continue;
            }

            call.is_straggler = true;

            if let Some(state) = self.endpoints.get_mut(&call.endpoint) {
                let ratio = elapsed.as_secs_f64() / call.expected.as_secs_f64();
                state.health.record_elapsed(ratio);
                state.health.record_failure(now);
            }

            for (id, piece) in &call.items {
                if let Some(active) = self.active_jobs.get_mut(id) {
                    let piece_state = &active.pieces[*piece];
                    let needs_hedge =
                        piece_state.output.is_none() && piece_state.attempts < MAX_ATTEMPTS;
                    active.queue(*piece, needs_hedge);
                }
            }
        }
    }

    /// Returns the incarnation of the endpoint that has the call.
    fn state_of(&mut self, call: &Call) -> Option<&mut EndpointState> {
        let state = self.endpoints.get_mut(&call.endpoint)?;
        (state.entry.incarnation == call.incarnation).then_some(state)
    }

    /// Accounts for the outputs that a call has made.
    pub(super) fn record_outputs(&mut self, now: Time, call: &Call, outcome: &CallOutcome) {
        let pool = self.pool.clone();
        let retention = pool.retention;
        let Some(state) = self.state_of(call) else {
            return;
        };
        state.reserved = state.reserved.saturating_sub(call.bytes.iter().sum());

        if let CallOutcome::Answered(results) = outcome {
            for (result, bytes) in results.iter().zip(&call.bytes) {
                if let piece::Result::Done(handle) = result {
                    let expiry = now + retention;
                    state.stored.insert(handle.clone(), (*bytes, expiry));
                }
            }

            if results.contains(&piece::Result::NoSpace) {
                state.remote_use = (state.free_storage_without_remote(&pool), now);
            }
        }
    }

    pub(super) fn record_health(&mut self, now: Time, call: &Call, outcome: &CallOutcome) {
        let Some(state) = self.state_of(call) else {
            return;
        };
        state.calls = state.calls.saturating_sub(1);

        match outcome {
            CallOutcome::Answered(_) => {
                let elapsed = now.since(call.sent).as_secs_f64();
                state
                    .health
                    .record_success(elapsed / call.expected.as_secs_f64());
            }
            CallOutcome::Broken => {
                state.health.record_failure(now);
            }
            CallOutcome::Full => state.health.record_full(now),
            CallOutcome::Replaced | CallOutcome::Unreachable => {
                state.health.record_unreachable(now)
            }
        }
    }
}
