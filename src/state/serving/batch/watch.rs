//! Tracks calls: records their outcomes in the state of the endpoint and
//! hedges stragglers.

use {
    crate::state::{
        clock::Time,
        serving::{
            batch::{
                Call, CallOutcome, Dispatcher, MAX_ATTEMPTS, endpoint_state::EndpointState,
                find_job,
            },
            piece,
        },
    },
    std::{sync::Arc, time::Duration},
};

/// Duration of a call, relative to the expected one, after which its pieces
/// are also sent to another endpoint.
const STRAGGLER_RATIO: f64 = 2.0;

/// Added to the duration at which a call becomes a straggler, to cover the
/// network round trip.
const STRAGGLER_MARGIN: Duration = Duration::from_millis(150);

impl Dispatcher {
    /// Requeues the unfinished pieces of stragglers and records a failure of
    /// their endpoints.
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
                state.health.record_lower_bound(ratio);
                state
                    .pace
                    .record_lower_bound(now, call.ratio(now), call.load);
                state.health.record_failure(now);
            }

            for member in &call.items {
                if let Some(active) = find_job(&mut self.active_jobs, member) {
                    let piece_state = &active.pieces[member.piece];
                    let needs_hedge =
                        piece_state.output.is_none() && piece_state.attempts < MAX_ATTEMPTS;
                    active.queue(member.piece, needs_hedge);
                }
            }
        }
    }

    /// Returns the state of the endpoint that received the call, unless the
    /// endpoint was removed or has another incarnation by now.
    fn state_of(&mut self, call: &Call) -> Option<&mut EndpointState> {
        let state = self.endpoints.get_mut(&call.endpoint)?;
        (state.entry.incarnation == call.incarnation).then_some(state)
    }

    /// Replaces the storage reserved for a call by the outputs it produced. If
    /// the endpoint reported that it has no space, the storage that this
    /// dispatcher does not use is assumed to be taken by other dispatchers.
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

    /// Removes the call from the endpoint's calls in progress and records its
    /// outcome in the endpoint's health.
    pub(super) fn record_health(&mut self, now: Time, call: &Call, outcome: &CallOutcome) {
        let Some(state) = self.state_of(call) else {
            return;
        };
        let entry = Arc::clone(&state.entry);
        state.calls = state.calls.saturating_sub(1);

        match outcome {
            CallOutcome::Answered(_) => {
                let elapsed = now.since(call.sent).as_secs_f64();
                state.pace.record_call(now, call.ratio(now), call.load);
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

        match outcome {
            CallOutcome::Answered(_) | CallOutcome::Full => {
                self.cold.record_answer(now, &entry);
            }
            CallOutcome::Unreachable => self.cold.record_unreachable(now, &entry),
            CallOutcome::Broken | CallOutcome::Replaced => {}
        }
    }
}
