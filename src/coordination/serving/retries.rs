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

    /// Takes one retry if the share of one of `hosts` hosts in the budget
    /// covers it. Returns whether it did.
    pub fn take(&self, bounds: &Bounds, service: &id::Pool, hosts: usize) -> bool {
        self.budget(service, |budget| {
            budget.withdraw(boot_clock::now(), bounds, hosts, 1)
        })
    }

    /// Returns whether the budget covers a retry, without taking it.
    pub fn covers(&self, bounds: &Bounds, service: &id::Pool, hosts: usize) -> bool {
        self.budget(service, |budget| {
            budget.covers(boot_clock::now(), bounds, hosts, 1)
        })
    }

    fn budget<T>(&self, service: &id::Pool, operate: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        operate(budgets.entry(service.clone()).or_default())
    }
}
