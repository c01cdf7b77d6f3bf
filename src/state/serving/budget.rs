//! One host's share of the fleet's retry budget.
//!
//! The fleet may send `ratio` times the requests of a window, and `slack`
//! more, a second time. Every host keeps to a part of that which holds
//! without asking the others: the ratio of its own requests, and an equal
//! part of the slack.

use {
    crate::state::clock::Time,
    std::{collections::VecDeque, time::Duration},
};

/// Part of the budget that is used. The rest covers requests that a host
/// counts and that never reach an endpoint, and hosts that restart with an
/// empty window.
const USABLE_SHARE: f64 = 0.6;

/// Steps of the sliding window.
const STEPS: u32 = 20;

/// The bounds of the fleet's budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub ratio: f64,
    pub slack: f64,
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    requests: u32,
    retries: u32,
    start: Time,
}

/// The requests and retries of one service in the window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    steps: VecDeque<Step>,
}

impl Budget {
    /// Counts requests.
    pub fn request(&mut self, now: Time, bounds: &Bounds, count: u32) {
        self.step(now, bounds).requests += count;
    }

    /// Returns whether the budget of one of `hosts` hosts covers `count` more
    /// retries.
    pub fn covers(&mut self, now: Time, bounds: &Bounds, hosts: usize, count: u32) -> bool {
        let slack = bounds.slack / hosts.max(1) as f64;
        self.step(now, bounds);
        let requests = self.steps.iter().map(|step| step.requests).sum::<u32>();
        let retries = self.steps.iter().map(|step| step.retries).sum::<u32>();
        let limit = USABLE_SHARE * (bounds.ratio * f64::from(requests) + slack);
        f64::from(retries + count) <= limit
    }

    /// Takes `count` retries if the budget of one of `hosts` hosts covers
    /// them.
    pub fn take(&mut self, now: Time, bounds: &Bounds, hosts: usize, count: u32) -> bool {
        let covered = self.covers(now, bounds, hosts, count);

        if covered {
            self.step(now, bounds).retries += count;
        }

        covered
    }

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
