//! Decisions of a ticket's home, the host that issued the ticket.

use {
    crate::state::{
        claims::refusal::{Reason, Refusal},
        claims::witness::WitnessAnswer,
        clock::Time,
        id,
    },
    std::time::Duration,
};

/// Time after its issue within which a ticket's request may start, on the
/// home's clock.
pub const LIFETIME: Duration = Duration::from_secs(30);

/// Minimum time after a ticket's issue for which the home keeps its record, on
/// the home's clock. An older ticket without a record may have run.
pub const RETENTION: Duration = Duration::from_secs(120);

/// Decision on a ticket that a caller posts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The ticket has a record: join the run in progress or repeat its answer.
    Join,
    /// The request never ran and never will.
    Refuse(Refusal),
    /// This host cannot prove whether the request ran, so it asks the witness to
    /// void the ticket, as a host other than the home does.
    Resolve,
    /// Record the ticket, then ask the witness for a permit.
    Run,
}

/// Decision on the witness's reply to a permit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Permission {
    /// Refuse without sending, and keep the refusal as the ticket's answer.
    Close(Refusal),
    /// Send the request.
    Send,
}

/// Returns the decision on a posted ticket.
///
/// `recorded` is whether the home has a record of the ticket. `issuer` and
/// `issued` come from the ticket, `incarnation` and `now` from this host.
pub fn admission(
    recorded: bool,
    issuer: id::Incarnation,
    issued: Time,
    incarnation: id::Incarnation,
    now: Time,
) -> Admission {
    let age = now.since(issued);

    if recorded {
        Admission::Join
    } else if issuer != incarnation || age >= RETENTION {
        Admission::Resolve
    } else if age >= LIFETIME {
        Admission::Refuse(Refusal::not_run(
            Reason::Ticket,
            "the ticket expired before its request was posted",
        ))
    } else {
        Admission::Run
    }
}

/// Returns the decision on the witness's answer.
///
/// The answer is `None` for a ticket without a witness, or an error message if
/// the witness did not answer.
///
/// `Taken` proves that another claim on the same ticket was granted, so the
/// request may have run even though this claim sends nothing.
pub fn permission(answer: Option<Result<WitnessAnswer, String>>) -> Permission {
    let refusal = match answer {
        None | Some(Ok(WitnessAnswer::Granted)) => return Permission::Send,
        Some(Ok(WitnessAnswer::Taken | WitnessAnswer::MayHaveRun)) => {
            Refusal::unknown(Reason::Ticket, "the ticket was granted to an earlier claim")
        }
        Some(Ok(WitnessAnswer::Expired)) => {
            Refusal::not_run(Reason::Witness, "the witness no longer knows the ticket")
        }
        Some(Ok(WitnessAnswer::Full)) => {
            Refusal::not_run(Reason::Witness, "the witness has no room for the ticket")
        }
        Some(Ok(WitnessAnswer::Voided)) => {
            Refusal::not_run(Reason::Ticket, "the ticket was closed by another host")
        }
        Some(Err(message)) => Refusal::not_run(
            Reason::Witness,
            format!("the witness did not answer: {message}"),
        ),
    };

    Permission::Close(refusal)
}
