//! The expected time of a request's stages: refuses a request that cannot be done
//! before its deadline, and compares the forecast with the actual time.

use {
    crate::{
        coordination::serving::{
            answer::{Reason, Refusal},
            host::Host,
            request::Request,
        },
        state::{
            clock::Time,
            id,
            serving::{
                chain,
                config::Config,
                forecast::{Forecast, Scope, Term},
                graph::Graph,
            },
        },
        transport::boot_clock,
    },
    std::time::Duration,
};

/// Minimum `retry_after` of a refusal. A shorter one would only repeat it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// What a request is expected to take, unless the settings turn that off.
pub struct Expectation(Option<Expected>);

struct Expected {
    forecast: Forecast,
    /// The same without the engines.
    stages: Duration,
    started: Time,
}

impl Expectation {
    /// Forecasts the time of a request that has not begun. The wait for its first
    /// stage is decided by that stage's dispatcher.
    pub fn new(host: &Host, config: &Config, request: &Request, graph: &Graph) -> Self {
        if host.settings().forecast == Scope::Stage || request.may_have_run.get() {
            return Self(None);
        }

        let path = graph.longest_whole_path();
        let later = path.iter().skip(1).map(|(service, _)| service);
        let term = |service: &id::Pool| Term {
            backlog: host.backlogs.get(service, request.priority),
            service: service.clone(),
        };
        let mut forecast = Forecast {
            calls: chain::calls_time(config, &path),
            terms: later.map(term).collect(),
        };
        let stages = forecast.total();

        if request.route.stream {
            forecast.terms.push(term(&request.service));
        }

        Self(Some(Expected {
            forecast,
            stages,
            started: boot_clock::now(),
        }))
    }

    /// Checks that the request can be done before its deadline.
    ///
    /// # Errors
    ///
    /// Returns the refusal if it cannot.
    pub fn check(&self, host: &Host, request: &Request) -> Result<(), Refusal> {
        let Some(Expected { forecast, .. }) = &self.0 else {
            return Ok(());
        };
        let left = request.remaining();
        let Some(retry_after) = forecast.retry_after(left, rand::random()) else {
            return Ok(());
        };
        let retry_after = retry_after.max(MIN_RETRY_AFTER);
        let priority = request.priority.to_string();
        let route = request.route.name.as_str();
        host.tally.count(
            "forecast_refused",
            &[("route", route), ("priority", &priority)],
        );
        log::info!(
            request = request.id(),
            route = route,
            priority = request.priority,
            left_ms = left.as_millis(),
            expected_ms = forecast.total().as_millis(),
            terms_ms = forecast.to_string().as_str(),
            retry_after_ms = retry_after.as_millis();
            "refused: the backlogs of its stages exceed its deadline"
        );
        Err(Refusal::NotRun {
            reason: Reason::Overload,
            retry_after,
        })
    }

    /// Records by how much the forecast differs from the actual time of the stages.
    pub fn record(&self, host: &Host) {
        let Some(expected) = &self.0 else {
            return;
        };
        let actual = boot_clock::now().since(expected.started);
        let (name, error) = if actual > expected.stages {
            ("forecast_under_ms", actual - expected.stages)
        } else {
            ("forecast_over_ms", expected.stages - actual)
        };
        host.tally.time(name, error, &[]);
    }
}
