//! The record of one request: its tokens and its outcome.

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

/// What a request is, for those who ask for its answer.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// When the run ends at the latest.
    pub deadline: Time,
    /// Pipeline and SHA-256 of the body.
    pub digest: String,
    pub key: Option<String>,
    pub request: id::Request,
    pub team: id::Team,
    /// Issue time of the request's ticket.
    pub ticket: Option<Time>,
}

#[derive(Debug, Default)]
struct Progress {
    outcome: Option<Outcome>,
    tokens: Vec<String>,
}

/// The record of one request, shared between its run and its callers.
#[derive(Debug)]
pub struct Record {
    changed: Condvar,
    progress: Mutex<Progress>,
    pub info: RequestInfo,
}

/// The next piece of a streamed answer.
#[derive(Clone, Debug)]
pub enum StreamItem {
    End(Outcome),
    Tokens(Vec<String>),
}

impl Record {
    /// Builds the record of a request that starts.
    pub fn new(info: RequestInfo) -> Self {
        Self {
            changed: Condvar::new(),
            progress: Mutex::default(),
            info,
        }
    }

    /// Adds tokens to the answer.
    pub fn push(&self, tokens: &[String]) {
        let mut progress = self.lock();

        if progress.outcome.is_none() {
            progress.tokens.extend_from_slice(tokens);
            self.changed.notify_all();
        }
    }

    /// Returns every token so far.
    pub fn tokens(&self) -> Vec<String> {
        self.lock().tokens.clone()
    }

    /// Returns the bytes of the answer's text, which is held once as tokens and
    /// once as output when it was streamed.
    pub fn bytes(&self) -> usize {
        let progress = self.lock();
        let tokens: usize = progress.tokens.iter().map(String::len).sum();
        let output = match &progress.outcome {
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

    /// Sets the outcome; the first one stays. Returns whether it was first.
    pub fn end(&self, outcome: Outcome) -> bool {
        let mut progress = self.lock();
        let first = progress.outcome.is_none();

        if first {
            progress.outcome = Some(outcome);
            self.changed.notify_all();
        }

        first
    }

    /// Waits for the outcome. Every run ends by its deadline, so this does too.
    pub fn wait(&self) -> Outcome {
        let mut progress = self.lock();

        loop {
            if let Some(outcome) = &progress.outcome {
                return outcome.clone();
            }

            progress = self.sleep(progress);
        }
    }

    /// Waits for tokens from index `after` on, or for the end.
    pub fn next(&self, after: usize) -> StreamItem {
        let mut progress = self.lock();

        loop {
            if progress.tokens.len() > after {
                return StreamItem::Tokens(progress.tokens[after..].to_vec());
            }

            if let Some(outcome) = &progress.outcome {
                return StreamItem::End(outcome.clone());
            }

            progress = self.sleep(progress);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sleep<'a>(&self, progress: MutexGuard<'a, Progress>) -> MutexGuard<'a, Progress> {
        self.changed
            .wait(progress)
            .unwrap_or_else(PoisonError::into_inner)
    }
}
