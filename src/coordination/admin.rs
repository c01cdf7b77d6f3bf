//! HTTP routes of the operator API.

use {
    crate::{
        coordination::{body, drain, gateway::Gateway, problem, scheduling, settings_api},
        state::{
            claims::refusal::{Reason, Refusal},
            id,
        },
    },
    rouille::{Request, Response, router},
    serde_json::{Value, json},
    std::collections::BTreeMap,
};

/// Responds to an operator's request. The caller has checked the operator key.
pub fn respond(gateway: &Gateway, request: &Request) -> Response {
    if let Some(response) = settings_api::respond(gateway, request) {
        return response;
    }

    router!(request,
        (GET) ["/v1/admin/status"] => { body::json(&status(gateway)) },
        (GET) ["/v1/admin/backlog"] => { backlog(gateway) },
        (GET) ["/v1/admin/endpoints"] => { endpoints(gateway) },
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
    let counters = counters(gateway);
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
        "store_calls": gateway.calls.counts(),
        "latency": usage.latencies(),
        "cost": usage.costs(),
        "counters": counters,
    })
}

fn backlog(gateway: &Gateway) -> Response {
    match gateway.query_scheduler(scheduling::Event::Backlog) {
        Some(rows) => body::json(&json!({ "rows": rows })),
        None => no_control_answer(gateway),
    }
}

fn endpoints(gateway: &Gateway) -> Response {
    match gateway.query_scheduler(scheduling::Event::Endpoints) {
        Some(report) => body::json(&json!({ "endpoints": report.endpoints })),
        None => no_control_answer(gateway),
    }
}

/// Returns all counters by name. Omits the scheduler's counters if the control
/// thread does not answer, so that operators still get the others.
fn counters(gateway: &Gateway) -> BTreeMap<&'static str, u64> {
    let mut counters = gateway
        .query_scheduler(scheduling::Event::Endpoints)
        .map(|report| report.counters)
        .unwrap_or_default();

    for (name, count) in gateway.observer.usage().counters() {
        *counters.entry(name).or_default() += count;
    }

    counters
}

fn no_control_answer(gateway: &Gateway) -> Response {
    let refusal = Refusal::not_run(Reason::NotReady, "the control thread did not answer");
    problem::respond(gateway, None, &refusal)
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
