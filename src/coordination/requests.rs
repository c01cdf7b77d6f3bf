//! The callers' routes: posting requests and fetching their answers.

use {
    crate::{
        coordination::{
            auth, body,
            claim::{self, Claim},
            forward,
            gateway::Gateway,
            posted::{self, Posted},
            problem,
            record::{Outcome, Record, Subject},
            records::Opened,
            run::Job,
            runner,
        },
        protocol::{
            caller::{TicketAnswer, TicketBody},
            ticket::Ticket,
        },
        state::{
            home::{self, Admission},
            id,
            refusal::{Reason, Refusal},
            resolution::{self, Route},
        },
        transport::boot_clock,
    },
    rouille::{Request, Response},
    std::{sync::Arc, time::Duration},
};

/// Longest wait for a witness.
const WITNESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Takes a request to a pipeline.
pub fn post(gateway: &Arc<Gateway>, request: &Request, pipeline: &str) -> Response {
    taken(gateway, request, pipeline).unwrap_or_else(|refused| *refused)
}

/// Returns the answer of a request, waiting for it if need be.
pub fn get(gateway: &Gateway, request: &Request, id: &id::Request) -> Response {
    if let Some(record) = gateway.records.get(boot_clock::now(), id) {
        return match auth::team(gateway, request, &record.subject.team) {
            Ok(()) => body::whole(gateway, &record),
            Err(response) => response,
        };
    }

    let view = gateway.published.get();
    let home = id
        .home()
        .filter(|home| *home != view.local.host.as_str())
        .and_then(|home| {
            view.members
                .iter()
                .find(|member| member.host.as_str() == home)
        });

    if let Some(home) = home
        && !forward::forwarded(request)
        && let Ok(response) = forward::get(gateway, request, home.caller_address)
    {
        return response;
    }

    let refusal = match request.header("Persimmon-Ticket") {
        Some(text) => match gateway.tickets.verify(text) {
            Ok(ticket) if ticket.request == *id && ticket.home.host != view.local.host => {
                claim::resolve(&ticket, &gateway.links, WITNESS_TIMEOUT)
            }
            _ => posted::invalid("Persimmon-Ticket", "a ticket", "the ticket of the request"),
        },
        None => Refusal::unknown(Reason::Missing, "no host holds a record of the request"),
    };
    problem::respond(gateway, Some(id), &refusal)
}

/// Issues a ticket with this host as its home.
pub fn ticket(gateway: &Gateway, request: &Request) -> Response {
    issued(gateway, request).unwrap_or_else(|refused| *refused)
}

fn issued(gateway: &Gateway, request: &Request) -> Result<Response, Box<Response>> {
    let refuse = |refusal| Box::new(problem::respond(gateway, None, &refusal));
    let body: TicketBody = serde_json::from_slice(&posted::bytes(request)).map_err(|error| {
        let expected = "JSON {team, class, pipeline, body_sha256, deadline_ms?}";
        refuse(posted::invalid("body", &error.to_string(), expected))
    })?;
    auth::team(gateway, request, &body.team).map_err(Box::new)?;

    if let Some(refusal) = gateway.unready() {
        return Err(refuse(refusal));
    }

    let view = gateway.published.get();
    let policy = &view.policy;
    let Some(pipeline) = policy.pipelines.get(&body.pipeline) else {
        return Err(refuse(unknown_pipeline(&body.pipeline)));
    };

    if body.body_sha256.len() != 64 || !body.body_sha256.bytes().all(|b| b.is_ascii_hexdigit()) {
        let expected = "64 hexadecimal digits";
        return Err(refuse(posted::invalid(
            "body_sha256",
            &body.body_sha256,
            expected,
        )));
    }

    let class = policy.class(&body.team, &body.class);
    let deadline = body
        .deadline
        .or(pipeline.deadline)
        .or_else(|| class.map(|class| class.deadline))
        .unwrap_or_default();
    let ticket = gateway
        .tickets
        .issue(&view, boot_clock::now(), &body, deadline);

    Ok(body::json(&TicketAnswer {
        address: ticket.home.address,
        request: ticket.request.clone(),
        ticket: gateway.tickets.sign(&ticket),
    }))
}

