//! Finds an endpoint that answers a request, within the allowed attempts and
//! the retry budget.

use {
    crate::{
        coordination::serving::{
            answer::{Reason, Refusal},
            attempt::{AttemptOptions, AttemptOutcome, OpenResponse, attempt, log_failure},
            balancing::{self, Chosen, PlacementGuard},
            crashes::{self, End},
            host::Host,
            request::Request,
        },
        state::{
            id,
            serving::{
                balance::Report, config::RetryMode, placement::Criteria, quarantine, roster::Entry,
            },
        },
        transport::{
            boot_clock,
            http::{body::Body, client::Failure},
        },
    },
    hyper::Response,
    std::{rc::Rc, sync::Arc, time::Duration},
};

/// Number of failed connections at which a request is refused. Nothing was sent
/// on them, so they do not count as attempts.
const UNREACHABLE_LIMIT: u32 = 3;

/// Delay after which a caller may retry a request that found every endpoint
/// full: about the time in which an endpoint's queue advances.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Delay after which a caller may retry a request with a part in quarantine: the
/// duration of the first quarantine.
const QUARANTINED_RETRY_AFTER: Duration = quarantine::FIRST_DURATION;

/// Delay after which a caller may retry a request whose service is evacuated. An
/// operator removes an evacuation minutes later, so that earlier retries are useless.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Share of the route's time goal after which a repeatable request without a
/// response goes to another endpoint.
const RESPONSE_TIME_SHARE: f64 = 0.7;

/// What follows an attempt without a usable response.
pub enum Next {
    Retry,
    Refuse(Refusal),
}

/// The failed attempts of one request.
#[derive(Debug, Default)]
pub struct RetryState {
    /// The endpoint that refused the request because an input was gone. It
    /// receives the request again once the stages have run again, so the
    /// number of endpoints that receive the request does not grow.
    awaiting_inputs: Option<Arc<Entry>>,
    /// Endpoints that were tried already.
    pub excluded: Vec<id::Endpoint>,
    /// Number of connections that failed.
    unreachable: u32,
}

impl RetryState {
    /// Returns the endpoint for the next attempt of a request whose response is buffered.
    ///
    /// # Errors
    ///
    /// Returns the reason if no endpoint is left.
    async fn choose(&self, host: &Rc<Host>, request: &Request) -> Result<Chosen, Reason> {
        if request.call.prompt.is_some() {
            return self.choose_engine(host, request, None).await;
        }

        let entry = self.choose_nearby(host, request)?;
        Ok(Chosen { entry, guard: None })
    }

    /// Returns an endpoint for a request without a prompt, preferably in this host's
    /// failure domain.
    fn choose_nearby(&self, host: &Host, request: &Request) -> Result<Arc<Entry>, Reason> {
        if let Some(time) = crashes::remaining_quarantine(host, request) {
            return Err(Reason::Harmful(time));
        }

        let view = host.view();
        let settings = host.settings();
        let criteria = Criteria {
            domain: Some(&settings.domain),
            exclude: &self.excluded,
            session: request.session(),
        };
        let open = view.roster.open(&request.service);
        let now = boot_clock::now();
        let chosen = host.placement.borrow().choose(now, open, criteria).cloned();
        let entry = chosen.ok_or_else(|| why_none_is_left(host, request, &self.excluded))?;
        host.placement.borrow_mut().record_choice(now, &entry);
        Ok(entry)
    }

    /// Returns the engine for the next attempt of a request whose inputs are in
    /// `domain`. One whose request was at an engine before does not wait for room.
    ///
    /// # Errors
    ///
    /// Returns the reason if no engine is left or a part of the prompt is in
    /// quarantine.
    pub async fn choose_engine(
        &self,
        host: &Rc<Host>,
        request: &Request,
        domain: Option<id::Domain>,
    ) -> Result<Chosen, Reason> {
        if request.quarantined_part(&host.view().quarantine).is_some() {
            return Err(Reason::Quarantined);
        }

        if let Some(time) = crashes::remaining_quarantine(host, request) {
            return Err(Reason::Harmful(time));
        }

        match self.awaiting_entry(host) {
            Some(entry) => Ok(Chosen { entry, guard: None }),
            None => balancing::choose(host, request, &self.excluded, domain).await,
        }
    }

    /// Returns the endpoint that awaits its inputs, if it is still open.
    fn awaiting_entry(&self, host: &Host) -> Option<Arc<Entry>> {
        let view = host.view();
        let entry = self.awaiting_inputs.as_ref()?;
        let listed = view.roster.get(&entry.endpoint)?;
        let now = boot_clock::now();
        let mut placement = host.placement.borrow_mut();
        let wanted = !placement.is_deferred(now, listed) && placement.has_slot(now, listed);
        let open = listed.incarnation == entry.incarnation && !listed.leaving && wanted;
        open.then(|| {
            placement.record_choice(now, listed);
            Arc::clone(listed)
        })
    }

