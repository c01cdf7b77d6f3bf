//! The retry budgets of this host, one per service.

use {
    crate::{
        state::{
            id,
            serving::budget::{Bounds, RetryBudget},
        },
        transport::boot_clock,
    },
    std::{cell::RefCell, collections::HashMap},
};

/// The budgets by service.
#[derive(Default)]
pub struct Retries {
    budgets: RefCell<HashMap<id::Pool, RetryBudget>>,
}

impl Retries {
    /// Counts a request towards the budget of its service.
    pub fn record_request(&self, bounds: &Bounds, service: &id::Pool) {
        self.budget(service, |budget| {
            budget.record_requests(boot_clock::now(), bounds, 1);
        });
    }

    /// Withdraws one retry from the budget of a service if this host's share of
    /// it allows the retry. The budget is shared by `hosts` hosts. Returns whether
    /// the retry was withdrawn.
    pub fn withdraw(&self, bounds: &Bounds, service: &id::Pool, hosts: usize) -> bool {
        self.budget(service, |budget| {
            budget.withdraw(boot_clock::now(), bounds, hosts, 1)
        })
    }

    /// Returns whether this host's share of the budget allows a retry, without
    /// withdrawing one.
    pub fn can_withdraw(&self, bounds: &Bounds, service: &id::Pool, hosts: usize) -> bool {
        self.budget(service, |budget| {
            budget.can_withdraw(boot_clock::now(), bounds, hosts, 1)
        })
    }

    fn budget<T>(&self, service: &id::Pool, operate: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        operate(budgets.entry(service.clone()).or_default())
    }
}
