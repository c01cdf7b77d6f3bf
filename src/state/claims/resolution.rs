//! Decisions about a ticket on a host that is not its home.

use crate::state::{
    claims::refusal::{Reason, Refusal},
    claims::witness::WitnessAnswer,
    fleet::member::{Member, Phase},
    id,
};

/// Host to contact first about a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// Forward the caller's request to the home; if that fails, ask the
    /// witness.
    Home,
    /// Ask the witness to void the ticket.
    Witness,
}

/// Returns the host to contact about a ticket.
///
/// `issuer` is the incarnation of the home that issued the ticket, and `home`
/// the membership entry of that host, if there is one.
pub fn route(home: Option<&Member>, issuer: id::Incarnation) -> Route {
    let up = home.is_some_and(|member| {
        member.incarnation == issuer && matches!(member.phase, Phase::Alive | Phase::Leaving)
    });

    if up { Route::Home } else { Route::Witness }
}

/// Returns the refusal that follows from the witness's answer to a void.
///
/// The answer is `None` for a ticket without a witness, or an error message if
/// the witness did not answer.
pub fn refusal(answer: Option<Result<WitnessAnswer, String>>) -> Refusal {
    match answer {
        Some(Ok(WitnessAnswer::Voided)) => Refusal::not_run(
            Reason::Ticket,
            "the home is gone and the witness closed the ticket before it ran",
        ),
        Some(Ok(WitnessAnswer::Expired)) => Refusal::unknown(
            Reason::Ticket,
            "the home is gone and the witness no longer knows the ticket",
        ),
        Some(Ok(WitnessAnswer::Full)) => Refusal::unknown(
            Reason::Witness,
            "the home is gone and the witness has no room for the ticket",
        ),
        Some(Ok(WitnessAnswer::Granted | WitnessAnswer::MayHaveRun | WitnessAnswer::Taken)) => {
            Refusal::unknown(
                Reason::Ticket,
                "the home is gone and had the permission to send the request",
            )
        }
        Some(Err(message)) => Refusal::unknown(
            Reason::Witness,
            format!("the home is gone and the witness did not answer: {message}"),
        ),
        None => Refusal::unknown(
            Reason::Witness,
            "the home is gone and the ticket has no witness",
        ),
    }
}