fn taken(
    gateway: &Arc<Gateway>,
    request: &Request,
    pipeline: &str,
) -> Result<Response, Box<Response>> {
    let refuse = |refusal| Box::new(problem::respond(gateway, None, &refusal));
    let posted = Posted::read(request, pipeline).map_err(refuse)?;

    if gateway.published.get().policy.version == 0
        && let Some(refusal) = gateway.unready()
    {
        return Err(refuse(refusal));
    }

    auth::team(gateway, request, &posted.team).map_err(Box::new)?;
    let record = match &posted.ticket {
        None => repeatable(gateway, &posted).map_err(refuse)?,
        Some(text) => {
            let ticket = check_ticket(gateway, &posted, text).map_err(refuse)?;

            if ticket.home.host != gateway.published.get().local.host {
                return Ok(foreign(gateway, request, &posted, &ticket));
            }

            once(gateway, &posted, ticket).map_err(refuse)?
        }
    };

    Ok(if posted.stream {
        body::stream(gateway, &record)
    } else {
        body::whole(gateway, &record)
    })
}

fn repeatable(gateway: &Arc<Gateway>, posted: &Posted) -> Result<Arc<Record>, Refusal> {
    let now = boot_clock::now();
    let deadline = posted.deadline(&gateway.published.get().policy);
    let subject = Subject {
        deadline: now + deadline,
        digest: digest(posted),
        key: posted.key.clone(),
        request: gateway.request_id(),
        team: posted.team.clone(),
        ticket: None,
    };

    if let Some(found) = gateway.records.find(now, &subject) {
        return known(gateway, found);
    }

    if let Some(refusal) = gateway.unready() {
        return Err(refusal);
    }

    let stages = stages(gateway, posted)?;

    match gateway.records.open(now, subject) {
        Opened::New(record) => {
            let request = state_request(posted, &record, stages);
            start(gateway, posted, None, &record, request);
            Ok(record)
        }
        found => known(gateway, found),
    }
}

fn once(gateway: &Arc<Gateway>, posted: &Posted, ticket: Ticket) -> Result<Arc<Record>, Refusal> {
    let now = boot_clock::now();
    let subject = Subject {
        deadline: now
            + posted
                .deadline
                .map_or(ticket.deadline, |d| d.min(ticket.deadline)),
        digest: digest(posted),
        key: None,
        request: ticket.request.clone(),
        team: posted.team.clone(),
        ticket: Some(ticket.issued),
    };

    if let Some(found) = gateway.records.find(now, &subject) {
        return known(gateway, found);
    }

    let incarnation = gateway.published.get().local.incarnation;

    match home::admission(
        false,
        ticket.home.incarnation,
        ticket.issued,
        incarnation,
        now,
    ) {
        Admission::Join | Admission::Run => {}
        Admission::Refuse(refusal) => return close(gateway, subject, refusal),
        Admission::Resolve => {
            return Err(claim::resolve(&ticket, &gateway.links, WITNESS_TIMEOUT));
        }
    }

    match gateway.records.open(now, subject.clone()) {
        Opened::New(record) => {
            if let Err(refusal) = permitted(gateway, posted, ticket, &record) {
                gateway
                    .records
                    .end(boot_clock::now(), &record, Outcome::Refused(refusal));
            }

            Ok(record)
        }
        Opened::Full(limit) => close(gateway, subject, full(gateway, limit)),
        found => known(gateway, found),
    }
}

/// Starts a request once its witness has granted it. The record is open, so
/// that a copy of the same ticket joins this run; a refusal closes it.
fn permitted(
    gateway: &Arc<Gateway>,
    posted: &Posted,
    ticket: Ticket,
    record: &Arc<Record>,
) -> Result<(), Refusal> {
    if let Some(refusal) = gateway.unready() {
        return Err(refusal);
    }

    let stages = stages(gateway, posted)?;
    let claim = Claim::new(ticket, rand::random()).permit(&gateway.links, WITNESS_TIMEOUT)?;
    let request = state_request(posted, record, stages);
    start(gateway, posted, Some(claim), record, request);
    Ok(())
}

