//! What the home of a ticket does with it.

use {
    crate::state::{
        claims::refusal::{Reason, Refusal},
        claims::witness::Verdict,
        clock::Time,
        id,
    },
    std::time::Duration,
};

/// How long after its issue a ticket may start to run, on the home's clock.
pub const LIFETIME: Duration = Duration::from_secs(30);

/// How long after a ticket's issue the home keeps its record at least, on the
/// home's clock. Without a record an older ticket may have run.
pub const RETENTION: Duration = Duration::from_secs(120);

/// What the home does with a ticket that a caller posts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The ticket has a record: join its run or repeat its answer.
    Join,
    /// The request never ran and never will.
    Refuse(Refusal),
    /// This host cannot tell; it asks the witness like any other host.
    Resolve,
    /// Keep a record of the ticket, then ask the witness for a permit.
    Run,
}

/// What the home does after it asked the witness for a permit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Permission {
    /// Send nothing, refuse, and keep the refusal as the ticket's answer.
    Close(Refusal),
    /// Send the request.
    Send,
}

/// Decides on a posted ticket.
///
/// `issuer` and `issued` come from the ticket, `incarnation` and `now` from
/// this host, and `recorded` says whether the home has a record of the ticket.
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

/// Decides on the witness's answer: `None` for a ticket without a witness, an
/// error message if no answer came.
///
/// `Taken` proves that another claim on the same ticket was granted, so the
/// request may have run although this claim sends nothing.
pub fn permission(verdict: Option<Result<Verdict, String>>) -> Permission {
    let refusal = match verdict {
        None | Some(Ok(Verdict::Granted)) => return Permission::Send,
        Some(Ok(Verdict::Taken | Verdict::MayHaveRun)) => {
            Refusal::unknown(Reason::Ticket, "the ticket was granted to an earlier claim")
        }
        Some(Ok(Verdict::Expired)) => {
            Refusal::not_run(Reason::Witness, "the witness no longer knows the ticket")
        }
        Some(Ok(Verdict::Full)) => {
            Refusal::not_run(Reason::Witness, "the witness has no room for the ticket")
        }
        Some(Ok(Verdict::Voided)) => {
            Refusal::not_run(Reason::Ticket, "the ticket was closed by another host")
        }
        Some(Err(message)) => Refusal::not_run(
            Reason::Witness,
            format!("the witness did not answer: {message}"),
        ),
    };

    Permission::Close(refusal)
}
