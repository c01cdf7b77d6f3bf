//! The last backlogs that dispatchers and balancing hosts reported to this host.

use {
    crate::{
        state::{
            id,
            serving::{
                forecast,
                piece::{Failure, Outcome},
            },
        },
        transport::boot_clock,
    },
    std::{cell::RefCell, time::Duration},
};

/// The backlogs of services, with the times at which they were reported.
#[derive(Default)]
pub struct Backlogs(RefCell<forecast::Backlogs>);

impl Backlogs {
    /// Records the backlog of a service for work of any priority.
    pub fn record(&self, service: &id::Pool, backlog: Duration) {
        self.record_for(service, 0, backlog);
    }

    /// Records the backlog of a service for work of a priority, and of less urgent
    /// work.
    pub fn record_for(&self, service: &id::Pool, priority: u8, backlog: Duration) {
        let now = boot_clock::now();
        self.0.borrow_mut().record(now, service, priority, backlog);
    }

    /// Records the backlog in the outcome of a job. Most failures do not tell it.
    pub fn record_outcome(&self, service: &id::Pool, priority: u8, outcome: &Outcome) {
        if let None | Some(Failure::Overloaded) = outcome.failure {
            self.record_for(service, priority, outcome.backlog);
        }
    }

    /// Returns the backlog of a service for work of a priority, or `None` if it is
    /// unknown or old.
    pub fn get(&self, service: &id::Pool, priority: u8) -> Option<Duration> {
        self.0.borrow().get(boot_clock::now(), service, priority)
    }
}
