//! Parses and validates requests that callers post to a pipeline.

use {
    crate::{
        protocol::{
            caller::{Body, TICKET_HEADER},
            digest,
        },
        state::{
            claims::refusal::{Outcome, Reason, Refusal},
            id,
            policy::Policy,
        },
    },
    rouille::Request,
    std::{io::Read, time::Duration},
};

/// Maximum deadline that a caller may set, in milliseconds. A planned stop waits
/// up to this long for the requests in progress.
pub(super) const MAX_DEADLINE_MS: u64 = 600_000;

/// Maximum length of a team or class name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A posted request whose headers and body are valid.
#[derive(Clone, Debug)]
pub struct PostedRequest {
    pub body: Body,
    /// The unparsed body.
    pub bytes: Vec<u8>,
    pub class: id::Class,
    pub deadline: Option<Duration>,
    /// Idempotency key; only a repeatable request may have one.
    pub key: Option<String>,
    pub pipeline: id::Pipeline,
    pub repeatable: bool,
    /// SHA-256 of the body in hexadecimal.
    pub sha256: String,
    pub stream: bool,
    pub team: id::Team,
    /// Signed ticket, present exactly if the request is not repeatable.
    pub ticket: Option<String>,
}

impl PostedRequest {
    /// Parses an HTTP request.
    ///
    /// # Errors
    ///
    /// Returns a refusal that gives the invalid field, its value and what was
    /// expected.
    pub fn read(request: &Request, pipeline: &str) -> Result<Self, Refusal> {
        let bytes = read_body(request);
        let repeatable = parse_flag(
            "Persimmon-Repeatable",
            request.header("Persimmon-Repeatable"),
        )?;
        let stream = match request.get_param("stream") {
            None => false,
            Some(value) => parse_flag("stream", Some(&value))?,
        };
        let ticket = request.header(TICKET_HEADER).map(String::from);
        let key = request.header("Idempotency-Key").map(String::from);

        match (&ticket, &key) {
            (None, _) if !repeatable => {
                return Err(invalid(
                    TICKET_HEADER,
                    "",
                    "a ticket, because the request is not repeatable",
                ));
            }
            (Some(_), _) if repeatable => {
                return Err(invalid(
                    TICKET_HEADER,
                    "a ticket",
                    "none, because the request is repeatable",
                ));
            }
            (_, Some(key)) if !repeatable || key.is_empty() || key.len() > MAX_KEY_BYTES => {
                let expected =
                    format!("1 to {MAX_KEY_BYTES} characters, and a request that is repeatable");
                return Err(invalid("Idempotency-Key", key, &expected));
            }
            _ => {}
        }

        Ok(Self {
            body: serde_json::from_slice(&bytes)
                .map_err(|error| invalid("body", &error.to_string(), EXPECTED_BODY))?,
            bytes: bytes.clone(),
            class: name_header(request, "Persimmon-Class")?.into(),
            deadline: parse_deadline(request)?,
            key,
            pipeline: pipeline.into(),
            repeatable,
            sha256: digest::sha256_hex(&bytes),
            stream,
            team: name_header(request, "Persimmon-Team")?.into(),
            ticket,
        })
    }

    /// Returns the pipeline and the SHA-256 of the body, which are equal in all
    /// copies of a request.
    pub fn digest(&self) -> String {
        format!("{}/{}", self.pipeline, self.sha256)
    }

    /// Returns the deadline that the caller set, otherwise that of the pipeline,
    /// otherwise that of the class.
    pub fn deadline(&self, policy: &Policy) -> Duration {
        let pipeline = policy.pipelines.get(&self.pipeline);
        let class = policy.class(&self.team, &self.class);

        self.deadline
            .or_else(|| pipeline.and_then(|pipeline| pipeline.deadline))
            .or_else(|| class.map(|class| class.deadline))
            .unwrap_or_default()
    }
}

/// Format of a body, for error messages.
const EXPECTED_BODY: &str = "JSON {prompt, prefix?, max_tokens?, input?}";

/// Returns the body of a request. The server has already enforced the size
/// limit.
pub fn read_body(request: &Request) -> Vec<u8> {
    let mut bytes = Vec::new();

    if let Some(mut data) = request.data() {
        // The server buffers bodies, so this read cannot fail.
        let _ = data.read_to_end(&mut bytes);
    }

    bytes
}

/// Returns the refusal with an outcome that also holds for earlier copies of the
/// request. A ticket may have been posted before, here or at another host, and a
/// caller that receives `not_run` would submit the request again.
pub fn allow_for_earlier_copies(ticketed: bool, refusal: Refusal) -> Refusal {
    match refusal.outcome {
        Outcome::NotRun if ticketed => Refusal {
            outcome: Outcome::Unknown,
            ..refusal
        },
        _ => refusal,
    }
}

/// Returns whether the HTTP request refers to a pipeline request that may have
/// run before.
pub fn may_have_run_before(request: &Request) -> bool {
    let fetches = request.url().starts_with("/v1/requests/");
    fetches || request.header(TICKET_HEADER).is_some()
}

/// Creates the refusal for an invalid field.
pub fn invalid(field: &str, value: &str, expected: &str) -> Refusal {
    Refusal::not_run(
        Reason::Invalid,
        format!("{field} is {value:?}, expected {expected}"),
    )
}

/// Returns the value of a header that holds a team or class name.
fn name_header<'a>(request: &'a Request, name: &str) -> Result<&'a str, Refusal> {
    match request.header(name) {
        Some(value) if (1..=MAX_NAME_BYTES).contains(&value.len()) => Ok(value),
        value => {
            let expected = format!("a name of 1 to {MAX_NAME_BYTES} characters");
            Err(invalid(name, value.unwrap_or(""), &expected))
        }
    }
}

fn parse_flag(name: &str, value: Option<&str>) -> Result<bool, Refusal> {
    match value {
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        value => Err(invalid(name, value.unwrap_or(""), "true or false")),
    }
}

fn parse_deadline(request: &Request) -> Result<Option<Duration>, Refusal> {
    const NAME: &str = "Persimmon-Deadline-Ms";

    let Some(value) = request.header(NAME) else {
        return Ok(None);
    };

    match value.parse() {
        Ok(millis) if (1..=MAX_DEADLINE_MS).contains(&millis) => {
            Ok(Some(Duration::from_millis(millis)))
        }
        _ => Err(invalid_deadline(NAME, value)),
    }
}

/// Creates the refusal for a deadline that is out of range.
pub fn invalid_deadline(field: &str, value: &str) -> Refusal {
    let expected = format!("milliseconds from 1 to {MAX_DEADLINE_MS}");
    invalid(field, value, &expected)
}
