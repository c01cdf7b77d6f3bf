//! Which engine of a pool is ordered to load the pool's model next.

use {
    crate::state::{clock::Time, id},
    std::{collections::BTreeMap, time::Duration},
};

/// Engines of one pool that load at a time. The weight store is rate-limited,
/// and an engine that loads serves nothing.
pub const MAX_CONCURRENT_LOADS: usize = 1;

/// How long a load may take before the engine is passed over for a while.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(120);

/// What the holder of a pool's lease is to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// The engine is to load the model.
    Order { engine: id::Endpoint, model: String },
    /// Every engine has the model, or enough of them are loading.
    Wait,
}

/// The rollout of one pool's model, kept by the holder of its lease.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    /// Engines that were ordered, by the time of the order.
    ordered: BTreeMap<id::Endpoint, (String, Time)>,
}

impl Rollout {
    /// Returns what to do, given the models that each engine has now.
    pub fn next(
        &mut self,
        now: Time,
        model: &str,
        engines: &BTreeMap<id::Endpoint, Vec<String>>,
    ) -> Next {
        let has = |models: &Vec<String>| models.iter().any(|name| name == model);

        self.ordered.retain(|engine, (ordered, _)| {
            ordered == model && engines.get(engine).is_some_and(|models| !has(models))
        });

        let loading = self
            .ordered
            .values()
            .filter(|(_, since)| now.since(*since) < LOAD_TIMEOUT)
            .count();

        if loading >= MAX_CONCURRENT_LOADS {
            return Next::Wait;
        }

        let engine = engines
            .iter()
            .filter(|(engine, models)| !has(models) && !self.ordered.contains_key(*engine))
            .map(|(engine, _)| engine)
            .next()
            .or_else(|| self.overdue(now));

        match engine.cloned() {
            Some(engine) => {
                self.ordered
                    .insert(engine.clone(), (model.to_string(), now));
                Next::Order {
                    engine,
                    model: model.to_string(),
                }
            }
            None => Next::Wait,
        }
    }

    /// Returns the engine whose order is longest overdue.
    fn overdue(&self, now: Time) -> Option<&id::Endpoint> {
        self.ordered
            .iter()
            .filter(|(_, (_, since))| now.since(*since) >= LOAD_TIMEOUT)
            .min_by_key(|(_, (_, since))| *since)
            .map(|(engine, _)| engine)
    }
}
