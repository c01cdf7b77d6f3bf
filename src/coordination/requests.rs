//! Handles the caller routes for posting requests and fetching answers.

use {
    crate::{
        coordination::{
            auth, body, claim, forward,
            gateway::Gateway,
            intake,
            posted_request::{self, PostedRequest},
            problem,
            record::{Record, RequestInfo},
            records::OpenOutcome,
            ticketed_requests,
        },
        protocol::{caller::TICKET_HEADER, ticket::Ticket},
        state::{
            claims::refusal::{Reason, Refusal},
            id,
            view::View,
        },
        transport::boot_clock,
    },
    rouille::{Request, Response},
    std::sync::Arc,
};

/// Handles a request that is posted to a pipeline and returns its answer.
pub fn post(gateway: &Arc<Gateway>, request: &Request, pipeline: &str) -> Response {
    try_post(gateway, request, pipeline).unwrap_or_else(|refused| *refused)
}

/// Returns the answer of a request, waiting until it has ended. A request
/// without a record here is fetched from its home, or resolved with the witness
/// of its ticket.
pub fn get(gateway: &Gateway, request: &Request, id: &id::Request) -> Response {
    if let Some(record) = gateway.records.get(boot_clock::now(), id) {
        return match auth::team(gateway, request, &record.info.team) {
            Ok(()) => body::buffered(gateway, &record),
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
        && !forward::is_forwarded(request)
        && let Ok(response) = forward::get(gateway, request, home.caller_address)
    {
        return response;
    }

    let ticket = request
        .header(TICKET_HEADER)
        .and_then(|text| gateway.tickets.verify(text).ok())
        .filter(|ticket| ticket.request == *id && !is_home(&view, ticket));
    let refusal = match ticket {
        Some(ticket) => match auth::team(gateway, request, &ticket.team) {
            Ok(()) => claim::resolve(&ticket, &gateway.links, ticketed_requests::WITNESS_TIMEOUT),
            Err(response) => return response,
        },
        None => Refusal::unknown(Reason::Missing, "no host holds a record of the request"),
    };
    problem::respond(gateway, Some(id), &refusal)
}

/// Returns whether this incarnation of this host is the ticket's home.
fn is_home(view: &View, ticket: &Ticket) -> bool {
    ticket.home.host == view.local.host && ticket.home.incarnation == view.local.incarnation
}

fn try_post(
    gateway: &Arc<Gateway>,
    request: &Request,
    pipeline: &str,
) -> Result<Response, Box<Response>> {
    let refuse = |refusal| Box::new(problem::respond(gateway, None, &refusal));
    let refuse_unknown = |refusal| {
        refuse(posted_request::allow_for_earlier_copies(
            posted_request::may_have_run_before(request),
            refusal,
        ))
    };
    let posted = PostedRequest::read(request, pipeline).map_err(refuse_unknown)?;

    if gateway.published.get().policy.version == 0
        && let Some(refusal) = gateway.unready()
    {
        return Err(refuse_unknown(refusal));
    }

    auth::team(gateway, request, &posted.team).map_err(Box::new)?;
    let record = match &posted.ticket {
        None => open_repeatable(gateway, &posted).map_err(refuse)?,
        Some(text) => {
            let ticket = ticketed_requests::check_ticket(gateway, &posted, text).map_err(refuse)?;

            if ticket.home.host != gateway.published.get().local.host {
                return Ok(ticketed_requests::resolve_remote(
                    gateway, request, &posted, &ticket,
                ));
            }

            ticketed_requests::run_once(gateway, &posted, ticket).map_err(refuse)?
        }
    };

    Ok(if posted.stream {
        body::stream(gateway, &record)
    } else {
        body::buffered(gateway, &record)
    })
}

/// Joins the run of a repeatable request with the same idempotency key, or
/// starts a new one.
fn open_repeatable(gateway: &Arc<Gateway>, posted: &PostedRequest) -> Result<Arc<Record>, Refusal> {
    let now = boot_clock::now();
    let deadline = posted.deadline(&gateway.published.get().policy);
    let info = RequestInfo {
        deadline: now + deadline,
        digest: posted.digest(),
        key: posted.key.clone(),
        request: gateway.request_id(),
        team: posted.team.clone(),
        ticket: None,
    };

    if let Some(found) = gateway.records.find(now, &info) {
        return intake::existing_record(gateway, found);
    }

    if let Some(refusal) = gateway.unready() {
        return Err(refusal);
    }

    let stages = intake::stages(gateway, posted)?;

    match gateway.records.open(now, info) {
        OpenOutcome::New(record) => {
            intake::start(gateway, posted, None, &record, stages);
            Ok(record)
        }
        found => intake::existing_record(gateway, found),
    }
}