    /// Records an attempt without a usable response and decides what follows.
    /// A retry that counts as an attempt is withdrawn from the budget.
    pub fn next_step(
        &mut self,
        host: &Host,
        request: &Request,
        entry: &Arc<Entry>,
        outcome: &AttemptOutcome,
    ) -> Next {
        let inputs_gone_before = self.awaiting_inputs.take().is_some();

        if matches!(outcome, AttemptOutcome::InputGone)
            && !inputs_gone_before
            && withdraw_retry(host, request)
        {
            request
                .attempts
                .set(request.attempts.get().saturating_sub(1));
            self.awaiting_inputs = Some(Arc::clone(entry));
            return Next::Retry;
        }

        self.excluded.push(entry.endpoint.clone());
        let repeatable = request.route.retry_mode != RetryMode::Never;

        let (reason, may_repeat) = match outcome {
            AttemptOutcome::Unreachable(_) => {
                self.unreachable += 1;

                return if self.unreachable < UNREACHABLE_LIMIT {
                    Next::Retry
                } else {
                    Next::Refuse(refusal_for(request, Reason::Unreachable))
                };
            }
            AttemptOutcome::NotRun | AttemptOutcome::Replaced => (Reason::Full, true),
            AttemptOutcome::InputGone => (Reason::StageFailed, false),
            AttemptOutcome::Broken(_)
            | AttemptOutcome::Disconnected(_)
            | AttemptOutcome::Answered(_) => {
                let allowed = crashes::allows_retry(host, request);
                (Reason::EndpointFailed, repeatable && allowed)
            }
        };

        if may_repeat && acquire_retry(host, request) {
            Next::Retry
        } else {
            Next::Refuse(refusal_for(request, reason))
        }
    }
}

/// Returns why no endpoint is left for a request, apart from those in `exclude`.
pub fn why_none_is_left(host: &Host, request: &Request, exclude: &[id::Endpoint]) -> Reason {
    let view = host.view();
    let open = || {
        let open = view.roster.open(&request.service);
        open.filter(|entry| !exclude.contains(&entry.endpoint))
    };
    let now = boot_clock::now();
    let placement = host.placement.borrow();

    if is_evacuated(host, &request.service) {
        return Reason::Evacuated;
    }

    match placement.deferral(now, open()) {
        Some(time) => Reason::Deferred(time),
        None => match placement.slot_wait(now, open()) {
            Some(time) => Reason::Cold(time),
            None => Reason::NoEndpoint,
        },
    }
}

/// Returns whether a service has endpoints, but all of them are in evacuated domains.
pub fn is_evacuated(host: &Host, service: &id::Pool) -> bool {
    let view = host.view();
    let entries = view.roster.service(service);
    let mut domains = entries.iter().map(|entry| &entry.domain);
    !entries.is_empty() && domains.all(|domain| view.evacuated.contains(domain))
}

/// Withdraws a retry from the budget if the request's attempts, its time and the
/// budget allow one. Returns whether it did.
pub fn acquire_retry(host: &Host, request: &Request) -> bool {
    request.attempts.get() < request.route.max_attempts && withdraw_retry(host, request)
}

/// Withdraws a retry from the budget if the request's time and the budget allow
/// one, regardless of its attempts.
fn withdraw_retry(host: &Host, request: &Request) -> bool {
    let hosts = host.view().hosts();
    !request.endpoint_time().is_zero()
        && host
            .retries
            .withdraw(&host.settings().budget, &request.service, hosts)
}

/// Returns the refusal of a request: `NotRun` only if no endpoint can have run
/// it.
pub fn refusal_for(request: &Request, reason: Reason) -> Refusal {
    if request.may_have_run.get() {
        Refusal::Unknown(reason)
    } else {
        Refusal::NotRun {
            reason,
            retry_after: match reason {
                Reason::Cold(time) | Reason::Deferred(time) | Reason::Harmful(time) => {
                    time.max(FULL_RETRY_AFTER)
                }
                Reason::Evacuated => EVACUATED_RETRY_AFTER,
                Reason::NoRoom(time) => time,
                Reason::Quarantined => QUARANTINED_RETRY_AFTER,
                _ => FULL_RETRY_AFTER,
            },
        }
    }
}

