//! The platform configuration that the operator writes.

use serde_json::{Value, json};

/// Value of `Host` that every route matches.
pub const HOST: &str = "h.example";

/// Largest number of attempts of a request, each at a different worker.
pub const MAX_ATTEMPTS: usize = 2;

/// Largest number of pieces in one call.
const MAX_BATCH_PIECES: usize = 8;

/// Returns a configuration with a route of each kind, for the services
/// `plain`, `stage` and `engine`.
pub fn config(version: u64, keys: &[&str]) -> Value {
    let stages = json!([
        { "service": "stage", "after": [], "bytes": 8000 },
        { "service": "stage", "after": [0], "bytes": 8000 },
    ]);

    json!({
        "version": version,
        "routes": [
            route("read", "idempotent", &json!({ "service": "plain" })),
            route("order", "non_idempotent", &json!({ "service": "plain" })),
            route("export", "idempotent", &json!({ "service": "plain" })),
            route("open", "idempotent", &json!({ "service": "plain", "public": true })),
            route("draft", "stream", &json!({
                "service": "engine", "stages": stages, "sticky": true, "resumable": false,
                "gapGoalMs": 300,
            })),
            route("review", "stream", &json!({
                "service": "engine", "stages": stages, "sticky": true, "resumable": true,
                "gapGoalMs": 300,
            })),
            route("brief", "idempotent", &json!({ "service": "engine", "sticky": true })),
            route("note", "stream", &json!({
                "service": "engine", "stages": [], "sticky": true, "resumable": false,
                "gapGoalMs": 300,
            })),
            route("check", "stream", &json!({
                "service": "engine", "stages": [], "sticky": true, "resumable": true,
                "gapGoalMs": 300,
            })),
        ],
        "services": [
            { "name": "plain", "healthPath": "/healthz", "maxConns": 96 },
            { "name": "engine", "maxConns": 96, "engine": {
                "slots": 64, "kvCapacity": 332_768, "kvTokenBytes": 1, "linkMbps": 1.0 } },
            { "name": "stage", "maxConns": 96, "pieces": {
                "slots": 1, "queue": 2, "batch": MAX_BATCH_PIECES, "callMs": 20.0, "itemMs": 1.0,
                "headroomMb": 36.0, "handleS": 4.0, "linkMbps": 10_000 } },
        ],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "team", "apiKeys": keys, "priority": 1 }],
    })
}

/// Returns a route for paths that begin with its name, with the fields of
/// `extra` added.
pub fn route(name: &str, kind: &str, extra: &Value) -> Value {
    let mut route = json!({
        "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "routeKind": kind,
        "timeoutMs": 5000, "targetLatencyMs": 1000, "priority": 1, "maxAttempts": MAX_ATTEMPTS,
        "public": false,
    });

    if let (Some(fields), Some(extra)) = (route.as_object_mut(), extra.as_object()) {
        fields.extend(extra.clone());
    }

    route
}
