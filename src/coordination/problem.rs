//! Converts refusals to HTTP responses with problem documents.

use {
    crate::{
        coordination::{gateway::Gateway, posted_request},
        protocol::caller::{Problem, TICKET_HEADER},
        state::{
            claims::refusal::{Outcome, Reason, Refusal},
            id,
        },
        transport::{client, head::Head, server::Fault},
    },
    rouille::{Request, Response, ResponseBody},
    std::time::Duration,
};

/// `Retry-After` of a 429 or 503 response whose refusal has none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the response for a refused request.
pub fn respond(gateway: &Gateway, request: Option<&id::Request>, refusal: &Refusal) -> Response {
    response(gateway, request, refusal, status(refusal))
}

/// Returns the response for a missing or wrong key, and counts it.
pub fn forbidden(gateway: &Gateway, request: &Request, status: u16, detail: &str) -> Response {
    gateway.observer.count("wrong_keys");
    let refusal = Refusal::not_run(Reason::Forbidden, detail);
    let refusal = posted_request::allow_for_earlier_copies(
        posted_request::may_have_run_before(request),
        refusal,
    );
    response(gateway, None, &refusal, status).with_additional_header("WWW-Authenticate", "Bearer")
}

/// Returns the response for a request that the server could not read or that
/// exceeds one of its limits, and counts it. A request without a readable head
/// is treated as one with a ticket, since it may have one.
pub fn fault(gateway: &Gateway, fault: &Fault, head: Option<&Head>) -> Response {
    let (name, status, reason, detail) = match fault {
        Fault::TotalBodies { limit } => (
            "refused_bodies",
            503,
            Reason::Limit,
            format!("bodies of all requests take more than {limit} bytes"),
        ),
        Fault::Body { bytes, limit } => (
            "refused_body_bytes",
            413,
            Reason::Limit,
            format!("body_bytes is {bytes}, expected at most {limit}"),
        ),
        Fault::Connections { limit } => (
            "refused_connections",
            503,
            Reason::Limit,
            format!("connections are more than {limit}, expected at most {limit}"),
        ),
        Fault::Header { limit } => (
            "refused_header_bytes",
            431,
            Reason::Limit,
            format!("header_bytes is more than {limit}, expected at most {limit}"),
        ),
        Fault::Invalid { detail } => ("refused_invalid", 400, Reason::Invalid, detail.clone()),
        Fault::ReadTimeout { limit } => (
            "refused_read_timeout",
            408,
            Reason::Limit,
            format!(
                "the request took more than {limit} ms, expected at most {limit} ms",
                limit = limit.as_millis()
            ),
        ),
    };
    gateway.observer.count(name);
    let ticketed =
        head.is_none_or(|head| head.header(&TICKET_HEADER.to_ascii_lowercase()).is_some());
    let refusal =
        posted_request::allow_for_earlier_copies(ticketed, Refusal::not_run(reason, detail));
    response(gateway, None, &refusal, status)
}

/// Returns the problem document of a refusal.
pub fn document(
    gateway: &Gateway,
    request: Option<&id::Request>,
    refusal: &Refusal,
    status: u16,
) -> Problem {
    let mut refusal = refusal.clone();

    if matches!(status, 429 | 503) && refusal.retry_after.is_zero() {
        refusal.retry_after = DEFAULT_RETRY_AFTER;
    }

    let other_host_may_accept = matches!(
        refusal.reason,
        Reason::Leaving | Reason::NotReady | Reason::Overload | Reason::Limit
    ) && status == 503;

    Problem {
        entrypoint: other_host_may_accept
            .then(|| gateway.alternative_address())
            .flatten(),
        kind: format!("urn:persimmoncleat:{}", reason_name(refusal.reason)),
        request: request.cloned(),
        status,
        title: title(refusal.outcome).into(),
        refusal,
    }
}

/// Returns the HTTP status of a refusal.
pub fn status(refusal: &Refusal) -> u16 {
    match refusal.reason {
        Reason::Conflict | Reason::Ticket => 409,
        Reason::Deadline => 504,
        Reason::Forbidden => 403,
        Reason::Invalid => 400,
        Reason::Leaving
        | Reason::Limit
        | Reason::NoEndpoint
        | Reason::NotReady
        | Reason::Overload
        | Reason::Witness => 503,
        Reason::Missing => 404,
        Reason::Stage => 502,
        Reason::TeamLimit => 429,
    }
}

fn response(
    gateway: &Gateway,
    request: Option<&id::Request>,
    refusal: &Refusal,
    status: u16,
) -> Response {
    let problem = document(gateway, request, refusal, status);
    let retry_after = problem.refusal.retry_after;
    let mut headers = vec![("Content-Type".into(), "application/problem+json".into())];

    if !retry_after.is_zero() {
        let seconds = retry_after.as_millis().div_ceil(1000).to_string();
        headers.push(("Retry-After".into(), seconds.into()));
    }

    Response {
        status_code: status,
        headers,
        data: ResponseBody::from_data(client::json(&problem)),
        upgrade: None,
    }
}

fn reason_name(reason: Reason) -> String {
    match serde_json::to_value(reason) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

fn title(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Failed => "The request ran and failed",
        Outcome::NotRun => "The request did not run",
        Outcome::Unknown => "The request may have run",
    }
}