/// Serves a request whose response is buffered and forwarded as a whole.
///
/// # Errors
///
/// Returns the refusal if no endpoint gave a usable response.
pub async fn serve_buffered(host: &Rc<Host>, request: &Request) -> Result<Response<Body>, Refusal> {
    let mut retry_state = RetryState::default();

    loop {
        let chosen = retry_state.choose(host, request).await;
        let Chosen { entry, guard } = chosen.map_err(|reason| refusal_for(request, reason))?;
        let result = attempt_with_timeout(host, request, &entry).await;

        if let Some(guard) = guard {
            report(guard, &entry, &result);
        }

        let outcome = match result {
            Ok(response) => return Ok(response),
            Err(outcome) => outcome,
        };

        match retry_state.next_step(host, request, &entry, &outcome) {
            Next::Retry => {}
            Next::Refuse(refusal) => return Err(refusal),
        }
    }
}

/// Reports how a prompt fared whose response is buffered.
fn report(guard: PlacementGuard, entry: &Entry, result: &Result<Response<Body>, AttemptOutcome>) {
    match result {
        Ok(response) if response.status().is_server_error() => guard.report(Report::Failed),
        Ok(_) => guard.report(Report::Ended),
        // The host may have given the attempt up before the engine crashed under it.
        Err(AttemptOutcome::Broken(_) | AttemptOutcome::Disconnected(_)) => {
            guard.report_disconnection(entry);
        }
        Err(outcome) => guard.report(outcome.report()),
    }
}

async fn attempt_with_timeout(
    host: &Rc<Host>,
    request: &Request,
    entry: &Arc<Entry>,
) -> Result<Response<Body>, AttemptOutcome> {
    let repeatable = request.route.retry_mode != RetryMode::Never;
    let attempts_left = request.attempts.get() + 1 < request.route.max_attempts;

    if !(repeatable && attempts_left) {
        return attempt_buffered(host, request, entry).await;
    }

    let response_time = request.route.goal.mul_f64(RESPONSE_TIME_SHARE);

    match tokio::time::timeout(response_time, attempt_buffered(host, request, entry)).await {
        Ok(result) => result,
        Err(_) => {
            let mut placement = host.placement.borrow_mut();
            placement
                .health_mut(entry)
                .record_failure(boot_clock::now());
            request.attempts.set(request.attempts.get() + 1);
            let outcome = AttemptOutcome::Broken(format!(
                "no response within {} ms",
                response_time.as_millis()
            ));
            log_failure(request, entry, &outcome);
            Err(outcome)
        }
    }
}

async fn attempt_buffered(
    host: &Rc<Host>,
    request: &Request,
    entry: &Arc<Entry>,
) -> Result<Response<Body>, AttemptOutcome> {
    let outcome = attempt(host, request, entry, AttemptOptions::default()).await;
    let AttemptOutcome::Answered(open) = outcome else {
        return Err(outcome);
    };
    let OpenResponse {
        answer,
        mut exchange,
        load_guard,
        watch,
    } = *open;
    let status = exchange.response.status();
    let headers = host.codec.reply_headers(exchange.response.headers());
    // Nothing of a body without a proof is used.
    let body = if status.is_success() && !answer.has_proof {
        watch.end(End::Other);
        Err("the response lacks the endpoint's proof".into())
    } else {
        let body = exchange.collect(MAX_RESPONSE_BYTES).await;
        watch.end(if body.is_ok() {
            End::Answered
        } else {
            End::Broken
        });
        body.map_err(|failure| match failure {
            Failure::Broken(message) | Failure::Unreachable(message) => message,
        })
    };
    let now = boot_clock::now();
    let mut placement = host.placement.borrow_mut();
    let health = placement.health_mut(&load_guard.entry);

    let body = match body {
        Ok(body) => body.finish(),
        Err(message) => {
            health.record_failure(now);
            let outcome = AttemptOutcome::Broken(message);
            log_failure(request, entry, &outcome);
            return Err(outcome);
        }
    };

    let repeat = request.route.retry_mode != RetryMode::Never
        && status.is_server_error()
        && request.attempts.get() < request.route.max_attempts;

    if status.is_server_error() {
        health.record_failure(now);
    } else {
        health.record_success(1.0);

        if host.settings().load_reports {
            let elapsed = now.since(load_guard.sent);
            placement.record_response(now, &load_guard.entry, elapsed);
        }
    }

    drop(placement);
    exchange.finish(answer.keep_alive, answer.closing);

    if repeat && !request.endpoint_time().is_zero() && has_retry_budget(host, request) {
        return Err(AttemptOutcome::Broken(format!(
            "the endpoint responded with {status}"
        )));
    }

    let mut response = Response::new(Body::blocks(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

/// Maximum length of a response that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Returns whether the budget allows a retry, without withdrawing one.
fn has_retry_budget(host: &Host, request: &Request) -> bool {
    let bounds = host.settings().budget;
    host.retries
        .can_withdraw(&bounds, &request.service, host.view().hosts())
}
