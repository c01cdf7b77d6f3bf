//! Checks of the replies and versions of simulated settings replicas.

use crate::state::{
    replay::settings_trace::Simulation,
    replay::settings_violation::{BehindSnafu, Violation, WrongOutcomeSnafu},
    settings::change::Outcome,
};

impl Simulation {
    /// Checks that the reply to a submission agrees with the store.
    pub(super) fn check_reply(&mut self, ticket: u64, outcome: &Outcome) -> Result<(), Violation> {
        let Some((host, operation)) = self.tickets.remove(&ticket) else {
            return Ok(());
        };
        self.bases.remove(&(host, operation.clone()));

        match outcome {
            Outcome::Accepted { version } => {
                let change = self.store.change(*version);

                if change.is_none_or(|change| change.operation != operation) {
                    return wrong_outcome(&operation, outcome);
                }
            }
            Outcome::Conflict(_) | Outcome::Invalid(_) | Outcome::NotRun => {
                if self.submissions.get(&operation) == Some(&1) {
                    self.rejected.push(operation);
                }
            }
            Outcome::Unknown => {}
        }

        Ok(())
    }

    /// Checks that no operation was accepted that was reported as rejected.
    pub(super) fn check_rejected(&self) -> Result<(), Violation> {
        self.rejected
            .iter()
            .find(|operation| self.store.has(operation))
            .map_or(Ok(()), |operation| {
                wrong_outcome(operation, &Outcome::NotRun)
            })
    }

    /// Checks that every host has reached the newest version.
    pub(super) fn check_versions(&self, newest: u64) -> Result<(), Violation> {
        for (host, state) in self.hosts.iter().enumerate() {
            let version = state.replica.log().version();

            if version != newest {
                return BehindSnafu {
                    host,
                    newest,
                    version,
                }
                .fail();
            }
        }

        Ok(())
    }
}

fn wrong_outcome(operation: &str, outcome: &Outcome) -> Result<(), Violation> {
    WrongOutcomeSnafu {
        operation,
        outcome: format!("{outcome:?}"),
    }
    .fail()
}
