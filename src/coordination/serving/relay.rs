//! Finds an endpoint that answers a request, within its attempts and the
//! retry budget.

use {
    crate::{
        coordination::serving::{
            answer::{Reason, Refusal},
            exchange::{Extra, Open, Tried, attempt},
            host::Host,
            request::Request,
        },
        state::{
            id,
            serving::{config::Repeat, placement::Demand, roster::Entry},
        },
        transport::{boot_clock, http::body::Body},
    },
    hyper::Response,
    std::{rc::Rc, sync::Arc, time::Duration},
};

/// Connections that may fail before a request is refused. Nothing was sent,
/// so they do not count as attempts.
const UNREACHABLE: u32 = 3;

/// When a request that found every endpoint full may come back: about the
/// time in which a queue of an endpoint moves on.
const FULL_RETRY: Duration = Duration::from_millis(150);

/// Part of the goal after which a repeatable request without an answer goes
/// to another endpoint.
const SILENCE_SHARE: f64 = 0.7;

/// What to do after a try.
pub enum Next {
    Again,
    Refuse(Refusal),
}

/// The tries of one request.
#[derive(Debug, Default)]
pub struct Tries {
    pub excluded: Vec<id::Endpoint>,
    unreachable: u32,
}

impl Tries {
    /// Returns the endpoint for the next try.
    pub fn choose(
        &self,
        host: &Host,
        request: &Request,
        domain: Option<&id::Domain>,
    ) -> Option<Arc<Entry>> {
        let view = host.view();
        let demand = Demand {
            domain,
            exclude: &self.excluded,
            session: request.session(),
        };
        let open = view.roster.open(&request.service);
        let placement = host.placement.borrow();
        placement
            .choose(boot_clock::now(), open, demand)
            .map(Arc::clone)
    }

    /// Decides what follows a try that gave no answer.
    pub fn after(&mut self, host: &Host, request: &Request, entry: &Entry, tried: &Tried) -> Next {
        self.excluded.push(entry.endpoint.clone());
        let repeatable = request.route.repeat != Repeat::Never;

        let (reason, may_repeat) = match tried {
            Tried::Unreachable(_) => {
                self.unreachable += 1;

                return if self.unreachable < UNREACHABLE {
                    Next::Again
                } else {
                    Next::Refuse(justified(request, Reason::Unreachable))
                };
            }
            Tried::NotRun | Tried::Replaced => (Reason::Full, true),
            Tried::InputGone => (Reason::StageFailed, false),
            Tried::Broken(_) | Tried::Answered(_) => (Reason::EndpointFailed, repeatable),
        };

        if may_repeat && may_try_again(host, request) {
            Next::Again
        } else {
            Next::Refuse(justified(request, reason))
        }
    }
}

/// Returns whether the request's attempts, its time and the budget allow
/// another try.
pub fn may_try_again(host: &Host, request: &Request) -> bool {
    let hosts = host.view().hosts();
    request.attempts.get() < request.route.max_attempts
        && !request.allowance().is_zero()
        && host
            .retries
            .take(&host.settings().budget, &request.service, hosts)
}

/// Returns the refusal that claims no more than is known.
pub fn justified(request: &Request, reason: Reason) -> Refusal {
    if request.may_have_run.get() {
        Refusal::Unknown(reason)
    } else {
        Refusal::NotRun {
            reason,
            retry_after: FULL_RETRY,
        }
    }
}

/// Serves a request whose answer is passed on as a whole.
///
/// # Errors
///
/// Returns the refusal if no endpoint answered.
pub async fn whole(host: &Rc<Host>, request: &Request) -> Result<Response<Body>, Refusal> {
    let mut tries = Tries::default();
    let settings = host.settings();

    loop {
        let Some(entry) = tries.choose(host, request, Some(&settings.domain)) else {
            return Err(justified(request, Reason::NoEndpoint));
        };
        let tried = try_whole(host, request, &entry).await;
        let tried = match tried {
            Ok(response) => return Ok(response),
            Err(tried) => tried,
        };

        match tries.after(host, request, &entry, &tried) {
            Next::Again => {}
            Next::Refuse(refusal) => return Err(refusal),
        }
    }
}

async fn try_whole(
    host: &Rc<Host>,
    request: &Request,
    entry: &Arc<Entry>,
) -> Result<Response<Body>, Tried> {
    let repeatable = request.route.repeat != Repeat::Never;
    let again = request.attempts.get() + 1 < request.route.max_attempts;

    if !(repeatable && again) {
        return exchange(host, request, entry).await;
    }

    let patience = request.route.goal.mul_f64(SILENCE_SHARE);

    match tokio::time::timeout(patience, exchange(host, request, entry)).await {
        Ok(result) => result,
        Err(_) => {
            let mut placement = host.placement.borrow_mut();
            placement
                .health_mut(entry)
                .record_failure(boot_clock::now());
            request.attempts.set(request.attempts.get() + 1);
            Err(Tried::Broken(format!(
                "no answer in {} ms",
                patience.as_millis()
            )))
        }
    }
}

async fn exchange(
    host: &Rc<Host>,
    request: &Request,
    entry: &Arc<Entry>,
) -> Result<Response<Body>, Tried> {
    let tried = attempt(host, request, entry, Extra::default()).await;
    let Tried::Answered(open) = tried else {
        return Err(tried);
    };
    let Open {
        answer,
        mut exchange,
        running,
    } = *open;
    let status = exchange.response.status();
    let headers = host.edge.reply(exchange.response.headers());
    let body = exchange.collect(MAX_ANSWER_BYTES).await;
    let now = boot_clock::now();
    let mut placement = host.placement.borrow_mut();
    let health = placement.health_mut(&running.entry);

    let body = match body {
        Ok(body) => body,
        Err(_) => {
            health.record_failure(now);
            return Err(Tried::Broken("the answer broke off".into()));
        }
    };

    if status.is_success() && !answer.proven {
        health.record_failure(now);
        return Err(Tried::Broken("the answer has no proof".into()));
    }

    let repeat = request.route.repeat != Repeat::Never
        && status.is_server_error()
        && request.attempts.get() < request.route.max_attempts;

    if status.is_server_error() {
        health.record_failure(now);
    } else {
        health.record_success(1.0);
    }

    drop(placement);
    exchange.finish(answer.keep_alive, answer.closing);

    if repeat && !request.allowance().is_zero() && budget_left(host, request) {
        return Err(Tried::Broken(format!("the endpoint answered {status}")));
    }

    let mut response = Response::new(Body::whole(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

/// Longest answer that is passed on as a whole.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Returns whether a retry would be covered, without taking it.
fn budget_left(host: &Host, request: &Request) -> bool {
    let bounds = host.settings().budget;
    host.retries
        .covers(&bounds, &request.service, host.view().hosts())
}
