//! Where requests leave their traces: log, journal, usage and metrics.

use {
    crate::{
        state::{
            id,
            journal::{Entry, Journal},
            request::Request,
            usage::Usage,
        },
        transport::{boot_clock, metrics::Metrics},
    },
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// The journal, the usage and the metrics of one host.
#[derive(Debug)]
pub struct Observer {
    journal: Mutex<Journal>,
    usage: Mutex<Usage>,
    metrics: Metrics,
}

impl Observer {
    /// Builds an observer that passes numbers on to `metrics`.
    pub fn new(metrics: Metrics) -> Self {
        Self {
            journal: Mutex::default(),
            usage: Mutex::default(),
            metrics,
        }
    }

    /// Counts something by name.
    pub fn count(&self, name: &'static str) {
        self.metrics.count(name);
        self.usage().count(name);
    }

    /// Sets a gauge by name.
    pub fn set_gauge(&self, name: &str, value: u64) {
        self.metrics.gauge(name, value);
    }

    /// Logs an event of a request and keeps it for operators.
    pub fn record_event(&self, request: &Request, entry: Entry) {
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
    pub fn record_time(&self, request: &Request, stage: Option<&id::Stage>, elapsed: Duration) {
        let name = match stage {
            Some(_) => "stage",
            None => "request",
        };
        self.metrics.time(name, elapsed);
        self.usage()
            .record_time(&request.team, &request.class, stage, elapsed);
    }

    /// Records the cost of one attempt.
    pub fn record_cost(
        &self,
        request: &Request,
        stage: &id::Stage,
        tokens: u32,
        elapsed: Duration,
    ) {
        self.usage()
            .record_cost(&request.team, stage, tokens, elapsed);
    }

    /// Returns the journal.
    pub fn journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the usage.
    pub fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
