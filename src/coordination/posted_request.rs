//! A request to a pipeline as the caller posted it.

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

/// Longest deadline that a caller may ask for; a planned stop waits for it.
pub(super) const MAX_DEADLINE_MS: u64 = 600_000;

/// Longest name of a team or a class, in bytes.
const NAME_BYTES: usize = 64;

/// Longest idempotency key, in bytes.
const KEY_BYTES: usize = 256;

/// A request with its headers and body checked.
#[derive(Clone, Debug)]
pub struct PostedRequest {
    pub body: Body,
    /// The body as it came.
    pub bytes: Vec<u8>,
    pub class: id::Class,
    pub deadline: Option<Duration>,
    /// Idempotency key of a repeatable request.
    pub key: Option<String>,
    pub pipeline: id::Pipeline,
    pub repeatable: bool,
    pub sha256: String,
    pub stream: bool,
    pub team: id::Team,
    /// Signed ticket; a request that is not repeatable has one.
    pub ticket: Option<String>,
}

impl PostedRequest {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the field, its value and what was expected.
    pub fn read(request: &Request, pipeline: &str) -> Result<Self, Refusal> {
        let bytes = read_body(request);
        let repeatable = flag(
            "Persimmon-Repeatable",
            request.header("Persimmon-Repeatable"),
        )?;
        let stream = match request.get_param("stream") {
            None => false,
            Some(value) => flag("stream", Some(&value))?,
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
            (_, Some(key)) if !repeatable || key.is_empty() || key.len() > KEY_BYTES => {
                let expected =
                    format!("1 to {KEY_BYTES} characters, and a request that is repeatable");
                return Err(invalid("Idempotency-Key", key, &expected));
            }
            _ => {}
        }

        Ok(Self {
            body: serde_json::from_slice(&bytes)
                .map_err(|error| invalid("body", &error.to_string(), BODY))?,
            bytes: bytes.clone(),
            class: text(request, "Persimmon-Class")?.into(),
            deadline: deadline(request)?,
            key,
            pipeline: pipeline.into(),
            repeatable,
            sha256: digest::sha256_hex(&bytes),
            stream,
            team: text(request, "Persimmon-Team")?.into(),
            ticket,
        })
    }

    /// Returns what two copies of one request have in common.
    pub fn digest(&self) -> String {
        format!("{}/{}", self.pipeline, self.sha256)
    }

    /// Returns the deadline: the caller's, else the pipeline's, else the
    /// class's.
    pub fn deadline(&self, policy: &Policy) -> Duration {
        let pipeline = policy.pipelines.get(&self.pipeline);
        let class = policy.class(&self.team, &self.class);

        self.deadline
            .or_else(|| pipeline.and_then(|pipeline| pipeline.deadline))
            .or_else(|| class.map(|class| class.deadline))
            .unwrap_or_default()
    }
}

const BODY: &str = "JSON {prompt, prefix?, max_tokens?, input?}";

/// Returns the bytes of a request's body; the server has bounded them.
pub fn read_body(request: &Request) -> Vec<u8> {
    let mut bytes = Vec::new();

    if let Some(mut data) = request.data() {
        // The body is in memory already.
        let _ = data.read_to_end(&mut bytes);
    }

    bytes
}

/// Returns the refusal with an outcome that also holds for an earlier copy of
/// the request. A ticket may have been posted before, here or at another host,
/// and a caller that takes `not_run` for its order would order again.
pub fn allow_for_earlier_copies(ticketed: bool, refusal: Refusal) -> Refusal {
    match refusal.outcome {
        Outcome::NotRun if ticketed => Refusal {
            outcome: Outcome::Unknown,
            ..refusal
        },
        _ => refusal,
    }
}

/// Returns whether a request names one that may have run before.
pub fn may_have_run_before(request: &Request) -> bool {
    let fetches = request.url().starts_with("/v1/requests/");
    fetches || request.header(TICKET_HEADER).is_some()
}

/// Builds the refusal of a field.
pub fn invalid(field: &str, value: &str, expected: &str) -> Refusal {
    Refusal::not_run(
        Reason::Invalid,
        format!("{field} is {value:?}, expected {expected}"),
    )
}

fn text<'a>(request: &'a Request, name: &str) -> Result<&'a str, Refusal> {
    match request.header(name) {
        Some(value) if (1..=NAME_BYTES).contains(&value.len()) => Ok(value),
        value => {
            let expected = format!("a name of 1 to {NAME_BYTES} characters");
            Err(invalid(name, value.unwrap_or(""), &expected))
        }
    }
}

fn flag(name: &str, value: Option<&str>) -> Result<bool, Refusal> {
    match value {
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        value => Err(invalid(name, value.unwrap_or(""), "true or false")),
    }
}

fn deadline(request: &Request) -> Result<Option<Duration>, Refusal> {
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

/// Builds the refusal of a deadline.
pub fn invalid_deadline(field: &str, value: &str) -> Refusal {
    let expected = format!("milliseconds from 1 to {MAX_DEADLINE_MS}");
    invalid(field, value, &expected)
}
