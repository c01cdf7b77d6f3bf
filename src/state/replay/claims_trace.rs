//! Recorded sequences of faults against the at-most-once execution of
//! requests.

use {
    crate::state::{
        claims::refusal::Outcome, replay::claims_simulation::Simulation,
        replay::claims_violation::Violation,
    },
    serde::{Deserialize, Serialize},
};

/// Reaction of the endpoint to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Endpoint {
    /// Runs the request and fails without an answer.
    Dies,
    /// Refuses the connection, so the home may send again.
    Refuses,
    Runs,
}

/// Step of a trace. Hosts, tickets and messages are referred to by index,
/// messages in the order in which they were sent. A step has no effect if an
/// index does not exist or its subject cannot perform the step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum Step {
    /// The link between two hosts is cut; messages in flight on it are held.
    Cut { between: [usize; 2] },
    /// A message arrives. With `again`, a copy of it stays in flight.
    Deliver { again: bool, message: usize },
    /// A host removes its records that are past their retention.
    Expire { host: usize },
    /// A host's process is frozen; its clock continues to run.
    Freeze { host: usize },
    /// The link between two hosts is restored.
    Heal { between: [usize; 2] },
    /// A host receives another host's incarnation and clock.
    #[serde(rename = "hear")]
    ReceiveState { host: usize, peer: usize },
    /// A home issues a ticket. The ticket names the witness with its state as
    /// last received, or no witness.
    Issue { home: usize, witness: Option<usize> },
    /// A host's process ends.
    Kill { host: usize },
    /// A message is lost.
    Lose { message: usize },
    /// Time passes on the clock of one host, or of all.
    #[serde(rename = "pass")]
    Advance { host: Option<usize>, millis: u64 },
    /// A caller posts a ticket. `home_up` is whether the host considers the
    /// home alive.
    Post {
        home_up: bool,
        host: usize,
        ticket: usize,
    },
    /// A host changes its incarnation without a restart.
    Renew { host: usize },
    /// A killed host starts again with a new incarnation.
    Restart { host: usize },
    /// A home with a permit sends the request.
    Send { endpoint: Endpoint, ticket: usize },
    /// A host's call to the witness times out.
    TimeOut { host: usize, ticket: usize },
    /// A frozen host's process continues.
    Wake { host: usize },
}

/// Answer that a caller received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallerAnswer {
    pub host: usize,
    /// Outcome of a refusal, or `None` if the request ran and was answered.
    pub outcome: Option<Outcome>,
    pub ticket: usize,
}

/// Sequence of steps with its expected result.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Trace {
    pub hosts: usize,
    /// Expected number of runs, by ticket.
    pub runs: Vec<u32>,
    pub steps: Vec<Step>,
    /// Expected answers to callers, in order.
    #[serde(rename = "told")]
    pub answers: Vec<CallerAnswer>,
    /// Capacity of a witness's table, in tickets.
    pub witness_records: usize,
}

impl Trace {
    /// Executes every step and returns the final state of the simulation.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    pub fn replay(&self) -> Result<Simulation, Violation> {
        let mut simulation = Simulation::new(self.hosts, self.witness_records);

        for step in &self.steps {
            simulation.step(step)?;
        }

        Ok(simulation)
    }
}
