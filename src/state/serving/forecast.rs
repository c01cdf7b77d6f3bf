//! Whether a request can be served before its deadline, given the backlogs of all
//! of its stages and of the engines.

use {
    crate::state::{clock::Time, id},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Age from which a backlog is not used.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Maximum random part of `retry_after`, relative to the excess, so that refused
/// callers do not return together.
const JITTER: f64 = 0.5;

/// Maximum number of services with a backlog. Services come from the configuration.
const MAX_SERVICES: usize = 1024;

/// What the forecast that refuses requests covers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Scope {
    /// All stages of a request, and the engines.
    Chain,
    /// Each stage, at its dispatcher.
    #[default]
    Stage,
}

/// The last backlogs of each service that its dispatcher or balancing host reported,
/// by the priority of the work that would wait for so long.
#[derive(Clone, Debug, Default)]
pub struct Backlogs(HashMap<id::Pool, BTreeMap<u8, Reported>>);

#[derive(Clone, Copy, Debug)]
struct Reported {
    at: Time,
    backlog: Duration,
}

impl Backlogs {
    /// Records the backlog of a service for work of a priority.
    pub fn record(&mut self, now: Time, service: &id::Pool, priority: u8, backlog: Duration) {
        if !self.0.contains_key(service) && self.0.len() >= MAX_SERVICES {
            self.0.clear();
        }

        let reported = Reported { at: now, backlog };
        let priorities = self.0.entry(service.clone()).or_default();
        priorities.insert(priority, reported);
    }

    /// Returns the backlog of a service for work of a priority, less the time since it
    /// was reported, or `None` if it is unknown or old. Work does not wait for less
    /// time than more urgent work, so that the backlog of the latter counts, too. That
    /// of less urgent work does not.
    pub fn get(&self, now: Time, service: &id::Pool, priority: u8) -> Option<Duration> {
        let priorities = self.0.get(service)?.range(..=priority);
        let recent = priorities.filter_map(|(_, reported)| {
            let age = now.since(reported.at);
            (age < MAX_AGE).then(|| reported.backlog.saturating_sub(age))
        });
        recent.max()
    }
}

/// One term of the forecast.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Term {
    /// The backlog, if it is known.
    pub backlog: Option<Duration>,
    pub service: id::Pool,
}

/// The expected time of a request that has not begun.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Forecast {
    /// Time of the calls themselves.
    pub calls: Duration,
    pub terms: Vec<Term>,
}

impl Forecast {
    /// Returns the expected time. Unknown backlogs count as none.
    pub fn total(&self) -> Duration {
        let waits = self.terms.iter().filter_map(|term| term.backlog);
        self.calls + waits.sum::<Duration>()
    }

    /// Returns the time after which a request may be retried that would exceed the
    /// time left, or `None` if it is not known to. `random` is from 0 to 1.
    ///
    /// A request is refused only because of a backlog: without one, the calls take
    /// the time that they take, and the stages decide.
    pub fn retry_after(&self, left: Duration, random: f64) -> Option<Duration> {
        let excess = self.total().checked_sub(left)?;
        let waits = self
            .terms
            .iter()
            .any(|term| !term.backlog.unwrap_or_default().is_zero());
        let jitter = excess.mul_f64(JITTER * random.clamp(0.0, 1.0));
        (waits && !excess.is_zero()).then_some(excess + jitter)
    }
}

impl std::fmt::Display for Forecast {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "calls {}", self.calls.as_millis())?;

        for Term { backlog, service } in &self.terms {
            match backlog {
                Some(backlog) => write!(f, ", {service} {}", backlog.as_millis())?,
                None => write!(f, ", {service} unknown")?,
            }
        }

        Ok(())
    }
}