/// Records a refused ticket, so that a late copy of its request never runs.
fn close(gateway: &Gateway, subject: Subject, refusal: Refusal) -> Result<Arc<Record>, Refusal> {
    gateway
        .records
        .close(boot_clock::now(), subject, &Outcome::Refused(refusal))
        .ok_or_else(|| Refusal::unknown(Reason::Limit, "no room to close the ticket"))
}

fn check_ticket(gateway: &Gateway, posted: &Posted, text: &str) -> Result<Ticket, Refusal> {
    let ticket = gateway
        .tickets
        .verify(text)
        .map_err(|error| Refusal::not_run(Reason::Ticket, error.to_string()))?;

    if !ticket.body_sha256.eq_ignore_ascii_case(&posted.sha256) {
        gateway.observer.count("conflicts");
        return Err(Refusal::unknown(
            Reason::Conflict,
            "the ticket is for another body",
        ));
    }

    if ticket.team != posted.team
        || ticket.pipeline != posted.pipeline
        || ticket.class != posted.class
    {
        return Err(Refusal::unknown(
            Reason::Conflict,
            "the ticket is for another team, class or pipeline",
        ));
    }

    Ok(ticket)
}

fn foreign(gateway: &Gateway, request: &Request, posted: &Posted, ticket: &Ticket) -> Response {
    let view = gateway.published.get();
    let route = resolution::route(&view, &ticket.home.host, ticket.home.incarnation);

    if matches!(route, Route::Home)
        && !forward::forwarded(request)
        && let Ok(response) = forward::post(gateway, request, posted, ticket)
    {
        return response;
    }

    let refusal = claim::resolve(ticket, &gateway.links, WITNESS_TIMEOUT);
    problem::respond(gateway, Some(&ticket.request), &refusal)
}

fn known(gateway: &Gateway, opened: Opened) -> Result<Arc<Record>, Refusal> {
    match opened {
        Opened::Conflict => {
            gateway.observer.count("conflicts");
            Err(Refusal::unknown(
                Reason::Conflict,
                "the same key or ticket came with another body",
            ))
        }
        Opened::Full(limit) => Err(full(gateway, limit)),
        Opened::Known(record) | Opened::New(record) => {
            gateway.observer.count("joined");
            Ok(record)
        }
    }
}

fn full(gateway: &Gateway, limit: &'static str) -> Refusal {
    gateway.observer.count(match limit {
        "requests" => "refused_requests",
        _ => "refused_records",
    });
    Refusal::not_run(Reason::Limit, format!("{limit} are at their limit"))
}

fn start(
    gateway: &Arc<Gateway>,
    posted: &Posted,
    claim: Option<Claim<claim::Permitted>>,
    record: &Arc<Record>,
    request: crate::state::request::Request,
) {
    let job = Job {
        body: posted.body.clone(),
        claim,
        record: Arc::clone(record),
        request,
        stream: posted.stream,
    };
    runner::start(gateway, job);
}

fn stages(
    gateway: &Gateway,
    posted: &Posted,
) -> Result<Vec<crate::state::pipeline::Stage>, Refusal> {
    let policy = &gateway.published.get().policy;

    match policy.pipelines.get(&posted.pipeline) {
        Some(pipeline) if !pipeline.stages.is_empty() => Ok(pipeline.stages.clone()),
        _ => Err(unknown_pipeline(&posted.pipeline)),
    }
}

fn unknown_pipeline(pipeline: &id::Pipeline) -> Refusal {
    Refusal::not_run(
        Reason::Missing,
        format!("pipeline {pipeline} is not in the settings"),
    )
}

fn state_request(
    posted: &Posted,
    record: &Record,
    stages: Vec<crate::state::pipeline::Stage>,
) -> crate::state::request::Request {
    crate::state::request::Request {
        arrived: boot_clock::now(),
        class: posted.class.clone(),
        deadline: record.subject.deadline,
        max_tokens: posted.body.max_tokens,
        pipeline: posted.pipeline.clone(),
        prefix: posted.body.prefix.as_deref().map(prefix),
        repeatable: posted.repeatable,
        request: record.subject.request.clone(),
        stages,
        team: posted.team.clone(),
    }
}

fn digest(posted: &Posted) -> String {
    format!("{}/{}", posted.pipeline, posted.sha256)
}

fn prefix(text: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};

    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
