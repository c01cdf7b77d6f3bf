//! One host's share of the fleet's retry budget.
//!
//! Within a window, the fleet may send `ratio` retries per request, plus
//! `slack` retries. To stay within this budget without coordination, each host
//! uses the ratio of its own requests and an equal share of the slack.

use {
    crate::state::clock::Time,
    std::{collections::VecDeque, time::Duration},
};

/// Fraction of the budget that is used. The rest covers requests that a host
/// counts but that never reach an endpoint, and hosts that restart with an
/// empty window.
const USABLE_SHARE: f64 = 0.6;

/// Number of steps in the sliding window.
const STEPS: u32 = 20;

/// The bounds of the fleet's budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in a window regardless of requests, in the whole fleet.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// The requests and retries in one step of the window.
#[derive(Clone, Copy, Debug)]
struct Step {
    requests: u32,
    retries: u32,
    start: Time,
}

/// The requests and retries of one service in the sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    steps: VecDeque<Step>,
}

impl RetryBudget {
    /// Records `count` requests.
    pub fn record_requests(&mut self, now: Time, bounds: &Bounds, count: u32) {
        self.step(now, bounds).requests += count;
    }

    /// Returns whether this host's share of the budget allows `count` more
    /// retries in a fleet of `hosts` hosts.
    pub fn can_withdraw(&mut self, now: Time, bounds: &Bounds, hosts: usize, count: u32) -> bool {
        let slack = bounds.slack / hosts.max(1) as f64;
        self.step(now, bounds);
        let requests = self.steps.iter().map(|step| step.requests).sum::<u32>();
        let retries = self.steps.iter().map(|step| step.retries).sum::<u32>();
        let limit = USABLE_SHARE * (bounds.ratio * f64::from(requests) + slack);
        f64::from(retries + count) <= limit
    }

    /// Records `count` retries if this host's share of the budget allows them
    /// in a fleet of `hosts` hosts. Returns whether it does.
    pub fn withdraw(&mut self, now: Time, bounds: &Bounds, hosts: usize, count: u32) -> bool {
        let allowed = self.can_withdraw(now, bounds, hosts, count);

        if allowed {
            self.step(now, bounds).retries += count;
        }

        allowed
    }

    /// Returns the current step, after removing those that left the window.
    fn step(&mut self, now: Time, bounds: &Bounds) -> &mut Step {
        let length = bounds.window / STEPS;

        while self
            .steps
            .front()
            .is_some_and(|step| now.since(step.start) > bounds.window + length)
        {
            self.steps.pop_front();
        }

        let current = self
            .steps
            .back()
            .is_some_and(|step| now.since(step.start) < length);

        if !current {
            self.steps.push_back(Step {
                requests: 0,
                retries: 0,
                start: now,
            });
        }

        self.steps.back_mut().expect("a step was just added")
    }
}
