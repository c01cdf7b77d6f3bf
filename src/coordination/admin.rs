//! The operators' routes.

use {
    crate::{
        coordination::{body, control, drain, gateway::Gateway, problem, scheduling},
        state::{
            backlog, id,
            refusal::{Reason, Refusal},
        },
    },
    rouille::{Request, Response, router},
    serde_json::{Value, json},
    std::{sync::mpsc, time::Duration},
};

/// Longest wait for the control thread.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers a request of an operator, whose key has been checked.
pub fn respond(gateway: &Gateway, request: &Request) -> Response {
    router!(request,
        (GET) ["/v1/admin/status"] => { body::json(&status(gateway)) },
        (GET) ["/v1/admin/backlog"] => { backlog_rows(gateway) },
        (GET) ["/v1/admin/endpoints"] => { body::json(&endpoints(gateway)) },
        (GET) ["/v1/admin/explain/{id}", id: String] => { explain(gateway, &id.into()) },
        (POST) ["/v1/admin/drain"] => {
            drain::leave(gateway);
            let outstanding = gateway.records.running();
            body::json(&json!({"phase": "leaving", "outstanding": outstanding}))
        },
        _ => {
            let detail = format!("{} {} does not exist", request.method(), request.url());
            problem::respond(gateway, None, &Refusal::not_run(Reason::Missing, detail))
        },
    )
}

fn status(gateway: &Gateway) -> Value {
    let view = gateway.published.get();
    let local = &view.local;
    let unready = gateway.unready();
    let usage = gateway.observer.usage();
    let members: Vec<Value> = view
        .members
        .iter()
        .map(|member| {
            json!({
                "host": member.host,
                "domain": member.domain,
                "phase": member.phase,
                "incarnation": member.incarnation,
                "settings": member.settings,
                "outstanding": member.outstanding,
            })
        })
        .collect();

    json!({
        "host": local.host,
        "incarnation": local.incarnation,
        "domain": local.domain,
        "phase": local.phase,
        "ready": unready.is_none(),
        "not_ready_reason": unready.map(|refusal| refusal.detail),
        "settings_version": view.policy.version,
        "outstanding": gateway.records.running(),
        "members": members,
        "store_calls": {"get": 0, "put": 0, "delete": 0, "list": 0, "watch": 0},
        "latency": usage.latencies(),
        "cost": usage.costs(),
        "counters": usage.counters(),
    })
}

fn backlog_rows(gateway: &Gateway) -> Response {
    match ask(gateway) {
        Some(rows) => body::json(&json!({"rows": rows})),
        None => {
            let refusal = Refusal::not_run(Reason::NotReady, "the control thread did not answer");
            problem::respond(gateway, None, &refusal)
        }
    }
}

fn ask(gateway: &Gateway) -> Option<Vec<backlog::Row>> {
    let (sender, receiver) = mpsc::channel();
    let event = scheduling::Event::Backlog(sender);
    gateway
        .control
        .send(control::Event::Scheduling(event))
        .ok()?;
    receiver.recv_timeout(CONTROL_TIMEOUT).ok()
}

fn endpoints(gateway: &Gateway) -> Value {
    let view = gateway.published.get();
    let rows: Vec<Value> = view
        .endpoints
        .iter()
        .map(|endpoint| {
            json!({
                "endpoint": endpoint.endpoint,
                "pool": endpoint.pool,
                "address": endpoint.address,
                "domain": endpoint.domain,
                "phase": endpoint.phase,
                "ejected": false,
                "outstanding": 0,
                "queued": 0,
                "running": 0,
            })
        })
        .collect();

    json!({ "endpoints": rows })
}

fn explain(gateway: &Gateway, request: &id::Request) -> Response {
    let host = gateway.published.get().local.host.clone();
    let journal = gateway.observer.journal();
    let Some(entries) = journal.explain(request) else {
        let refusal = Refusal::unknown(Reason::Missing, "no events of the request are kept here");
        return problem::respond(gateway, Some(request), &refusal);
    };
    let events: Vec<Value> = entries
        .iter()
        .map(|entry| {
            let mut event = json!(entry);
            event["host"] = json!(host);
            event
        })
        .collect();

    body::json(&json!({"request": request, "events": events}))
}
