//! Handles the operator routes for reading and changing the settings.

use {
    crate::{
        coordination::{body, control, gateway::Gateway, settings::Event},
        state::{
            fault::Fault,
            fleet::member::{Member, Phase},
            id,
            settings::change::{Draft, Outcome},
            settings::path,
            view::View,
        },
    },
    rouille::{Request, Response},
    serde_json::json,
    std::{
        io::Read,
        sync::mpsc::{self, Sender},
        thread,
        time::{Duration, Instant},
    },
};

/// Timeout for an answer of the control thread, and for a history from the
/// store.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(6);

/// Timeout for the outcome of a change, longer than the time after which the
/// control thread abandons one.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(12);

/// Timeout until all hosts report a version.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);

/// Interval at which the versions of the hosts are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of changes in a history if the operator sets no limit.
const DEFAULT_HISTORY: usize = 20;

/// Maximum number of changes in a history, which is the number that is kept.
const MAX_HISTORY: usize = 1000;

/// Handles a request for a route of the settings. Returns `None` for any other
/// route.
pub fn respond(gateway: &Gateway, request: &Request) -> Option<Response> {
    match (request.method(), request.url().as_str()) {
        ("GET", "/v1/admin/settings") => Some(read(gateway, request)),
        ("GET", "/v1/admin/settings/history") => Some(history(gateway, request)),
        ("POST", "/v1/admin/settings") => Some(change(gateway, request)),
        _ => None,
    }
}

fn read(gateway: &Gateway, request: &Request) -> Response {
    let path = request.get_param("path").unwrap_or_default();

    if !path.is_empty() && path::subtree(&path).is_none() {
        return invalid(&[invalid_field("path", &path, path::PATH_SYNTAX)]);
    }

    match query_control(gateway, Event::Read) {
        Some((version, tree)) => {
            body::json(&json!({"version": version, "nodes": tree.rows(&path)}))
        }
        None => control_unavailable(),
    }
}

fn history(gateway: &Gateway, request: &Request) -> Response {
    let limit = match request.get_param("limit") {
        None => DEFAULT_HISTORY,
        Some(text) => match text.parse() {
            Ok(limit) if (1..=MAX_HISTORY).contains(&limit) => limit,
            _ => {
                let expected = format!("a number from 1 to {MAX_HISTORY}");
                return invalid(&[invalid_field("limit", &text, &expected)]);
            }
        },
    };

    match query_control(gateway, |reply| Event::History { limit, reply }) {
        Some(changes) => body::json(&json!({ "changes": changes })),
        None => control_unavailable(),
    }
}

fn change(gateway: &Gateway, request: &Request) -> Response {
    let mut text = Vec::new();

    if let Some(mut data) = request.data()
        && data.read_to_end(&mut text).is_err()
    {
        return invalid(&[invalid_field("body", "", "the whole body")]);
    }

    let draft = match serde_json::from_slice::<Draft>(&text) {
        Ok(draft) => draft,
        Err(error) => {
            let expected = "{operation, author, edits: [{path, key, old?, new}]}";
            return invalid(&[invalid_field("body", &error.to_string(), expected)]);
        }
    };
    let operation = draft.operation.clone();
    let (reply, outcome) = mpsc::channel();
    let event = control::Event::Settings(Event::Submit { draft, reply });

    if gateway.control.send(event).is_err() {
        return not_accepted("not_run", &operation);
    }

    match outcome.recv_timeout(OUTCOME_TIMEOUT) {
        Ok(Outcome::Accepted { version }) => wait_in_force(gateway, version),
        Ok(Outcome::Conflict(conflict)) => body::json(&conflict).with_status_code(409),
        Ok(Outcome::Invalid(faults)) => invalid(&faults),
        Ok(Outcome::NotRun) => not_accepted("not_run", &operation),
        Ok(Outcome::Unknown) | Err(_) => not_accepted("unknown", &operation),
    }
}

/// Waits until all hosts report the version or the timeout has passed. Returns
/// which hosts report it.
fn wait_in_force(gateway: &Gateway, version: u64) -> Response {
    let start = Instant::now();

    loop {
        let view = gateway.published.get();
        let (in_force, pending) = partition_hosts(&view, version);

        if pending.is_empty() || start.elapsed() >= IN_FORCE_TIMEOUT {
            return body::json(&json!({
                "version": version,
                "in_force": in_force,
                "pending": pending,
                "elapsed_ms": u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX),
            }));
        }

        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the hosts that report the version, and those that do not yet.
fn partition_hosts(view: &View, version: u64) -> (Vec<&id::Host>, Vec<&id::Host>) {
    let (in_force, pending): (Vec<_>, Vec<_>) = view
        .members
        .iter()
        .filter(|member| member.phase != Phase::Gone)
        .chain([&view.local])
        .partition(|member| member.settings >= version);
    (host_ids(in_force), host_ids(pending))
}

fn host_ids(members: Vec<&Member>) -> Vec<&id::Host> {
    members.into_iter().map(|member| &member.host).collect()
}

/// Sends an event to the control thread and waits for its reply.
fn query_control<T>(gateway: &Gateway, event: impl FnOnce(Sender<T>) -> Event) -> Option<T> {
    let (sender, receiver) = mpsc::channel();
    let event = control::Event::Settings(event(sender));
    gateway.control.send(event).ok()?;
    receiver.recv_timeout(CONTROL_TIMEOUT).ok()
}

fn invalid_field(field: &str, value: &str, expected: &str) -> Fault {
    Fault {
        field: field.into(),
        value: value.into(),
        expected: expected.into(),
    }
}

fn invalid(faults: &[Fault]) -> Response {
    body::json(&json!({ "errors": faults })).with_status_code(422)
}

/// Returns the response for a change that was not accepted or whose outcome is
/// unknown.
fn not_accepted(outcome: &str, operation: &str) -> Response {
    body::json(&json!({"outcome": outcome, "operation": operation})).with_status_code(503)
}

/// Returns the response if the control thread does not answer.
fn control_unavailable() -> Response {
    body::json(&json!({"outcome": "not_run", "operation": null})).with_status_code(503)
}
