//! Where requests leave their traces: log, journal, ledger and metrics.

use {
    crate::{
        state::{
            id,
            journal::{Entry, Journal},
            ledger::Ledger,
            request::Request,
        },
        transport::{boot_clock, metrics::Metrics},
    },
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// The journal, the ledger and the metrics of one host.
#[derive(Debug)]
pub struct Observer {
    journal: Mutex<Journal>,
    ledger: Mutex<Ledger>,
    metrics: Metrics,
}

impl Observer {
    /// Builds an observer that passes numbers on to `metrics`.
    pub fn new(metrics: Metrics) -> Self {
        Self {
            journal: Mutex::default(),
            ledger: Mutex::default(),
            metrics,
        }
    }

    /// Counts something by name.
    pub fn count(&self, name: &'static str) {
        self.metrics.count(name);
        self.ledger().count(name);
    }

    /// Logs an event of a request and keeps it for operators.
    pub fn event(&self, request: &Request, entry: Entry) {
        let attempt = entry.attempt.map(|attempt| attempt.0);
        log::info!(
            request = request.request.as_str(),
            team = request.team.as_str(),
            stage = entry.stage.as_ref().map(id::Stage::as_str),
            attempt = attempt;
            "{}: {}",
            entry.event,
            entry.detail
        );
        self.journal()
            .add(boot_clock::now(), &request.request, entry);
    }

    /// Records the time of a whole request or one of its stages.
    pub fn time(&self, request: &Request, stage: Option<&id::Stage>, elapsed: Duration) {
        let name = match stage {
            Some(_) => "stage",
            None => "request",
        };
        self.metrics.time(name, elapsed);
        self.ledger()
            .time(&request.team, &request.class, stage, elapsed);
    }

    /// Records the cost of one attempt.
    pub fn spend(&self, request: &Request, stage: &id::Stage, tokens: u32, elapsed: Duration) {
        self.ledger().spend(&request.team, stage, tokens, elapsed);
    }

    /// Returns the journal.
    pub fn journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
