//! Work that is admitted and has not started yet, before one pool.

use {
    crate::state::{fair_queue::Flow, id},
    std::collections::HashMap,
};

/// Number of priorities.
const PRIORITIES: usize = 10;
/// Work below this many seconds is a rounding error.
const EPSILON_SECONDS: f64 = 1e-7;
/// Largest part of a pool that other classes' shares are taken to hold.
const MOST_RESERVED: f64 = 0.9;

#[derive(Debug, Default)]
struct Account {
    items: u32,
    work: f64,
}

#[derive(Debug, Default)]
struct Reserve {
    items: u32,
    share: u8,
    work: f64,
}

/// Work in endpoint-seconds by priority, team and class. Unlike the queue it
/// includes requests that are still in an earlier stage.
#[derive(Debug, Default)]
pub struct Ledger {
    flows: HashMap<(id::Team, id::Class), Account>,
    /// Sum of the shares of classes with work, in percent.
    reserved: u32,
    reserves: HashMap<id::Class, Reserve>,
    weights: [u64; PRIORITIES],
    work: [f64; PRIORITIES],
}

impl Ledger {
    /// Adds work.
    pub fn add(&mut self, flow: &Flow, work: f64) {
        let priority = level(flow);
        let key = (flow.team.clone(), flow.class.clone());
        let account = self.flows.entry(key).or_default();

        if account.items == 0 {
            self.weights[priority] += u64::from(flow.weight.max(1));
        }

        account.items += 1;
        account.work += work;
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

    /// Removes work that was added for the same flow.
    pub fn remove(&mut self, flow: &Flow, work: f64) {
        let priority = level(flow);
        let key = (flow.team.clone(), flow.class.clone());
        self.work[priority] = less(self.work[priority], work);

        if let Some(account) = self.flows.get_mut(&key) {
            account.items -= 1;
            account.work = less(account.work, work);

            if account.items == 0 {
                self.flows.remove(&key);
                self.weights[priority] -= u64::from(flow.weight.max(1));
            }
        }

        if flow.share > 0
            && let Some(reserve) = self.reserves.get_mut(&flow.class)
        {
            reserve.items -= 1;
            reserve.work = less(reserve.work, work);

            if reserve.items == 0 {
                self.reserved -= u32::from(reserve.share);
                self.reserves.remove(&flow.class);
            }
        }
    }

    /// Estimates how many seconds a new item of the flow waits when `slots`
    /// calls run at a time.
    ///
    /// Work of higher priority goes first. Within the priority the flow waits
    /// for its own work at its weighted share of the slots, but never longer
    /// than for all work of the priority.
    pub fn wait(&self, flow: &Flow, slots: f64) -> f64 {
        let priority = level(flow);
        let key = (flow.team.clone(), flow.class.clone());
        let account = self.flows.get(&key);
        let own = account.map_or(0.0, |account| account.work);
        let weight = u64::from(flow.weight.max(1));
        let active = self.weights[priority] + account.map_or(weight, |_| 0);
        let fair = (own * ratio(active, weight)).min(self.work[priority]);
        let higher: f64 = self.work[priority + 1..].iter().sum();
        let reserve = self.reserves.get(&flow.class);
        let kept = self.reserved - reserve.map_or(0, |reserve| u32::from(reserve.share));
        let free = 1.0 - (f64::from(kept) / 100.0).min(MOST_RESERVED);
        let wait = (higher + fair) / (slots * free);

        if flow.share == 0 {
            return wait;
        }

        let share = f64::from(flow.share) / 100.0;
        let reserved = reserve.map_or(0.0, |reserve| reserve.work);
        wait.min(reserved / (slots * share))
    }
}

fn less(work: f64, removed: f64) -> f64 {
    let rest = work - removed;
    if rest < EPSILON_SECONDS { 0.0 } else { rest }
}

fn level(flow: &Flow) -> usize {
    usize::from(flow.priority).min(PRIORITIES - 1)
}

fn ratio(active: u64, weight: u64) -> f64 {
    active as f64 / weight as f64
}
