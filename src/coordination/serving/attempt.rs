//! One attempt of a request at one endpoint.

use {
    crate::{
        coordination::serving::{
            answer::promises_not_run,
            crashes::{End, Watch},
            host::Host,
            request::Request,
        },
        protocol::adapter::{Answer, Forward},
        state::{
            clock::Time,
            serving::{balance::Report, config::RetryMode, health::Health, roster::Entry},
        },
        transport::{
            boot_clock,
            http::client::{Exchange, Failure},
        },
    },
    http_body_util::Full,
    std::{rc::Rc, sync::Arc},
};

/// The outcome of an attempt.
pub enum AttemptOutcome {
    /// The endpoint sent the head of a response; the body has not been read.
    Answered(Box<OpenResponse>),
    /// The attempt failed, and the request may have run.
    Broken(String),
    /// The connection ended before the first bytes of the response's body, and the
    /// request may have run.
    Disconnected(String),
    /// The endpoint refused because an input no longer exists.
    InputGone,
    /// The endpoint refused because it is full or leaving.
    NotRun,
    /// The address now belongs to another endpoint.
    Replaced,
    /// The endpoint could not be reached, and nothing was sent.
    Unreachable(String),
}

impl AttemptOutcome {
    /// Returns the name of the outcome in logs.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Broken(_) => "broken",
            Self::Disconnected(_) => "disconnected",
            Self::InputGone => "input_gone",
            Self::NotRun => "not_run",
            Self::Replaced => "replaced",
            Self::Unreachable(_) => "unreachable",
        }
    }

    /// Returns what a failed attempt says about its engine.
    pub const fn report(&self) -> Report {
        match self {
            Self::Answered(_) | Self::Broken(_) | Self::Disconnected(_) => Report::Failed,
            Self::InputGone => Report::Abandoned,
            Self::NotRun => Report::Full,
            Self::Replaced | Self::Unreachable(_) => Report::Unreachable,
        }
    }

    /// Returns what is known about the failure.
    fn detail(&self) -> &str {
        match self {
            Self::Broken(message) | Self::Disconnected(message) | Self::Unreachable(message) => {
                message
            }
            _ => "",
        }
    }
}

/// An endpoint's response whose body has not been read to the end.
pub struct OpenResponse {
    pub answer: Answer,
    pub exchange: Exchange,
    pub load_guard: LoadGuard,
    pub watch: Watch,
}

/// Counts a request towards the load of its endpoint until it is dropped.
pub struct LoadGuard {
    pub entry: Arc<Entry>,
    host: Rc<Host>,
    pub sent: Time,
}

impl LoadGuard {
    fn new(host: &Rc<Host>, entry: &Arc<Entry>) -> Self {
        let sent = boot_clock::now();
        host.placement.borrow_mut().begin(sent, entry);
        Self {
            entry: Arc::clone(entry),
            host: Rc::clone(host),
            sent,
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.host.placement.borrow_mut().end(&self.entry);
    }
}

/// Options of an attempt that are not part of the caller's request.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptOptions<'a> {
    pub inputs: &'a [String],
    pub last_event: Option<&'a str>,
}

