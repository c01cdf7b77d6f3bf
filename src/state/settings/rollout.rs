//! Rollout of a pool's model to its engines.

use {
    crate::state::{clock::Time, id},
    std::{collections::BTreeMap, time::Duration},
};

/// Maximum number of engines of one pool that load a model at a time. The
/// weight store is rate-limited, and an engine serves no requests while it
/// loads.
pub const MAX_CONCURRENT_LOADS: usize = 1;

/// Time after which a load counts as overdue. Other engines are then ordered
/// before the overdue one is ordered again.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Next action for the holder of the pool's lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// Order the engine to load the model.
    Order { engine: id::Endpoint, model: String },
    /// Every engine has the model, or the maximum number are loading.
    Wait,
}

/// State of the rollout in one pool, kept by the holder of its lease.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    /// Engines with an open load order: the model and the time of the order.
    ordered: BTreeMap<id::Endpoint, (String, Time)>,
}

impl Rollout {
    /// Returns the next action, given the models that each engine has loaded.
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

    /// Returns the engine whose load order has been overdue for longest.
    fn overdue(&self, now: Time) -> Option<&id::Endpoint> {
        self.ordered
            .iter()
            .filter(|(_, (_, since))| now.since(*since) >= LOAD_TIMEOUT)
            .min_by_key(|(_, (_, since))| *since)
            .map(|(engine, _)| engine)
    }
}
