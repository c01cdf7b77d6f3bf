//! Weighs engines by their speeds.

use {
    super::{
        Balancer, Pending,
        engine::Engine,
        speed::{Reference, Speed},
    },
    crate::state::{clock::Time, id},
};

/// An engine whose speed became significant or no longer is.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    pub endpoint: id::Endpoint,
    /// Time that the engine takes relative to its service, if that is significant.
    pub slowness: Option<f64>,
}

impl Balancer {
    /// Records the first event of a prompt in the estimates of its engine.
    pub(super) fn record_speed(&mut self, now: Time, pending: &Pending) {
        let engine = self.engines.get_mut(&pending.endpoint);
        let (Some(reference), Some(engine)) = (&mut self.reference, engine) else {
            return;
        };
        let speed = &mut engine.speed;

        if reference.record(now, speed, pending.tokens, pending.placed) {
            self.speed_changes.push(SpeedChange {
                endpoint: pending.endpoint.clone(),
                slowness: engine.speed.significant(),
            });
        }

        let speeds = self.engines.values_mut().map(|engine| &mut engine.speed);
        reference.centre(speeds);
    }

    /// Sets whether the speeds of the engines are estimated.
    pub fn estimate_speeds(&mut self, enabled: bool) {
        if enabled != self.reference.is_some() {
            self.reference = enabled.then(Reference::default);

            for engine in self.engines.values_mut() {
                engine.speed = Speed::default();
            }
        }
    }

    /// Returns the engines whose speed became significant or no longer is, since the
    /// last call.
    pub fn take_speed_changes(&mut self) -> Vec<SpeedChange> {
        std::mem::take(&mut self.speed_changes)
    }

    /// Returns the time that an engine takes relative to its service.
    pub(super) fn slowness(&self, now: Time, engine: &Engine) -> f64 {
        if self.reference.is_some() {
            engine.speed.slowness(now)
        } else if engine.health.is_slow() {
            engine.health.latency_ratio()
        } else {
            1.0
        }
    }
}
