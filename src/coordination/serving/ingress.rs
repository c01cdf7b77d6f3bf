//! Accepts callers' requests: finds the route, the team and the service, and
//! forwards the request.

use {
    crate::{
        coordination::serving::{
            answer::{Reason, Refusal},
            crashes, drain,
            host::Host,
            relay,
            request::Request,
            stages::{self, StageOutputs},
            stream,
            timeline::Timeline,
        },
        state::{
            id,
            serving::{
                config::{Config, Route, Team},
                quarantine::Quarantine,
            },
        },
        transport::{boot_clock, http::body::Body},
    },
    http_body_util::BodyExt,
    hyper::{
        Response,
        body::{Bytes, Incoming},
        header::HOST,
        http::request::Parts,
    },
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Delay after which a caller may retry at a host that has no configuration
/// yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The refusal of a request whose body the host has no memory for. Most requests take
/// less than the delay.
const NO_MEMORY: Refusal = Refusal::NotRun {
    reason: Reason::Memory,
    retry_after: Duration::from_millis(300),
};

/// Time before the caller's deadline at which the host sends its own response
/// instead of waiting for an endpoint.
const CALLER_MARGIN: Duration = Duration::from_millis(15);

/// Serves one request.
pub async fn handle(host: Rc<Host>, message: hyper::Request<Incoming>) -> Response<Body> {
    let started = boot_clock::now();
    let (head, body) = message.into_parts();
    let result = serve(&host, &head, body, started).await;

    match result {
        Ok(response) => response,
        Err(refusal) => refusal.response(),
    }
}

async fn serve(
    host: &Rc<Host>,
    head: &Parts,
    body: Incoming,
    started: crate::state::clock::Time,
) -> Result<Response<Body>, Refusal> {
    let view = host.view();
    let Some(config) = view.config.clone().filter(|_| view.roster_loaded) else {
        return Err(record_refusal(
            host,
            head,
            Refusal::NotRun {
                reason: Reason::Configuration,
                retry_after: STARTING_RETRY_AFTER,
            },
        ));
    };

    if host.stop().is_some_and(|stop| !stop.is_open()) {
        return Err(record_refusal(host, head, drain::LEAVING));
    }

    let body = tokio::select! {
        body = read_body(host, &config, body) => body,
        refusal = drain::wait_for_refusal(host) => Err(refusal),
    };
    let body = body.map_err(|refusal| record_refusal(host, head, refusal))?;
    let request = accept(host, &config, head, body, started)
        .map_err(|refusal| record_refusal(host, head, refusal))?;
    let request = Rc::new(request);
    reject_outlasting(host, head, &request)?;
    reject_hopeless(host, &request, &view.quarantine)?;
    host.retries
        .record_request(&host.settings().budget, &request.service);
    let time_limit = request.remaining().saturating_sub(CALLER_MARGIN);
    let departure = Departure(Some((Rc::clone(host), Rc::clone(&request))));
    let result = tokio::select! {
        biased;
        result = timeout(time_limit, run(host, &config, &request)) => {
            result.unwrap_or_else(|_| Err(relay::refusal_for(&request, Reason::Deadline)))
        }
        refusal = drain::wait_for_answer(host, &request) => Err(refusal),
    };
    departure.disarm();
    record_outcome(host, &config, &request, &result);
    result
}

/// Refuses a request that a stopping host would cut off: it arrived after callers have
/// learnt of other hosts, and may last longer than the rest of the grace period.
fn reject_outlasting(host: &Host, head: &Parts, request: &Request) -> Result<(), Refusal> {
    match host.stop() {
        Some(stop) if !stop.accepts(request.remaining()) => {
            Err(record_refusal(host, head, drain::LEAVING))
        }
        _ => Ok(()),
    }
}

/// Returns whether a request needs a service of which all domains are evacuated.
fn is_evacuated(host: &Host, request: &Request) -> bool {
    let stages = request.route.stages.iter().map(|stage| &stage.service);
    let mut services = stages.chain([&request.service]);
    services.any(|service| relay::is_evacuated(host, service))
}

/// Refuses a request that cannot be served, before any stage runs for it: it or a part of
/// its prompt is in quarantine, one of its services is evacuated, or no endpoint wants
/// requests before its deadline.
fn reject_hopeless(host: &Host, request: &Request, quarantine: &Quarantine) -> Result<(), Refusal> {
    let quarantined = request.quarantined_part(quarantine);
    let harmful = crashes::refusal_time(host, request);
    let reason = match (quarantined, harmful) {
        (Some(_), _) => Reason::Quarantined,
        (None, Some(time)) => Reason::Harmful(time),
        (None, None) if is_evacuated(host, request) => Reason::Evacuated,
        (None, None) => match relay::why_none_is_left(host, request, &[]) {
            Reason::Deferred(time) if time >= request.remaining() => Reason::Deferred(time),
            _ => return Ok(()),
        },
    };
    let refusal = relay::refusal_for(request, reason);
    host.tally.count("refused", &[("reason", reason.name())]);
    log::info!(
        request = request.id(),
        route = request.route.name.as_str(),
        service = request.service.as_str(),
        prompt_part = quarantined.map(|(part, _)| part),
        part = quarantined.map(|(_, hash)| format!("{hash:x}")).as_deref(),
        fingerprint = harmful
            .map(|_| format!("{:x}", request.fingerprint()))
            .as_deref(),
        reason = reason.name(),
        status = refusal.status().as_u16();
        "refused"
    );
    Err(refusal)
}

/// Reports a request whose caller left before the response, which drops the
/// request's future.
struct Departure(Option<(Rc<Host>, Rc<Request>)>);

impl Departure {
    fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for Departure {
    fn drop(&mut self) {
        if let Some((host, request)) = &self.0 {
            host.tally.count("requests", &[("outcome", "caller_left")]);
            log::info!(
                request = request.id(),
                route = request.route.name.as_str(),
                attempts = request.attempts.get(),
                ms = request.age().as_millis(),
                left_ms = request.remaining().as_millis(),
                steps = request.timeline.to_string().as_str();
                "caller left"
            );
        }
    }
}

async fn run(
    host: &Rc<Host>,
    config: &Arc<Config>,
    request: &Rc<Request>,
) -> Result<Response<Body>, Refusal> {
    let stage_outputs = if request.route.stages.is_empty() {
        StageOutputs::empty(host)
    } else {
        stages::run(host, config, request).await?
    };

    if request.route.stream {
        stream::serve(host, Rc::clone(request), stage_outputs).await
    } else {
        relay::serve_buffered(host, request).await
    }
}

async fn read_body(host: &Host, config: &Config, body: Incoming) -> Result<Bytes, Refusal> {
    let body = collect_body(host, body, config.limits.body_bytes);
    let body = timeout(config.limits.idle_timeout, body).await;
    body.unwrap_or(Err(Refusal::Rejected(Reason::Body)))
}

async fn collect_body(host: &Host, mut body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let mut collector = host.memory.begin();

    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::Rejected(Reason::Body))?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };

        if collector.length() + bytes.len() > limit {
            return Err(Refusal::Rejected(Reason::TooLarge));
        }

        collector.try_push(&bytes).map_err(|_| NO_MEMORY)?;
    }

    Ok(collector.finish_whole())
}

