//! A submitted draft on its way into the log of changes.

use {
    crate::state::{
        clock::Time,
        settings::change::{Change, Draft, Outcome},
        settings::log::Log,
    },
    std::mem,
};

/// What became of the creation of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Creation {
    /// The change was created, or another one has its version.
    Answered,
    /// It was not created and will not be.
    Refused,
    /// The answer is lost: it may be created, even later.
    Unknown,
}

/// What to do next about a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    Create(Change),
    Reply(Outcome),
    Wait,
}

#[derive(Clone, Debug)]
enum Stage {
    /// Waits for the latest changes before it is checked.
    Reading,
    /// Waits for the answer to the creation.
    Creating(Change),
    /// Waits for the changes from its version on, which tell what became of it.
    Confirming(Change),
}

/// A submitted draft.
#[derive(Clone, Debug)]
pub struct Proposal {
    deadline: Time,
    draft: Draft,
    /// Whether a creation at the current version may still be carried out.
    in_doubt: bool,
    stage: Stage,
    ticket: u64,
}

impl Proposal {
    /// Builds a proposal whose outcome is due by `deadline`.
    pub fn new(ticket: u64, draft: Draft, deadline: Time) -> Self {
        Self {
            deadline,
            draft,
            in_doubt: false,
            stage: Stage::Reading,
            ticket,
        }
    }

    /// Returns the ticket under which the outcome is to be reported.
    pub fn ticket(&self) -> u64 {
        self.ticket
    }

    /// Whether the proposal waits for a list of changes.
    pub fn needs_list(&self) -> bool {
        !matches!(self.stage, Stage::Creating(_))
    }

    /// Takes the latest changes, already applied to the log, into account.
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

    /// Takes a failed list of changes into account.
    pub fn handle_list_failure(&self) -> Next {
        match self.stage {
            Stage::Reading => Next::Reply(Outcome::NotRun),
            Stage::Creating(_) | Stage::Confirming(_) => Next::Wait,
        }
    }

    /// Takes the answer to a creation into account.
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

    /// Finds out whether the outcome is known or due.
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

    /// Decides after a creation whose change is not in the log.
    fn confirm(&mut self, change: Change, log: &Log) -> Next {
        if change.version > log.version() {
            // Creating the same change again is harmless: only one of both
            // takes effect, and either is this operation.
            return self.create(change);
        }

        if !log.keeps_operation(change.version) {
            return Next::Reply(Outcome::Unknown);
        }

        // Another change has the version, so no creation at it is left to
        // take effect.
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
