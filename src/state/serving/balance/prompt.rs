//! Prompts that need an engine, and the answers to their hosts.

use {
    crate::state::{id, serving::piece::JobId},
    std::time::Duration,
};

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Hash of this part alone.
    pub id: u64,
    /// Hash of this part and all parts before it. An engine reuses a part only
    /// after the same parts.
    pub prefix: u64,
    pub tokens: u32,
}

/// Returns the hash of the prompt up to the end of the last part that requests
/// of a session share, or `None` without a prompt.
pub fn session(parts: &[Part]) -> Option<u64> {
    let part = parts.get(parts.len().saturating_sub(2))?;
    Some(part.prefix)
}

/// How urgent a prompt is and what its answer needs. The default is that of a
/// host of an earlier version, which does not report it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Terms {
    /// Expected length of the answer.
    pub output_tokens: u32,
    pub priority: u8,
    /// Time until the caller's deadline; zero if it is not reported.
    pub remaining: Duration,
    pub team: Option<id::Team>,
    /// Time until the request has to be at an engine to meet its goal.
    pub urgency: Duration,
    /// Whether the host asks again if no engine has room.
    pub waits: bool,
}

/// A prompt for which a host needs an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// Failure domain that holds the inputs, if there are any.
    pub domain: Option<id::Domain>,
    /// Engines that must not be chosen.
    pub exclude: Vec<id::Endpoint>,
    /// Hash of what makes the request the same as an earlier one.
    pub fingerprint: u64,
    pub id: JobId,
    pub parts: Vec<Part>,
    pub service: id::Pool,
    pub terms: Terms,
}

impl Prompt {
    /// Returns the length of the prompt, in tokens.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| u64::from(part.tokens)).sum()
    }
}

/// What a host that needs an engine does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    Engine(id::Endpoint),
    /// The engine is cold: the request has to wait before it is sent there.
    Later {
        engine: id::Endpoint,
        wait: Duration,
    },
    /// All engines are leaving or excluded.
    NoEngine,
    /// A part of the prompt is in quarantine.
    Quarantined,
    /// The prompt cannot be at an engine before its deadline. Capacity is available
    /// after the time.
    Refused(Duration),
    /// No engine has room. The host asks again after the time.
    Wait(Duration),
}

/// The answer to a host that needs an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Expected wait of a new prompt for room.
    pub backlog: Duration,
    pub choice: Choice,
}

impl From<Choice> for Answer {
    fn from(choice: Choice) -> Self {
        Self {
            backlog: Duration::ZERO,
            choice,
        }
    }
}
