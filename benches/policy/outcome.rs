//! What came of the requests of one run.

use {
    crate::{
        deployment::{Deployment, TEAMS},
        machine::{Cost, Key},
        scenario::{BURST_END_S, FAULT_S, Scenario, WARM_S},
        traffic::Call,
    },
    std::collections::{BTreeMap, HashMap, HashSet},
};

/// Attainment of a window, relative to that before the burst, from which the
/// system counts as recovered.
const RECOVERED: f64 = 0.95;
/// Window over which a backlog's share of the engines is measured.
const SHARE_WINDOW_MS: f64 = 6000.0;

#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Answered(f64),
    Failed,
    Open,
    Refused,
}

#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub accepted: bool,
    pub fate: Fate,
    pub ready_ms: f64,
    pub stage: usize,
}

struct Sent {
    call: usize,
    class: &'static str,
    pool: &'static str,
}

/// The outcome; after `finish` it is a list of named figures.
pub struct Outcome {
    attempts: u64,
    costs: BTreeMap<&'static str, Cost>,
    draft_seconds: f64,
    pub fates: Vec<Entry>,
    pub figures: BTreeMap<String, f64>,
    longest_ms: f64,
    other_seconds: f64,
    scenario: Scenario,
    sent: HashMap<Key, Sent>,
    stages: HashSet<(usize, usize)>,
}

impl Outcome {
    pub fn new(scenario: Scenario, calls: usize) -> Self {
        let mut outcome = Self {
            attempts: 0,
            costs: BTreeMap::new(),
            draft_seconds: 0.0,
            fates: Vec::new(),
            figures: BTreeMap::new(),
            longest_ms: 0.0,
            other_seconds: 0.0,
            scenario,
            sent: HashMap::new(),
            stages: HashSet::new(),
        };
        (0..calls).for_each(|_| outcome.extend());
        outcome
    }

    pub fn arrive(&mut self, call: usize, now_ms: f64) {
        self.fates[call].ready_ms = now_ms;
    }

    pub fn charge(&mut self, key: Key, cost: Cost, now_ms: f64) {
        let Some(sent) = self.sent.get(&key) else {
            return;
        };

        let total = self.costs.entry(sent.pool).or_default();
        total.seconds += cost.seconds;
        total.tokens += cost.tokens;

        let from_ms = FAULT_S * 1000.0 + 1000.0;

        if sent.pool == "generate" && (from_ms..from_ms + SHARE_WINDOW_MS).contains(&now_ms) {
            if sent.class == "volume" {
                self.draft_seconds += cost.seconds;
            } else {
                self.other_seconds += cost.seconds;
            }
        }
    }

    pub fn dispatch(
        &mut self,
        key: Key,
        call: usize,
        stage: usize,
        pool: &'static str,
        class: &'static str,
    ) {
        self.attempts += 1;
        self.stages.insert((call, stage));
        self.sent.insert(key, Sent { call, class, pool });
    }

    pub fn extend(&mut self) {
        self.fates.push(Entry {
            accepted: false,
            fate: Fate::Open,
            ready_ms: 0.0,
            stage: 0,
        });
    }

    pub fn start(&mut self, key: Key, now_ms: f64) {
        if let Some(sent) = self.sent.get(&key) {
            let waited = now_ms - self.fates[sent.call].ready_ms;
            self.longest_ms = self.longest_ms.max(waited);
        }
    }

    /// Computes the figures.
    pub fn finish(&mut self, calls: &[Call], deployment: &Deployment) {
        let counted: Vec<usize> = (0..calls.len())
            .filter(|call| calls[*call].original && calls[*call].at_ms >= WARM_S * 1000.0)
            .collect();
        let part = |all: &[usize], holds: &dyn Fn(usize) -> bool| {
            let good = all.iter().filter(|call| holds(**call)).count();
            good as f64 / (all.len() as f64).max(1.0)
        };
        let in_time = |call: usize| match self.fates[call].fate {
            Fate::Answered(at) => at <= calls[call].at_ms + calls[call].deadline_ms,
            _ => false,
        };
        let refused = |call: usize| matches!(self.fates[call].fate, Fate::Refused);
        let mut figures = BTreeMap::new();
        let mut set = |name: &str, value: f64| {
            figures.insert(name.to_owned(), value);
        };

        let accepted: Vec<usize> = counted
            .iter()
            .copied()
            .filter(|call| self.fates[*call].accepted)
            .collect();
        set("attained", part(&counted, &in_time));
        set("kept", part(&accepted, &in_time));
        set("refused", part(&counted, &refused));
        set(
            "late",
            part(&counted, &|call| !refused(call) && !in_time(call)),
        );

        for (index, work) in deployment.works.iter().enumerate() {
            let of_class: Vec<usize> = counted
                .iter()
                .copied()
                .filter(|call| calls[*call].work == index)
                .collect();
            set(&format!("class {}", work.class), part(&of_class, &in_time));
        }

        let worst = (0..TEAMS.len())
            .map(|team| {
                let of_team: Vec<usize> = counted
                    .iter()
                    .copied()
                    .filter(|call| calls[*call].team == team)
                    .collect();
                part(&of_team, &in_time)
            })
            .fold(1.0, f64::min);
        set("worst", worst);

        let answered = (0..calls.len()).filter(|call| in_time(*call)).count() as f64;
        let all = self.costs.iter();

        for (pool, cost) in all {
            set(&format!("tokens {pool}"), cost.tokens / answered.max(1.0));
            set(&format!("seconds {pool}"), cost.seconds / answered.max(1.0));
        }

        set("age", self.longest_ms / 1000.0);
        set(
            "attempts",
            self.attempts as f64 / (self.stages.len() as f64).max(1.0),
        );
        let engines = (self.draft_seconds + self.other_seconds).max(1e-9);
        set("drafts", self.draft_seconds / engines);

        if self.scenario.bursts() {
            set("recovery", self.recovery(calls, &counted, &in_time));
        }

        self.figures = figures;
    }

    /// Returns the seconds after the burst from which every one-second window
    /// attains what was attained before.
    fn recovery(&self, calls: &[Call], counted: &[usize], in_time: &dyn Fn(usize) -> bool) -> f64 {
        let windows = self.scenario.end_s() as usize;
        let mut good = vec![0.0; windows + 1];
        let mut all = vec![0.0; windows + 1];

        for call in counted {
            let window = (calls[*call].at_ms / 1000.0) as usize;
            all[window] += 1.0;
            good[window] += f64::from(u8::from(in_time(*call)));
        }

        let sum = |values: &[f64]| values.iter().sum::<f64>();
        let (from, to) = (WARM_S as usize, FAULT_S as usize);
        let before = sum(&good[from..to]) / sum(&all[from..to]).max(1.0);
        let first = BURST_END_S as usize;
        let bad = (first..windows).rfind(|window| {
            all[*window] > 0.0 && good[*window] / all[*window] < RECOVERED * before
        });

        bad.map_or(0.0, |window| (window + 1 - first) as f64)
    }
}
