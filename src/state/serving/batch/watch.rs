//! Watches calls: what their ends say of an endpoint, and which of them take
//! too long.

use {
    crate::state::{
        clock::Time,
        serving::{
            batch::{ATTEMPTS, Call, Dispatcher, Ending, node::Node},
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
                node.health.outlast(ratio);
                node.health.fail(now);
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
    pub(super) fn store(&mut self, now: Time, call: &Call, ending: &Ending) {
        let pool = self.pool.clone();
        let retention = pool.retention;
        let Some(node) = self.node_of(call) else {
            return;
        };
        node.reserved = node.reserved.saturating_sub(call.bytes.iter().sum());

        if let Ending::Answered(results) = ending {
            for (result, bytes) in results.iter().zip(&call.bytes) {
                if let piece::Result::Done(handle) = result {
                    let expiry = now + retention;
                    node.stored.insert(handle.clone(), (*bytes, expiry));
                }
            }

            if results.contains(&piece::Result::Room) {
                node.foreign = (node.own_room(&pool), now);
            }
        }
    }

    pub(super) fn judge(&mut self, now: Time, call: &Call, ending: &Ending) {
        let Some(node) = self.node_of(call) else {
            return;
        };
        node.calls = node.calls.saturating_sub(1);

        match ending {
            Ending::Answered(_) => {
                let elapsed = now.since(call.sent).as_secs_f64();
                node.health.succeed(elapsed / call.expected.as_secs_f64());
            }
            Ending::Broken => {
                node.health.fail(now);
            }
            Ending::Full => node.health.full(now),
            Ending::Replaced | Ending::Unreachable => node.health.unreachable(now),
        }
    }
}
