//! Accounts for the admitted work of one pool that has not started yet.

use {
    crate::state::{
        clock::Time,
        drain::{Drain, Group},
        fair_queue::Flow,
        id,
        rate::Rate,
    },
    std::{collections::HashMap, time::Duration},
};

/// Time constant of the smoothed rates of arriving and refused work.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Average number of calls of higher-priority work above which the pool counts
/// as contested.
const CONTESTED_CALLS: f64 = 0.1;
/// Number of priority levels.
const PRIORITIES: usize = 10;
/// Work below this many seconds is treated as a rounding error.
const EPSILON_SECONDS: f64 = 1e-7;
/// Maximum fraction of a pool that is assumed to be reserved for other classes.
const MAX_RESERVED: f64 = 0.9;

/// A number of items and their total work in endpoint-seconds.
#[derive(Debug, Default)]
struct WorkTotal {
    items: u32,
    work: f64,
}

impl WorkTotal {
    fn group(&self) -> Group {
        Group {
            count: f64::from(self.items),
            service: self.work / f64::from(self.items),
        }
    }
}

/// The pending work of a class that has a guaranteed share, in
/// endpoint-seconds.
#[derive(Debug, Default)]
struct Reserve {
    items: u32,
    share: u8,
    work: f64,
}

/// Tracks pending work in endpoint-seconds by priority, team and class. Unlike
/// the queue, it includes requests that are still in an earlier stage.
#[derive(Debug)]
pub struct Ledger {
    flows: HashMap<(id::Team, id::Class), WorkTotal>,
    /// Sum of the reserved shares of classes with pending work, in percent.
    reserved: u32,
    /// Added work by priority, in endpoint-seconds per second.
    rates: [Rate; PRIORITIES],
    /// Refused work by priority, in endpoint-seconds per second.
    refused: [Rate; PRIORITIES],
    reserves: HashMap<id::Class, Reserve>,
    /// Calls in progress by priority.
    running: [WorkTotal; PRIORITIES],
    /// Sum of the weights of flows with pending work, by priority.
    weights: [u64; PRIORITIES],
    /// Pending work by priority.
    work: [f64; PRIORITIES],
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            rates: std::array::from_fn(|_| Rate::new(RATE_WINDOW)),
            refused: std::array::from_fn(|_| Rate::new(RATE_WINDOW)),
            reserved: 0,
            reserves: HashMap::new(),
            running: Default::default(),
            weights: [0; PRIORITIES],
            work: [0.0; PRIORITIES],
        }
    }
}

impl Ledger {
    /// Adds the pending work of one item, in endpoint-seconds.
    pub fn add(&mut self, now: Time, flow: &Flow, work: f64) {
        let priority = priority_index(flow);
        self.rates[priority].add(now, work);
        let key = (flow.team.clone(), flow.class.clone());
        let total = self.flows.entry(key).or_default();

        if total.items == 0 {
            self.weights[priority] += u64::from(flow.weight.max(1));
        }

        total.items += 1;
        total.work += work;
        self.work[priority] += work;

        if flow.share > 0 {
            let reserve = self.reserves.entry(flow.class.clone()).or_default();

            if reserve.items == 0 {
                reserve.share = flow.share;
                self.reserved += u32::from(flow.share);
            }

            reserve.items += 1;
            reserve.work += work;
        }
    }

    /// Returns how many calls, besides those in progress, work of a higher
    /// priority is expected to run, estimated from its arrival rate. `headroom` is
    /// the safety margin as a multiple of the square root of the expected calls.
    pub fn higher_priority_calls(&self, now: Time, priority: u8, headroom: f64) -> f64 {
        let above = usize::from(priority).min(PRIORITIES - 1) + 1;
        let rates = self.rates[above..].iter();
        let expected: f64 = rates.map(|rate| rate.at(now)).sum();
        let running: u32 = self.running[above..].iter().map(|group| group.items).sum();
        (expected + headroom * expected.sqrt() - f64::from(running)).max(0.0)
    }

    /// Returns whether work of a higher priority has been arriving recently.
    pub fn contested(&self, now: Time, priority: u8) -> bool {
        let above = usize::from(priority).min(PRIORITIES - 1) + 1;
        let rates = self.rates[above..].iter();
        rates.map(|rate| rate.at(now)).sum::<f64>() > CONTESTED_CALLS
    }

