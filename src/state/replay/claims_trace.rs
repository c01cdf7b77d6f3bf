//! Replays sequences of faults against the code that keeps requests at most
//! once.

use {
    crate::state::{
        claims::refusal::Outcome, replay::claims_simulation::Simulation,
        replay::claims_violation::Violation,
    },
    serde::{Deserialize, Serialize},
};

/// What the endpoint does with a request that a home sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Endpoint {
    /// Runs the request and dies without an answer.
    Dies,
    /// Refuses the connection, so the home may send again.
    Refuses,
    Runs,
}

/// One event. Hosts, tickets and messages are named by index, messages in
/// the order in which they were sent; an index of something that does not
/// exist, or cannot do what the step says, makes the step have no effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum Step {
    /// The link between two hosts is cut; messages on it are held back.
    Cut { between: [usize; 2] },
    /// A message arrives; with `again` a copy of it stays on the way.
    Deliver { again: bool, message: usize },
    /// A host drops its records that are past their retention.
    Expire { host: usize },
    /// A host's process stops, while its clock goes on.
    Freeze { host: usize },
    /// The link between two hosts works again.
    Heal { between: [usize; 2] },
    /// A host hears another one's incarnation and clock.
    Hear { host: usize, peer: usize },
    /// A home issues a ticket. It names the witness as last heard, or none.
    Issue { home: usize, witness: Option<usize> },
    /// A host's process ends.
    Kill { host: usize },
    /// A message is lost.
    Lose { message: usize },
    /// Time passes on one host's clock, or on all.
    Pass { host: Option<usize>, millis: u64 },
    /// A caller posts a ticket. `home_up` is what the host believes of the
    /// home.
    Post {
        home_up: bool,
        host: usize,
        ticket: usize,
    },
    /// A host takes a new incarnation without a restart.
    Renew { host: usize },
    /// A killed host starts again with a new incarnation.
    Restart { host: usize },
    /// A home that has the permission sends the request.
    Send { endpoint: Endpoint, ticket: usize },
    /// A host gives up waiting for the witness's answer.
    TimeOut { host: usize, ticket: usize },
    /// A frozen host's process goes on.
    Wake { host: usize },
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallerAnswer {
    pub host: usize,
    /// None for the answer of a request that ran.
    pub outcome: Option<Outcome>,
    pub ticket: usize,
}

/// A sequence of events and what it leads to.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Trace {
    pub hosts: usize,
    /// Number of runs by ticket.
    pub runs: Vec<u32>,
    pub steps: Vec<Step>,
    /// Callers' answers in order.
    #[serde(rename = "told")]
    pub answers: Vec<CallerAnswer>,
    /// Number of tickets that one witness has room for.
    pub witness_records: usize,
}

impl Trace {
    /// Carries out every step and returns the state that is reached.
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