/// Sends a request to an endpoint and waits for the head of the response.
pub async fn attempt(
    host: &Rc<Host>,
    request: &Request,
    entry: &Arc<Entry>,
    options: AttemptOptions<'_>,
) -> AttemptOutcome {
    let load_guard = LoadGuard::new(host, entry);
    let watch = Watch::new(host, request, entry);
    let forward = Forward {
        endpoint: entry.endpoint.as_str(),
        inputs: options.inputs,
        last_event: options.last_event,
        priority: request.call.prompt.as_ref().map(|_| request.priority),
        remaining: request.endpoint_time(),
        team: request.team.as_ref().map(|team| team.as_str()),
    };
    let mut message = hyper::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    *message.headers_mut() = host.codec.forward_headers(&request.headers, &forward);
    let may_have_run_before = request.may_have_run.replace(true);
    *request.endpoint.borrow_mut() = Some(entry.endpoint.clone());
    let step = request.timeline.begin(entry.endpoint.as_str().to_owned());
    let result = host.client.send(entry, message).await;
    let outcome = classify(host, request, load_guard, watch, result);
    request
        .timeline
        .end(step, outcome.name(), entry.domain.as_str().to_owned());

    if matches!(
        outcome,
        AttemptOutcome::InputGone
            | AttemptOutcome::NotRun
            | AttemptOutcome::Replaced
            | AttemptOutcome::Unreachable(_)
    ) {
        request.may_have_run.set(may_have_run_before);
    }

    if !matches!(outcome, AttemptOutcome::Unreachable(_)) {
        request.attempts.set(request.attempts.get() + 1);
    }

    log_failure(request, entry, &outcome);
    outcome
}

fn classify(
    host: &Rc<Host>,
    request: &Request,
    load_guard: LoadGuard,
    watch: Watch,
    result: Result<Exchange, Failure>,
) -> AttemptOutcome {
    let now = boot_clock::now();
    let record = |record: &dyn Fn(&mut Health)| {
        record(host.placement.borrow_mut().health_mut(&load_guard.entry));
    };

    let exchange = match result {
        Ok(exchange) => exchange,
        Err(Failure::Unreachable(message)) => {
            host.placement
                .borrow_mut()
                .record_unreachable(now, &load_guard.entry);
            watch.end(End::Other);
            return AttemptOutcome::Unreachable(message);
        }
        Err(Failure::Broken(message)) => {
            record(&|health| {
                health.record_failure(now);
            });
            watch.end(End::Broken);
            return AttemptOutcome::Disconnected(message);
        }
    };
    let response = &exchange.response;
    let answer = host
        .codec
        .read_answer(response.status(), response.headers());
    host.note_answer(&load_guard.entry, &answer, load_guard.sent);
    let mismatched = answer
        .attempt
        .as_ref()
        .is_some_and(|attempt| Some(attempt) != request.call.attempt.as_ref());

    if mismatched {
        watch.end(End::Other);
        return AttemptOutcome::Broken("the response belongs to another request".into());
    }

    let refused = if answer.replaced {
        record(&|health| health.record_unreachable(now));
        Some(AttemptOutcome::Replaced)
    } else if answer.input_gone {
        Some(AttemptOutcome::InputGone)
    } else if answer.not_run {
        record(&|health| health.record_full(now));
        Some(AttemptOutcome::NotRun)
    } else {
        None
    };

    // The connection of a refusal is closed: an endpoint that writes the refusal
    // once more would answer the next request with it, as not run.
    if let Some(refused) = refused {
        watch.end(End::Other);
        return refused;
    }

    let status = exchange.response.status();

    if request.route.retry_mode == RetryMode::Never && promises_not_run(status) {
        record(&|health| {
            health.record_failure(now);
        });
        watch.end(End::Answered);
        return AttemptOutcome::Broken(format!(
            "the endpoint responded with {status} but did not say that the request has not run"
        ));
    }

    AttemptOutcome::Answered(Box::new(OpenResponse {
        answer,
        exchange,
        load_guard,
        watch,
    }))
}

/// Logs an attempt without a usable response.
pub fn log_failure(request: &Request, entry: &Entry, attempt_outcome: &AttemptOutcome) {
    if matches!(attempt_outcome, AttemptOutcome::Answered(_)) {
        return;
    }

    let detail = attempt_outcome.detail();
    log::info!(
        request = request.id(),
        endpoint = entry.endpoint.as_str(),
        service = entry.service.as_str(),
        outcome = attempt_outcome.name(),
        attempt = request.attempts.get(),
        left_ms = request.remaining().as_millis(),
        fingerprint = format!("{:x}", request.fingerprint()).as_str(),
        parts = request.shared_parts().join(",").as_str();
        "attempt failed: {detail}"
    );
}