    /// Records refused work, in endpoint-seconds.
    pub fn record_refused(&mut self, now: Time, flow: &Flow, work: f64) {
        self.refused[priority_index(flow)].add(now, work);
    }

    /// Removes work that was added for this flow.
    pub fn remove(&mut self, flow: &Flow, work: f64) {
        let priority = priority_index(flow);
        let key = (flow.team.clone(), flow.class.clone());
        self.work[priority] = subtract(self.work[priority], work);

        if let Some(total) = self.flows.get_mut(&key) {
            total.items -= 1;
            total.work = subtract(total.work, work);

            if total.items == 0 {
                self.flows.remove(&key);
                self.weights[priority] -= u64::from(flow.weight.max(1));
            }
        }

        if flow.share > 0
            && let Some(reserve) = self.reserves.get_mut(&flow.class)
        {
            reserve.items -= 1;
            reserve.work = subtract(reserve.work, work);

            if reserve.items == 0 {
                self.reserved -= u32::from(reserve.share);
                self.reserves.remove(&flow.class);
            }
        }
    }

    /// Counts the start of a call with an expected service time in seconds.
    pub fn begin(&mut self, flow: &Flow, service: f64) {
        let group = &mut self.running[priority_index(flow)];
        group.items += 1;
        group.work += service;
    }

    /// Counts the end of a call; `service` must be the value passed to `begin`.
    pub fn end(&mut self, priority: u8, service: f64) {
        let group = &mut self.running[usize::from(priority).min(PRIORITIES - 1)];
        group.items -= 1;
        group.work = subtract(group.work, service);
    }

    /// Estimates the waiting time of a new item of the flow in seconds if `slots`
    /// calls run concurrently.
    ///
    /// Work of higher priority runs first, including work that is yet to arrive.
    /// Within its priority the flow waits for its own work at its weighted share
    /// of the calls, but never longer than for all work of the priority.
    pub fn wait(&self, now: Time, flow: &Flow, slots: f64) -> f64 {
        let priority = priority_index(flow);
        let key = (flow.team.clone(), flow.class.clone());
        let total = self.flows.get(&key);
        let own = total.map_or(0.0, |total| total.work);
        let weight = u64::from(flow.weight.max(1));
        let active = self.weights[priority] + total.map_or(weight, |_| 0);
        let fair = (own * ratio(active, weight)).min(self.work[priority]);
        let higher: f64 = self.work[priority + 1..].iter().sum();
        let reserve = self.reserves.get(&flow.class);
        let others_share = self.reserved - reserve.map_or(0, |reserve| u32::from(reserve.share));
        let rates = self.rates[priority + 1..].iter();
        let running: u32 = self.running.iter().map(|group| group.items).sum();
        let groups = self.running.iter().filter(|group| group.items > 0);
        let drain = Drain {
            free: (slots - f64::from(running)).max(0.0),
            groups: groups.map(WorkTotal::group).collect(),
            fraction: 1.0 - (f64::from(others_share) / 100.0).min(MAX_RESERVED),
            preferred_rate: rates.map(|rate| rate.at(now)).sum(),
        };
        let wait = drain.wait(higher + fair);

        if flow.share == 0 {
            return wait;
        }

        let share = f64::from(flow.share) / 100.0;
        let reserved = reserve.map_or(0.0, |reserve| reserve.work) / (slots * share);
        let refused = self.refused[priority + 1..].iter();

        // While more urgent work is being refused, it uses every call that is
        // not reserved for the class.
        if refused.map(|rate| rate.at(now)).sum::<f64>() > CONTESTED_CALLS {
            reserved
        } else {
            wait.min(reserved)
        }
    }
}

fn subtract(work: f64, removed: f64) -> f64 {
    let remaining = work - removed;
    if remaining < EPSILON_SECONDS {
        0.0
    } else {
        remaining
    }
}

fn priority_index(flow: &Flow) -> usize {
    usize::from(flow.priority).min(PRIORITIES - 1)
}

fn ratio(active: u64, weight: u64) -> f64 {
    active as f64 / weight as f64
}
