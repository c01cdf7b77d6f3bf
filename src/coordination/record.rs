//! Holds the tokens and the outcome of one request for the callers that wait
//! for them.

use {
    crate::{
        protocol::caller::Answer,
        state::{claims::refusal::Refusal, clock::Time, id},
    },
    std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
};

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answered(Arc<Answer>),
    Refused(Refusal),
}

/// Identifies a request and its caller.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// Time by which the run ends.
    pub deadline: Time,
    /// Pipeline and SHA-256 of the body.
    pub digest: String,
    /// Idempotency key.
    pub key: Option<String>,
    pub request: id::Request,
    pub team: id::Team,
    /// Time at which the request's ticket was issued.
    pub ticket: Option<Time>,
}

#[derive(Debug, Default)]
struct RecordState {
    outcome: Option<Outcome>,
    tokens: Vec<String>,
}

/// The record of one request, shared between its run and its callers.
#[derive(Debug)]
pub struct Record {
    changed: Condvar,
    state: Mutex<RecordState>,
    pub info: RequestInfo,
}

/// One item of a streamed answer.
#[derive(Clone, Debug)]
pub enum StreamItem {
    /// All tokens were returned and the request has ended.
    End(Outcome),
    /// Further tokens of the answer.
    Tokens(Vec<String>),
}

impl Record {
    /// Creates the record of a request that starts.
    pub fn new(info: RequestInfo) -> Self {
        Self {
            changed: Condvar::new(),
            state: Mutex::default(),
            info,
        }
    }

    /// Appends tokens to the answer, unless the request has ended.
    pub fn push(&self, tokens: &[String]) {
        let mut state = self.lock();

        if state.outcome.is_none() {
            state.tokens.extend_from_slice(tokens);
            self.changed.notify_all();
        }
    }

    /// Returns the tokens received so far.
    pub fn tokens(&self) -> Vec<String> {
        self.lock().tokens.clone()
    }

    /// Returns the memory that the answer's text takes, in bytes. The text of a
    /// streamed answer is held twice, as tokens and as output.
    pub fn bytes(&self) -> usize {
        let state = self.lock();
        let tokens: usize = state.tokens.iter().map(String::len).sum();
        let output = match &state.outcome {
            Some(Outcome::Answered(answer)) => match answer.output.as_str() {
                Some(text) => text.len(),
                None => answer.output.to_string().len(),
            },
            _ => 0,
        };
        tokens + output
    }

    /// Returns whether the request has ended.
    pub fn ended(&self) -> bool {
        self.lock().outcome.is_some()
    }

    /// Sets the outcome unless the request has ended. Returns whether it was set.
    pub fn end(&self, outcome: Outcome) -> bool {
        let mut state = self.lock();
        let first = state.outcome.is_none();

        if first {
            state.outcome = Some(outcome);
            self.changed.notify_all();
        }

        first
    }

    /// Waits for the outcome. The wait is bounded, since every run ends by its
    /// deadline.
    pub fn wait(&self) -> Outcome {
        let mut state = self.lock();

        loop {
            if let Some(outcome) = &state.outcome {
                return outcome.clone();
            }

            state = self.wait_for_change(state);
        }
    }

    /// Waits until there are tokens from index `after` on, or until the request
    /// has ended.
    pub fn next(&self, after: usize) -> StreamItem {
        let mut state = self.lock();

        loop {
            if state.tokens.len() > after {
                return StreamItem::Tokens(state.tokens[after..].to_vec());
            }

            if let Some(outcome) = &state.outcome {
                return StreamItem::End(outcome.clone());
            }

            state = self.wait_for_change(state);
        }
    }

    fn lock(&self) -> MutexGuard<'_, RecordState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait_for_change<'a>(
        &self,
        state: MutexGuard<'a, RecordState>,
    ) -> MutexGuard<'a, RecordState> {
        self.changed
            .wait(state)
            .unwrap_or_else(PoisonError::into_inner)
    }
}
