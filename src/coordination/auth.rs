//! Authentication of teams and operators by bearer keys.

use {
    crate::{
        coordination::{gateway::Gateway, problem},
        protocol::digest,
        state::id,
    },
    rouille::{Request, Response},
};

/// Checks that a request carries the key of a team.
///
/// # Errors
///
/// Returns a 401 response if the key is missing, or a 403 response if it is
/// wrong.
pub fn team(gateway: &Gateway, request: &Request, team: &id::Team) -> Result<(), Response> {
    let Some(key) = bearer(request) else {
        let detail = "Authorization is missing, expected Bearer and the team's key";
        return Err(problem::forbidden(gateway, request, 401, detail));
    };

    if has_key(gateway, team, key) {
        return Ok(());
    }

    log::warn!(team = team.as_str(); "wrong team key");
    let detail = "Authorization is wrong, expected Bearer and the team's key";
    Err(problem::forbidden(gateway, request, 403, detail))
}

/// Checks that a request carries the operators' key.
///
/// # Errors
///
/// Returns a 401 response if the key is missing or wrong.
pub fn operator(gateway: &Gateway, request: &Request) -> Result<(), Response> {
    match bearer(request) {
        Some(key) if gateway.is_operator(key) => Ok(()),
        _ => {
            log::warn!(
                "missing or wrong operator key for {} {}",
                request.method(),
                request.url()
            );
            let detail = "Authorization is wrong, expected Bearer and the operators' key";
            Err(problem::forbidden(gateway, request, 401, detail))
        }
    }
}

fn has_key(gateway: &Gateway, team: &id::Team, key: &str) -> bool {
    let policy = &gateway.published.get().policy;

    policy
        .teams
        .get(team)
        .and_then(|team| team.key_sha256.as_deref())
        .is_some_and(|expected| digest::matches(key, expected))
}

fn bearer(request: &Request) -> Option<&str> {
    request.header("Authorization")?.strip_prefix("Bearer ")
}
