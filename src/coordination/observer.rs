//! Records events, times and costs of requests in the log, the journal, the
//! usage statistics and the metrics.

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

/// The journal, the usage statistics and the metrics of one host.
#[derive(Debug)]
pub struct Observer {
    journal: Mutex<Journal>,
    usage: Mutex<Usage>,
    metrics: Metrics,
}

impl Observer {
    /// Creates an observer that also sends its counts and times to `metrics`.
    pub fn new(metrics: Metrics) -> Self {
        Self {
            journal: Mutex::default(),
            usage: Mutex::default(),
            metrics,
        }
    }

    /// Increments a counter in the metrics and the usage statistics.
    pub fn count(&self, name: &'static str) {
        self.metrics.count(name);
        self.usage().count(name);
    }

    /// Sets a gauge in the metrics.
    pub fn set_gauge(&self, name: &str, value: u64) {
        self.metrics.gauge(name, value);
    }

    /// Logs an event of a request and adds it to the journal, which operators
    /// can query.
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

    /// Records the elapsed time of one stage, or of the whole request if `stage`
    /// is `None`.
    pub fn record_time(&self, request: &Request, stage: Option<&id::Stage>, elapsed: Duration) {
        let name = match stage {
            Some(_) => "stage",
            None => "request",
        };
        self.metrics.time(name, elapsed);
        self.usage()
            .record_time(&request.team, &request.class, stage, elapsed);
    }

    /// Records the tokens and the time that one attempt used.
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

    /// Locks the journal.
    pub fn journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the usage statistics.
    pub fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