fn accept(
    host: &Host,
    config: &Config,
    head: &Parts,
    body: Bytes,
    started: crate::state::clock::Time,
) -> Result<Request, Refusal> {
    let name = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let route = config
        .route(name.unwrap_or(""), head.uri.path())
        .ok_or(Refusal::Rejected(Reason::Route))?;
    let call = host.codec.read_call(head).map_err(|fault| {
        log::info!("unreadable request header: {fault}");
        Refusal::Rejected(Reason::Header)
    })?;
    let team = find_team(config, route, call.key.as_deref())?;
    let service = route
        .target(rand::random_range(0.0..1.0))
        .ok_or(Refusal::Rejected(Reason::Route))?;
    let wait = call.deadline.unwrap_or(route.timeout).min(route.timeout);
    let priority = team
        .and_then(|team| team.priority)
        .unwrap_or(route.priority);

    Ok(Request {
        attempts: Default::default(),
        body,
        deadline: started + wait,
        endpoint: Default::default(),
        fingerprint: Default::default(),
        headers: head.headers.clone(),
        longest_gap: Default::default(),
        may_have_run: Default::default(),
        method: head.method.clone(),
        priority,
        route: Arc::clone(route),
        service: service.clone(),
        started,
        team: team.map(|team| team.name.clone()),
        timeline: Timeline::new(started),
        uri: head.uri.clone(),
        call,
    })
}

fn find_team<'a>(
    config: &'a Config,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<&'a Team>, Refusal> {
    let Some(keys) = &config.keys else {
        return Ok(None);
    };

    match key.and_then(|key| keys.get(key)) {
        Some(team) => Ok(Some(team)),
        None if route.public => Ok(None),
        None => Err(Refusal::Rejected(Reason::Key)),
    }
}

fn record_refusal(host: &Host, head: &Parts, refusal: Refusal) -> Refusal {
    let reason = refusal.reason().name();
    let call = host.codec.read_call(head).ok();
    let id = call.and_then(|call| call.attempt);
    let config = host.config();
    host.tally.count("refused", &[("reason", reason)]);
    log::info!(
        request = id.as_deref(),
        path = head.uri.path(),
        reason = reason,
        status = refusal.status().as_u16(),
        config = config.map(|config| config.version);
        "refused"
    );
    refusal
}

fn record_outcome(
    host: &Host,
    config: &Config,
    request: &Request,
    result: &Result<Response<Body>, Refusal>,
) {
    let (outcome, status) = match result {
        Ok(response) => ("answered", response.status()),
        Err(refusal) => (refusal.reason().name(), refusal.status()),
    };
    let age = request.age();
    let route = request.route.name.as_str();
    let team = request.team.as_ref().map_or("-", id::Team::as_str);
    host.tally.count("requests", &[("outcome", outcome)]);
    host.tally
        .time("answer_ms", age, &[("route", route), ("team", team)]);
    log::info!(
        request = request.id(),
        route = route,
        team = team,
        service = request.service.as_str(),
        endpoint = request.endpoint.borrow().as_ref().map(id::Endpoint::as_str),
        attempts = request.attempts.get(),
        outcome = outcome,
        status = status.as_u16(),
        ms = age.as_millis(),
        wait_ms = request.deadline.since(request.started).as_millis(),
        steps = request.timeline.to_string().as_str(),
        config = config.version;
        "request"
    );
}
