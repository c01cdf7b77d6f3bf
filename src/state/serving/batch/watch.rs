//! Watches calls: what their ends say of an endpoint, and which of them take
//! too long.

use {
    crate::state::{
        clock::Time,
        serving::{
            batch::{ATTEMPTS, Call, CallOutcome, Dispatcher, node::Node},
            piece,
        },
    },
    std::time::Duration,
};

/// Time of a call, relative to the expected one, after which its pieces are
/// given to another endpoint as well.
const STRAGGLER: f64 = 2.0;

/// Added to the straggler's time, for the way to the endpoint and back.
const STRAGGLER_MARGIN: Duration = Duration::from_millis(150);

impl Dispatcher {
    pub(super) fn hedge(&mut self, now: Time) {
        for call in self.calls.values_mut() {
            let elapsed = now.since(call.sent);
            let bound = call.expected.mul_f64(STRAGGLER) + STRAGGLER_MARGIN;

            if call.straggles || elapsed < bound {
                continue;
            }

            call.straggles = true;

            if let Some(node) = self.nodes.get_mut(&call.endpoint) {
                let ratio = elapsed.as_secs_f64() / call.expected.as_secs_f64();
                node.health.record_elapsed(ratio);
                node.health.record_failure(now);
            }

            for (id, piece) in &call.items {
                if let Some(work) = self.works.get_mut(id) {
                    let slot = &work.pieces[*piece];
                    let again = slot.output.is_none() && slot.attempts < ATTEMPTS;
                    work.queue(*piece, again);
                }
            }
        }
    }

    /// Returns the incarnation of the endpoint that has the call.
    fn node_of(&mut self, call: &Call) -> Option<&mut Node> {
        let node = self.nodes.get_mut(&call.endpoint)?;
        (node.entry.incarnation == call.incarnation).then_some(node)
    }

    /// Accounts for the outputs that a call has made.
    pub(super) fn store(&mut self, now: Time, call: &Call, ending: &CallOutcome) {
        let pool = self.pool.clone();
        let retention = pool.retention;
        let Some(node) = self.node_of(call) else {
            return;
        };
        node.reserved = node.reserved.saturating_sub(call.bytes.iter().sum());

        if let CallOutcome::Answered(results) = ending {
            for (result, bytes) in results.iter().zip(&call.bytes) {
                if let piece::Result::Done(handle) = result {
                    let expiry = now + retention;
                    node.stored.insert(handle.clone(), (*bytes, expiry));
                }
            }

            if results.contains(&piece::Result::NoSpace) {
                node.foreign = (node.own_room(&pool), now);
            }
        }
    }

    pub(super) fn judge(&mut self, now: Time, call: &Call, ending: &CallOutcome) {
        let Some(node) = self.node_of(call) else {
            return;
        };
        node.calls = node.calls.saturating_sub(1);

        match ending {
            CallOutcome::Answered(_) => {
                let elapsed = now.since(call.sent).as_secs_f64();
                node.health
                    .record_success(elapsed / call.expected.as_secs_f64());
            }
            CallOutcome::Broken => {
                node.health.record_failure(now);
            }
            CallOutcome::Full => node.health.record_full(now),
            CallOutcome::Replaced | CallOutcome::Unreachable => node.health.record_unreachable(now),
        }
    }
}
