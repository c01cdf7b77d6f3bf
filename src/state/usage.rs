//! Latencies and costs of requests by team.

use {
    crate::state::id,
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Maximum number of separate histograms of a team, class and stage. With 2
/// digits and values up to 10 minutes a histogram takes up to 14 KB, so all of
/// them take 28 MB.
const MAX_HISTOGRAMS: usize = 2048;

/// Precision of recorded times in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Team, class and stage under which further times are recorded once the maximum
/// number of histograms is reached.
const OVERFLOW_NAME: &str = "(rest)";

/// Latency statistics of one team, class and stage.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Latency {
    pub class: id::Class,
    pub count: u64,
    pub max_ms: u64,
    pub p50_ms: u64,
    pub p95_ms: u64,
    pub p99_ms: u64,
    /// `None` for whole requests.
    pub stage: Option<id::Stage>,
    pub team: id::Team,
}

/// Cost of a stage for a team, including lost hedges and failed attempts.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Cost {
    pub endpoint_ms: u64,
    pub stage: id::Stage,
    pub team: id::Team,
    pub tokens: u64,
}

type Key = (id::Team, id::Class, Option<id::Stage>);

/// Latencies, costs and named counters since the process started.
#[derive(Debug, Default)]
pub struct Usage {
    costs: BTreeMap<(id::Team, id::Stage), (u64, u64)>,
    counters: BTreeMap<&'static str, u64>,
    times: BTreeMap<Key, Histogram<u64>>,
}

impl Usage {
    /// Increments a counter.
    pub fn count(&mut self, name: &'static str) {
        *self.counters.entry(name).or_default() += 1;
    }

    /// Returns the counters.
    pub fn counters(&self) -> &BTreeMap<&'static str, u64> {
        &self.counters
    }

    /// Adds the endpoint time and tokens of one attempt.
    pub fn record_cost(
        &mut self,
        team: &id::Team,
        stage: &id::Stage,
        tokens: u32,
        elapsed: Duration,
    ) {
        let key = (team.clone(), stage.clone());
        let (sum, millis) = self.costs.entry(key).or_default();
        *sum += u64::from(tokens);
        *millis += to_millis(elapsed);
    }

    /// Returns the costs by team and stage.
    pub fn costs(&self) -> Vec<Cost> {
        self.costs
            .iter()
            .map(|((team, stage), &(tokens, endpoint_ms))| Cost {
                endpoint_ms,
                stage: stage.clone(),
                team: team.clone(),
                tokens,
            })
            .collect()
    }

    /// Records the time of a stage, or of a whole request if `stage` is `None`.
    pub fn record_time(
        &mut self,
        team: &id::Team,
        class: &id::Class,
        stage: Option<&id::Stage>,
        elapsed: Duration,
    ) {
        let mut key = (team.clone(), class.clone(), stage.cloned());

        if self.times.len() >= MAX_HISTOGRAMS && !self.times.contains_key(&key) {
            key = (
                OVERFLOW_NAME.into(),
                OVERFLOW_NAME.into(),
                stage.map(|_| OVERFLOW_NAME.into()),
            );
        }

        let histogram = self.times.entry(key).or_insert_with(|| {
            Histogram::new(SIGNIFICANT_DIGITS).expect("a histogram of up to 5 digits is valid")
        });
        histogram.saturating_record(to_millis(elapsed));
    }

    /// Returns the latency statistics by team, class and stage.
    pub fn latencies(&self) -> Vec<Latency> {
        self.times
            .iter()
            .map(|((team, class, stage), times)| Latency {
                class: class.clone(),
                count: times.len(),
                max_ms: times.max(),
                p50_ms: times.value_at_quantile(0.5),
                p95_ms: times.value_at_quantile(0.95),
                p99_ms: times.value_at_quantile(0.99),
                stage: stage.clone(),
                team: team.clone(),
            })
            .collect()
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
