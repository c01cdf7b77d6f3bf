//! The responses that this host generates itself.

use {
    crate::transport::http::body::Body,
    hyper::{
        Response, StatusCode,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    std::time::Duration,
};

/// Returns whether callers take a status to mean that the request has not run and
/// never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Why no endpoint's response was forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    Body,
    /// Only cold endpoints are left, none of which has a free slot before the time has
    /// passed.
    Cold(Duration),
    Configuration,
    Deadline,
    /// No endpoint wants requests from this host before the time has passed.
    Deferred(Duration),
    EndpointFailed,
    /// All endpoints are in evacuated domains.
    Evacuated,
    Full,
    /// Endpoints have crashed each time that they ran the request, which is tried again
    /// after the time.
    Harmful(Duration),
    Header,
    Key,
    Leaving,
    Memory,
    NoEndpoint,
    /// No engine has room before the deadline, but one does after the time.
    NoRoom(Duration),
    Overload,
    Quarantined,
    Route,
    StageFailed,
    TooLarge,
    Unreachable,
}

impl Reason {
    /// Returns the reason's name in logs, metrics and responses.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Body => "body_unreadable",
            Self::Cold(_) => "endpoints_cold",
            Self::Configuration => "no_configuration",
            Self::Deadline => "deadline",
            Self::Deferred(_) => "endpoints_deferred",
            Self::EndpointFailed => "endpoint_failed",
            Self::Evacuated => "endpoints_evacuated",
            Self::Full => "endpoints_full",
            Self::Harmful(_) => "request_quarantined",
            Self::Header => "header_unreadable",
            Self::Key => "unknown_key",
            Self::Leaving => "host_leaving",
            Self::Memory => "no_memory",
            Self::NoEndpoint => "no_endpoint",
            Self::NoRoom(_) => "engines_full",
            Self::Overload => "overload",
            Self::Quarantined => "prompt_part_quarantined",
            Self::Route => "no_route",
            Self::StageFailed => "stage_failed",
            Self::TooLarge => "too_large",
            Self::Unreachable => "endpoints_unreachable",
        }
    }
}

/// A response that this host gives instead of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The request has not run and never will; the caller may retry.
    NotRun {
        reason: Reason,
        retry_after: Duration,
    },
    /// The request is invalid or not allowed; it has not run.
    Rejected(Reason),
    /// The request may have run.
    Unknown(Reason),
}

impl Refusal {
    /// Returns why the request was refused.
    pub const fn reason(self) -> Reason {
        match self {
            Self::NotRun { reason, .. } | Self::Rejected(reason) | Self::Unknown(reason) => reason,
        }
    }

    /// Returns the HTTP status. `Unknown` maps to gateway errors, which leave open
    /// whether the request ran.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Rejected(Reason::Key) => StatusCode::UNAUTHORIZED,
            Self::Rejected(Reason::Route) => StatusCode::NOT_FOUND,
            Self::Rejected(Reason::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Rejected(_) => StatusCode::BAD_REQUEST,
            Self::Unknown(Reason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
        }
    }

    /// Builds the HTTP response.
    pub fn response(self) -> Response<Body> {
        let text = format!("{}\n", self.reason().name());
        let mut response = Response::new(Body::buffered(text));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));

        if let Self::NotRun { retry_after, .. } = self {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());

            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }

        response
    }
}
