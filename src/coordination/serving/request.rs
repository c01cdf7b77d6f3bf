//! A caller's request while it is being served.

use {
    crate::{
        coordination::serving::timeline::Timeline,
        protocol::adapter::Call,
        state::{
            clock::Time,
            id,
            serving::{
                balance::{self, Part, Terms},
                chain,
                config::Route,
                piece::Output,
                quarantine::{self, Quarantine},
            },
        },
        transport::boot_clock,
    },
    hyper::{
        HeaderMap, Method, Uri,
        body::Bytes,
        header::{HOST, HeaderValue},
        http::uri::PathAndQuery,
    },
    siphasher::sip::SipHasher13,
    std::{
        cell::{Cell, OnceCell, RefCell},
        hash::{Hash, Hasher},
        sync::Arc,
        time::Duration,
    },
};

/// Time reserved for returning the response to the caller. It is subtracted from
/// the endpoint's time, so that the response arrives before the caller's
/// deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(5);

/// Time after which callers of a stream leave without a first event, relative to
/// the route's time goal. Seen on the users' deployments, where it is often
/// shorter than the deadline.
const PATIENCE: u32 = 4;

/// A request and its progress.
#[derive(Debug)]
pub struct Request {
    /// Number of attempts that were sent to endpoints.
    pub attempts: Cell<u32>,
    pub body: Bytes,
    pub call: Call,
    pub deadline: Time,
    /// The endpoint of the last attempt.
    pub endpoint: RefCell<Option<id::Endpoint>>,
    /// The hash of the path, caller, body and prompt, once it was needed.
    pub fingerprint: OnceCell<u64>,
    pub headers: HeaderMap,
    /// Longest pause between two chunks of events.
    pub longest_gap: Cell<Duration>,
    /// Whether an endpoint may have run the request.
    pub may_have_run: Cell<bool>,
    pub method: Method,
    pub priority: u8,
    pub route: Arc<Route>,
    pub service: id::Pool,
    pub started: Time,
    pub team: Option<id::Team>,
    pub timeline: Timeline,
    pub uri: Uri,
}

impl Request {
    /// Returns the caller's id of the request, or `-` without one, for logs.
    pub fn id(&self) -> &str {
        self.call.attempt.as_deref().unwrap_or("-")
    }

    /// Returns the time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.since(boot_clock::now())
    }

    /// Returns the time until the caller leaves if the response has not begun.
    pub fn time_to_respond(&self) -> Duration {
        if !self.route.stream || self.may_have_run.get() {
            return self.remaining();
        }

        let patience = self.started + self.route.goal * PATIENCE;
        self.deadline.min(patience).since(boot_clock::now())
    }

    /// Returns the time within which an endpoint has to respond.
    pub fn endpoint_time(&self) -> Duration {
        self.remaining().saturating_sub(RESPONSE_MARGIN)
    }

    /// Returns the time left until the route's time goal.
    pub fn time_to_goal(&self) -> Duration {
        (self.started + self.route.goal).since(boot_clock::now())
    }

    /// Returns the time since the request arrived.
    pub fn age(&self) -> Duration {
        boot_clock::now().since(self.started)
    }

    /// Returns the hash of the prompt that requests of a session share. It
    /// routes them to the engine that has this prompt cached.
    pub fn session(&self) -> Option<u64> {
        balance::session(&self.prompt_parts())
    }

    /// Returns how urgent the prompt is and what its answer needs. Only a request that
    /// was at no engine before waits for room.
    pub fn terms(&self) -> Terms {
        let prompt = self.call.prompt.as_ref();
        let output = prompt.map_or(0, |prompt| {
            let hint = prompt.length_hint.unwrap_or(prompt.max_output_tokens);
            hint.min(prompt.max_output_tokens)
        });
        Terms {
            output_tokens: u32::try_from(output).unwrap_or(u32::MAX),
            priority: self.priority,
            remaining: self.remaining(),
            team: self.team.clone(),
            urgency: chain::latest_engine_start(self.time_to_goal()),
            waits: !self.may_have_run.get(),
        }
    }

    /// Returns a hash of what makes the request the same as an earlier one: its path,
    /// caller and body, and the prompt that its headers describe.
    pub fn fingerprint(&self) -> u64 {
        *self.fingerprint.get_or_init(|| {
            let mut hasher = SipHasher13::new();
            let host = self.headers.get(HOST).map(HeaderValue::as_bytes);
            let team = self.team.as_ref().map(id::Team::as_str);
            (self.method.as_str(), host, team).hash(&mut hasher);
            self.uri
                .path_and_query()
                .map(PathAndQuery::as_str)
                .hash(&mut hasher);
            self.body.hash(&mut hasher);
            self.prompt_parts()
                .last()
                .map(|part| part.prefix)
                .hash(&mut hasher);
            hasher.finish()
        })
    }

    /// Returns the ids of the first parts of the prompt that other requests may
    /// share, for logs.
    pub fn shared_parts(&self) -> Vec<&str> {
        /// Maximum number of parts in a log line.
        const MAX_PARTS: usize = 8;

        let prompt = self.call.prompt.iter();
        let shared = prompt.flat_map(|prompt| quarantine::shared(&prompt.parts));
        shared
            .map(|part| part.id.as_str())
            .take(MAX_PARTS)
            .collect()
    }

    /// Returns the id and hash of a part of the prompt that is in quarantine.
    pub fn quarantined_part(&self, quarantine: &Quarantine) -> Option<(&str, u64)> {
        let now = boot_clock::now();
        let parts = &self.call.prompt.as_ref()?.parts;
        let mut parts = quarantine::shared(parts).iter();
        parts.find_map(|part| {
            let found = quarantine.find(now, [part_hash(&part.id)])?;
            Some((part.id.as_str(), found))
        })
    }

    /// Returns the parts of the prompt, each with its hash and that of the prompt
    /// up to its end.
    pub fn prompt_parts(&self) -> Vec<Part> {
        let parts = self.call.prompt.iter().flat_map(|prompt| &prompt.parts);
        hash_parts(parts.map(|part| (part.id.as_str(), part.tokens)))
    }
}

/// Returns the parts of a prompt, given by their ids and tokens, with their hashes.
pub fn hash_parts<'a>(parts: impl Iterator<Item = (&'a str, u64)>) -> Vec<Part> {
    let mut hasher = SipHasher13::new();
    parts
        .map(|(id, tokens)| {
            id.hash(&mut hasher);
            Part {
                id: part_hash(id),
                prefix: hasher.finish(),
                tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            }
        })
        .collect()
}

/// Returns the hash of a part of a prompt, the same on every host.
fn part_hash(id: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Returns the handles of outputs, in order.
pub fn handles(outputs: &[Output]) -> Vec<String> {
    outputs.iter().map(|output| output.handle.clone()).collect()
}
