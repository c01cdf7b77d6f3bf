//! Forwards callers' requests to their home over HTTP.

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

/// Header that marks a forwarded request, so that it is not forwarded again.
const FORWARDED_MARK: &str = "Persimmon-Forwarded";

/// Request headers that are forwarded.
const REQUEST_HEADERS: &[&str] = &[
    "Authorization",
    "Persimmon-Class",
    "Persimmon-Deadline-Ms",
    "Persimmon-Repeatable",
    "Persimmon-Team",
    "Persimmon-Ticket",
];

/// Time after a deadline in which the home may still answer.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// Timeout for an answer whose deadline is unknown to this host.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// Returns whether another host forwarded the request.
pub fn is_forwarded(request: &Request) -> bool {
    request.header(FORWARDED_MARK).is_some()
}

/// Fetches an answer from the host at `address`.
///
/// # Errors
///
/// Returns a [`Failure`] if the host cannot be reached, breaks the connection
/// or does not answer in time.
pub fn get(gateway: &Gateway, request: &Request, address: SocketAddr) -> Result<Response, Failure> {
    let headers = headers(request);
    let response = gateway
        .client
        .get(address, request.raw_url(), &headers, MAX_WAIT)?;
    buffered(address, MAX_WAIT, response)
}

/// Posts a request with a ticket to the ticket's home.
///
/// # Errors
///
/// Returns a [`Failure`] if the home cannot be reached, breaks the connection
/// or does not answer in time.
pub fn post(
    gateway: &Gateway,
    request: &Request,
    posted: &PostedRequest,
    ticket: &Ticket,
) -> Result<Response, Failure> {
    let address = ticket.home.address;
    let timeout = ticket.deadline + ANSWER_MARGIN;
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
    REQUEST_HEADERS
        .iter()
        .filter_map(|name| Some((*name, request.header(name)?)))
        .chain([(FORWARDED_MARK, "1")])
        .collect()
}

fn buffered(
    address: SocketAddr,
    timeout: Duration,
    response: ureq::http::Response<Body>,
) -> Result<Response, Failure> {
    let mut forwarded = response_head(&response);
    forwarded.data = ResponseBody::from_data(client::read_body(address, timeout, response)?);
    Ok(forwarded)
}

fn streamed(response: ureq::http::Response<Body>) -> Response {
    let mut forwarded = response_head(&response);
    forwarded.data = ResponseBody::from_reader(response.into_body().into_reader());
    forwarded
}

fn response_head(response: &ureq::http::Response<Body>) -> Response {
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
