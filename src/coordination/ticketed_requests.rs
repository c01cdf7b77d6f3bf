//! Handles requests that are not repeatable: issues their tickets and runs each
//! at most once.

use {
    crate::{
        coordination::{
            auth, body,
            claim::{self, Claim},
            forward,
            gateway::Gateway,
            intake,
            posted_request::{self, MAX_DEADLINE_MS, PostedRequest},
            problem,
            record::{Outcome, Record, RequestInfo},
            records::OpenOutcome,
        },
        protocol::{
            caller::{TicketAnswer, TicketBody},
            ticket::Ticket,
        },
        state::{
            claims::home::{self, Admission},
            claims::refusal::{Reason, Refusal},
            claims::resolution::{self, Route},
        },
        transport::boot_clock,
    },
    rouille::{Request, Response},
    std::{sync::Arc, time::Duration},
};

/// Timeout of a call to a witness.
pub const WITNESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles a request for a ticket, whose home is this host.
pub fn issue(gateway: &Gateway, request: &Request) -> Response {
    try_issue(gateway, request).unwrap_or_else(|refused| *refused)
}

fn try_issue(gateway: &Gateway, request: &Request) -> Result<Response, Box<Response>> {
    let refuse = |refusal| Box::new(problem::respond(gateway, None, &refusal));
    let body: TicketBody =
        serde_json::from_slice(&posted_request::read_body(request)).map_err(|error| {
            let expected = "JSON {team, class, pipeline, body_sha256, deadline_ms?}";
            refuse(posted_request::invalid(
                "body",
                &error.to_string(),
                expected,
            ))
        })?;
    auth::team(gateway, request, &body.team).map_err(Box::new)?;

    if let Some(refusal) = gateway.unready() {
        return Err(refuse(refusal));
    }

    let view = gateway.published.get();
    let policy = &view.policy;
    let Some(pipeline) = policy.pipelines.get(&body.pipeline) else {
        return Err(refuse(intake::unknown_pipeline(&body.pipeline)));
    };

    if body.body_sha256.len() != 64 || !body.body_sha256.bytes().all(|b| b.is_ascii_hexdigit()) {
        let expected = "64 hexadecimal digits";
        return Err(refuse(posted_request::invalid(
            "body_sha256",
            &body.body_sha256,
            expected,
        )));
    }

    if let Some(deadline) = body.deadline {
        let millis = deadline.as_millis();

        if !(1..=u128::from(MAX_DEADLINE_MS)).contains(&millis) {
            let refusal = posted_request::invalid_deadline("deadline_ms", &millis.to_string());
            return Err(refuse(refusal));
        }
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

/// Finds or opens the record of a request whose home is this host. A new request
/// runs after its witness has permitted it.
///
/// # Errors
///
/// Returns the refusal if the ticket came with another body before, if it is
/// resolved with its witness instead of run, or if a table is at its limit.
pub fn run_once(
    gateway: &Arc<Gateway>,
    posted: &PostedRequest,
    ticket: Ticket,
) -> Result<Arc<Record>, Refusal> {
    let now = boot_clock::now();
    let info = RequestInfo {
        deadline: now
            + posted
                .deadline
                .map_or(ticket.deadline, |d| d.min(ticket.deadline)),
        digest: posted.digest(),
        key: None,
        request: ticket.request.clone(),
        team: posted.team.clone(),
        ticket: Some(ticket.issued),
    };

    if let Some(found) = gateway.records.find(now, &info) {
        return intake::existing_record(gateway, found);
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
        Admission::Refuse(refusal) => return record_refusal(gateway, info, refusal),
        Admission::Resolve => {
            return Err(claim::resolve(&ticket, &gateway.links, WITNESS_TIMEOUT));
        }
    }

    match gateway.records.open(now, info.clone()) {
        OpenOutcome::New(record) => {
            if let Err(refusal) = permit_and_start(gateway, posted, ticket, &record) {
                gateway
                    .records
                    .end(boot_clock::now(), &record, Outcome::Refused(refusal));
            }

            Ok(record)
        }
        OpenOutcome::Full(limit) => {
            record_refusal(gateway, info, intake::limit_refusal(gateway, limit))
        }
        found => intake::existing_record(gateway, found),
    }
}

/// Starts a request after its witness has permitted it. The record is already
/// open, so that a copy of the same ticket joins this run. On a refusal the
/// caller ends the record.
fn permit_and_start(
    gateway: &Arc<Gateway>,
    posted: &PostedRequest,
    ticket: Ticket,
    record: &Arc<Record>,
) -> Result<(), Refusal> {
    if let Some(refusal) = gateway.unready() {
        return Err(refusal);
    }

    let stages = intake::stages(gateway, posted)?;
    let claim = Claim::new(ticket, rand::random()).permit(&gateway.links, WITNESS_TIMEOUT)?;
    intake::start(gateway, posted, Some(claim), record, stages);
    Ok(())
}

/// Records the refusal of a ticket, so that a late copy of its request never
/// runs.
fn record_refusal(
    gateway: &Gateway,
    info: RequestInfo,
    refusal: Refusal,
) -> Result<Arc<Record>, Refusal> {
    gateway
        .records
        .insert_ended(boot_clock::now(), info, &Outcome::Refused(refusal))
        .ok_or_else(|| Refusal::unknown(Reason::Limit, "no room to close the ticket"))
}

/// Verifies the signature of a ticket and that it was issued for this request.
///
/// # Errors
///
/// Returns the refusal if the signature is invalid, or if the ticket is for
/// another body, team, class or pipeline.
pub fn check_ticket(
    gateway: &Gateway,
    posted: &PostedRequest,
    text: &str,
) -> Result<Ticket, Refusal> {
    let ticket = gateway
        .tickets
        .verify(text)
        .map_err(|error| Refusal::unknown(Reason::Ticket, error.to_string()))?;

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

/// Answers a request whose home is another host: forwards it to the home, or
/// resolves its ticket with the witness if the home cannot answer.
pub fn resolve_remote(
    gateway: &Gateway,
    request: &Request,
    posted: &PostedRequest,
    ticket: &Ticket,
) -> Response {
    let view = gateway.published.get();
    let route = resolution::route(view.member(&ticket.home.host), ticket.home.incarnation);

    if matches!(route, Route::Home)
        && !forward::is_forwarded(request)
        && let Ok(response) = forward::post(gateway, request, posted, ticket)
    {
        return response;
    }

    let refusal = claim::resolve(ticket, &gateway.links, WITNESS_TIMEOUT);
    problem::respond(gateway, Some(&ticket.request), &refusal)
}
