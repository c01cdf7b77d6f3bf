//! Passes a caller's request on to its home by HTTP.

use {
    crate::{
        coordination::{gateway::Gateway, posted_request::PostedRequest},
        protocol::ticket::Ticket,
        transport::client::{self, Failure},
    },
    rouille::{Request, Response, ResponseBody},
    std::{net::SocketAddr, time::Duration},
    ureq::Body,
};

/// Marks a forwarded request, which is not forwarded again.
const MARK: &str = "Persimmon-Forwarded";

/// Headers that are passed on.
const HEADERS: &[&str] = &[
    "Authorization",
    "Persimmon-Class",
    "Persimmon-Deadline-Ms",
    "Persimmon-Repeatable",
    "Persimmon-Team",
    "Persimmon-Ticket",
];

/// Time beyond a deadline in which the home is still expected to answer.
const MARGIN: Duration = Duration::from_secs(2);

/// Longest wait for an answer whose deadline is not known here.
const LONGEST: Duration = Duration::from_secs(600);

/// Returns whether another host forwarded the request.
pub fn is_forwarded(request: &Request) -> bool {
    request.header(MARK).is_some()
}

/// Fetches an answer from the host at `address`.
///
/// # Errors
///
/// Returns how the call failed.
pub fn get(gateway: &Gateway, request: &Request, address: SocketAddr) -> Result<Response, Failure> {
    let headers = headers(request);
    let response = gateway
        .client
        .get(address, request.raw_url(), &headers, LONGEST)?;
    buffered(address, LONGEST, response)
}

/// Posts a request with a ticket to the ticket's home.
///
/// # Errors
///
/// Returns how the call failed.
pub fn post(
    gateway: &Gateway,
    request: &Request,
    posted: &PostedRequest,
    ticket: &Ticket,
) -> Result<Response, Failure> {
    let address = ticket.home.address;
    let timeout = ticket.deadline + MARGIN;
    let body = &posted.bytes;
    let response =
        gateway
            .client
            .post(address, request.raw_url(), &headers(request), body, timeout)?;

    if posted.stream && response.status() == 200 {
        return Ok(streamed(response));
    }

    buffered(address, timeout, response)
}

fn headers(request: &Request) -> Vec<(&str, &str)> {
    HEADERS
        .iter()
        .filter_map(|name| Some((*name, request.header(name)?)))
        .chain([(MARK, "1")])
        .collect()
}

fn buffered(
    address: SocketAddr,
    timeout: Duration,
    response: ureq::http::Response<Body>,
) -> Result<Response, Failure> {
    let mut forwarded = empty(&response);
    forwarded.data = ResponseBody::from_data(client::read_body(address, timeout, response)?);
    Ok(forwarded)
}

fn streamed(response: ureq::http::Response<Body>) -> Response {
    let mut forwarded = empty(&response);
    forwarded.data = ResponseBody::from_reader(response.into_body().into_reader());
    forwarded
}

fn empty(response: &ureq::http::Response<Body>) -> Response {
    let headers = ["Content-Type", "Retry-After", "WWW-Authenticate"]
        .into_iter()
        .filter_map(|name| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some((name.into(), value.to_string().into()))
        });

    Response {
        status_code: response.status().as_u16(),
        headers: headers.collect(),
        data: ResponseBody::empty(),
        upgrade: None,
    }
}
