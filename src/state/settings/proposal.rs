//! State of a submitted draft until its outcome is known.

use {
    crate::state::{
        clock::Time,
        settings::change::{Change, Draft, Outcome},
        settings::log::Log,
    },
    std::mem,
};

/// Result of the call to the store that creates a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Creation {
    /// The change was created, or another one already has its version.
    Answered,
    /// The change was not created and will not be.
    Refused,
    /// No answer arrived: the change may have been created, or may still be.
    Unknown,
}

/// Next action for a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    Create(Change),
    Reply(Outcome),
    Wait,
}

#[derive(Clone, Debug)]
enum Stage {
    /// Waiting for the latest changes before the draft is checked.
    Reading,
    /// Waiting for the store's answer to the creation.
    Creating(Change),
    /// Waiting for the changes from its version on, which show whether the
    /// change was created.
    Confirming(Change),
}

/// Submitted draft whose outcome is not known yet.
#[derive(Clone, Debug)]
pub struct Proposal {
    deadline: Time,
    draft: Draft,
    /// Whether an unanswered creation at the current version may still take
    /// effect.
    in_doubt: bool,
    stage: Stage,
    ticket: u64,
}

impl Proposal {
    /// Builds a proposal whose outcome is reported by `deadline` at the latest.
    pub fn new(ticket: u64, draft: Draft, deadline: Time) -> Self {
        Self {
            deadline,
            draft,
            in_doubt: false,
            stage: Stage::Reading,
            ticket,
        }
    }

    /// Returns the ticket that identifies the submission in the reply.
    pub fn ticket(&self) -> u64 {
        self.ticket
    }

    /// Returns whether the proposal waits for a list of changes.
    pub fn needs_list(&self) -> bool {
        !matches!(self.stage, Stage::Creating(_))
    }

    /// Handles a list of changes that was already applied to the log.
    pub fn handle_list(&mut self, log: &Log) -> Next {
        match mem::replace(&mut self.stage, Stage::Reading) {
            Stage::Reading => self.create_from_draft(log),
            creating @ Stage::Creating(_) => {
                self.stage = creating;
                Next::Wait
            }
            Stage::Confirming(change) => self.confirm(change, log),
        }
    }

    /// Handles a failed list of changes.
    pub fn handle_list_failure(&self) -> Next {
        match self.stage {
            Stage::Reading => Next::Reply(Outcome::NotRun),
            Stage::Creating(_) | Stage::Confirming(_) => Next::Wait,
        }
    }

    /// Handles the result of a creation.
    pub fn handle_creation(&mut self, operation: &str, creation: Creation) -> Next {
        let Stage::Creating(change) = &self.stage else {
            return Next::Wait;
        };

        if change.operation != operation {
            return Next::Wait;
        }

        if creation == Creation::Refused && !self.in_doubt {
            return Next::Reply(Outcome::NotRun);
        }

        self.in_doubt |= creation == Creation::Unknown;
        self.stage = Stage::Confirming(change.clone());
        Next::Wait
    }

    /// Returns the reply if the log contains the operation or the deadline has
    /// passed, and `Next::Wait` otherwise.
    pub fn check(&self, now: Time, log: &Log) -> Next {
        if let Some(version) = log.version_of(&self.draft.operation) {
            return Next::Reply(Outcome::Accepted { version });
        }

        if now < self.deadline {
            return Next::Wait;
        }

        Next::Reply(match self.stage {
            Stage::Reading => Outcome::NotRun,
            Stage::Creating(_) | Stage::Confirming(_) => Outcome::Unknown,
        })
    }

    fn create_from_draft(&mut self, log: &Log) -> Next {
        match self.draft.edits(log.version(), log.tree()) {
            Err(outcome) => Next::Reply(outcome),
            Ok(edits) => self.create(Change {
                version: log.version() + 1,
                operation: self.draft.operation.clone(),
                author: self.draft.author.clone(),
                edits,
            }),
        }
    }

    /// Decides what follows a creation whose change is not in the log.
    fn confirm(&mut self, change: Change, log: &Log) -> Next {
        if change.version > log.version() {
            // Creating the same change again is safe: only one creation takes
            // effect, and both are of this operation.
            return self.create(change);
        }

        if !log.keeps_operation(change.version) {
            return Next::Reply(Outcome::Unknown);
        }

        // Another change has this version, so no earlier creation at it can
        // still take effect.
        self.in_doubt = false;

        let Some(others) = log.changes_from(change.version) else {
            return Next::Reply(Outcome::NotRun);
        };

        match change.conflict(others, log.version(), log.tree()) {
            Some(conflict) => Next::Reply(Outcome::Conflict(conflict)),
            None => self.create_from_draft(log),
        }
    }

    fn create(&mut self, change: Change) -> Next {
        self.stage = Stage::Creating(change.clone());
        Next::Create(change)
    }
}
