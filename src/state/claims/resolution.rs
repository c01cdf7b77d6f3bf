//! How a host that is not a ticket's home finds out what became of it.

use crate::state::{
    claims::refusal::{Reason, Refusal},
    claims::witness::Verdict,
    fleet::member::{Member, Phase},
    id,
};

/// Where a host other than the home turns first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// Forward the caller's request to the home; if that fails, ask the
    /// witness.
    Home,
    /// Ask the witness to void the ticket.
    Witness,
}

/// Chooses where to turn for a ticket that one incarnation of a host issued,
/// given what is known of that host.
pub fn route(home: Option<&Member>, issuer: id::Incarnation) -> Route {
    let up = home.is_some_and(|member| {
        member.incarnation == issuer && matches!(member.phase, Phase::Alive | Phase::Leaving)
    });

    if up { Route::Home } else { Route::Witness }
}

/// Decides on the witness's answer to a void: `None` for a ticket without a
/// witness, an error message if no answer came.
pub fn refusal(verdict: Option<Result<Verdict, String>>) -> Refusal {
    match verdict {
        Some(Ok(Verdict::Voided)) => Refusal::not_run(
            Reason::Ticket,
            "the home is gone and the witness closed the ticket before it ran",
        ),
        Some(Ok(Verdict::Expired)) => Refusal::unknown(
            Reason::Ticket,
            "the home is gone and the witness no longer knows the ticket",
        ),
        Some(Ok(Verdict::Full)) => Refusal::unknown(
            Reason::Witness,
            "the home is gone and the witness has no room for the ticket",
        ),
        Some(Ok(Verdict::Granted | Verdict::MayHaveRun | Verdict::Taken)) => Refusal::unknown(
            Reason::Ticket,
            "the home is gone and had the permission to send the request",
        ),
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
