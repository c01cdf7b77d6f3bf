//! Records the requests of one run and computes its figures.

use {
    crate::{
        deployment::{Deployment, TEAMS},
        fake_endpoint::{Cost, Key},
        scenario::{BURST_END_S, FAULT_S, Scenario, WARM_UP_S},
        traffic::Call,
    },
    std::collections::{BTreeMap, HashMap, HashSet},
};

/// Attainment of a window, relative to the attainment before the burst, at
/// which the system counts as recovered.
const RECOVERED: f64 = 0.95;
/// Length of the window in which the backlog's share of the engines is
/// measured.
const SHARE_WINDOW_MS: f64 = 6000.0;

/// Whether and how a request has ended. `Answered` holds the time of its
/// answer in milliseconds.
#[derive(Clone, Copy, Debug)]
pub enum Status {
    Answered(f64),
    Failed,
    Open,
    Refused,
}

/// The progress of a request.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub accepted: bool,
    pub status: Status,
    /// Time at which the current stage became ready.
    pub ready_ms: f64,
    pub stage: usize,
}

/// The call, its class and the pool of a dispatched attempt.
struct Sent {
    call: usize,
    class: &'static str,
    pool: &'static str,
}

/// The outcome of a run. [`Outcome::finish`] computes `figures`.
pub struct Outcome {
    attempts: u64,
    costs: BTreeMap<&'static str, Cost>,
    draft_seconds: f64,
    pub entries: Vec<Entry>,
    pub figures: BTreeMap<String, f64>,
    longest_wait_ms: f64,
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
            entries: Vec::new(),
            figures: BTreeMap::new(),
            longest_wait_ms: 0.0,
            other_seconds: 0.0,
            scenario,
            sent: HashMap::new(),
            stages: HashSet::new(),
        };
        (0..calls).for_each(|_| outcome.add_call());
        outcome
    }

    pub fn arrive(&mut self, call: usize, now_ms: f64) {
        self.entries[call].ready_ms = now_ms;
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

    pub fn add_call(&mut self) {
        self.entries.push(Entry {
            accepted: false,
            status: Status::Open,
            ready_ms: 0.0,
            stage: 0,
        });
    }

    pub fn start(&mut self, key: Key, now_ms: f64) {
        if let Some(sent) = self.sent.get(&key) {
            let wait_ms = now_ms - self.entries[sent.call].ready_ms;
            self.longest_wait_ms = self.longest_wait_ms.max(wait_ms);
        }
    }

    /// Computes the figures from the requests that arrived after the warm-up.
    pub fn finish(&mut self, calls: &[Call], deployment: &Deployment) {
        let counted: Vec<usize> = (0..calls.len())
            .filter(|call| calls[*call].original && calls[*call].at_ms >= WARM_UP_S * 1000.0)
            .collect();
        let fraction = |all: &[usize], holds: &dyn Fn(usize) -> bool| {
            let good = all.iter().filter(|call| holds(**call)).count();
            good as f64 / (all.len() as f64).max(1.0)
        };
        let in_time = |call: usize| match self.entries[call].status {
            Status::Answered(at) => at <= calls[call].at_ms + calls[call].deadline_ms,
            _ => false,
        };
        let refused = |call: usize| matches!(self.entries[call].status, Status::Refused);
        let mut figures = BTreeMap::new();
        let mut set = |name: &str, value: f64| {
            figures.insert(name.to_owned(), value);
        };

        let accepted: Vec<usize> = counted
            .iter()
            .copied()
            .filter(|call| self.entries[*call].accepted)
            .collect();
        set("attained", fraction(&counted, &in_time));
        set("kept", fraction(&accepted, &in_time));
        set("refused", fraction(&counted, &refused));
        set(
            "late",
            fraction(&counted, &|call| !refused(call) && !in_time(call)),
        );

        for (index, kind) in deployment.request_kinds.iter().enumerate() {
            let of_class: Vec<usize> = counted
                .iter()
                .copied()
                .filter(|call| calls[*call].kind_index == index)
                .collect();
            set(
                &format!("class {}", kind.class),
                fraction(&of_class, &in_time),
            );
        }

        let worst = (0..TEAMS.len())
            .map(|team| {
                let of_team: Vec<usize> = counted
                    .iter()
                    .copied()
                    .filter(|call| calls[*call].team == team)
                    .collect();
                fraction(&of_team, &in_time)
            })
            .fold(1.0, f64::min);
        set("worst", worst);

        let answered = (0..calls.len()).filter(|call| in_time(*call)).count() as f64;
        let all = self.costs.iter();

        for (pool, cost) in all {
            set(&format!("tokens {pool}"), cost.tokens / answered.max(1.0));
            set(&format!("seconds {pool}"), cost.seconds / answered.max(1.0));
        }

        set("age", self.longest_wait_ms / 1000.0);
        set(
            "attempts",
            self.attempts as f64 / (self.stages.len() as f64).max(1.0),
        );
        let engines = (self.draft_seconds + self.other_seconds).max(1e-9);
        set("drafts", self.draft_seconds / engines);

        if self.scenario.has_burst() {
            set("recovery", self.recovery(calls, &counted, &in_time));
        }

        self.figures = figures;
    }

    /// Returns the seconds after the burst until every further one-second window
    /// reaches the fraction [`RECOVERED`] of the attainment before the burst.
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
        let (from, to) = (WARM_UP_S as usize, FAULT_S as usize);
        let before = sum(&good[from..to]) / sum(&all[from..to]).max(1.0);
        let first = BURST_END_S as usize;
        let bad = (first..windows).rfind(|window| {
            all[*window] > 0.0 && good[*window] / all[*window] < RECOVERED * before
        });

        bad.map_or(0.0, |window| (window + 1 - first) as f64)
    }
}
