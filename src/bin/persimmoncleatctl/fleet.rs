//! Commands for hosts, queues and requests.

use {
    crate::{
        failure::Failure,
        operator::Operator,
        table::{cell, objects, table},
    },
    serde_json::{Value, json},
};

/// Prints a host's state.
///
/// # Errors
///
/// Fails if the host does not answer.
pub fn status(operator: &Operator, json: bool) -> Result<(), Failure> {
    let answer = operator.get("/v1/admin/status")?;
    show(json, &answer, status_text)
}

/// Prints the queues.
///
/// # Errors
///
/// Fails if the host does not answer.
pub fn backlog(operator: &Operator, json: bool) -> Result<(), Failure> {
    let answer = operator.get("/v1/admin/backlog")?;
    show(json, &answer, |answer| {
        objects(
            &[
                ("STAGE", "stage"),
                ("POOL", "pool"),
                ("TEAM", "team"),
                ("CLASS", "class"),
                ("DEPTH", "depth"),
                ("OLDEST (ms)", "oldest_age_ms"),
                ("LATE (ms)", "estimated_lateness_ms"),
            ],
            &answer["rows"],
        )
    })
}

/// Prints the endpoints.
///
/// # Errors
///
/// Fails if the host does not answer.
pub fn endpoints(operator: &Operator, json: bool) -> Result<(), Failure> {
    let answer = operator.get("/v1/admin/endpoints")?;
    show(json, &answer, |answer| {
        objects(
            &[
                ("ENDPOINT", "endpoint"),
                ("POOL", "pool"),
                ("ADDRESS", "address"),
                ("DOMAIN", "domain"),
                ("PHASE", "phase"),
                ("EJECTED", "ejected"),
                ("OUTSTANDING", "outstanding"),
                ("QUEUED", "queued"),
                ("RUNNING", "running"),
            ],
            &answer["endpoints"],
        )
    })
}

/// Prints the events of a request.
///
/// # Errors
///
/// Fails if the host does not answer or has no record of the request.
pub fn explain(operator: &Operator, request: &str, json: bool) -> Result<(), Failure> {
    let answer = operator.get(&format!("/v1/admin/explain/{request}"))?;
    show(json, &answer, |answer| {
        objects(
            &[
                ("AT (ms)", "at_ms"),
                ("HOST", "host"),
                ("EVENT", "event"),
                ("STAGE", "stage"),
                ("ATTEMPT", "attempt"),
                ("ENDPOINT", "endpoint"),
                ("DETAIL", "detail"),
            ],
            &answer["events"],
        )
    })
}

/// Starts the planned stop of a host.
///
/// # Errors
///
/// Fails if the host does not answer.
pub fn drain(operator: &Operator, json: bool) -> Result<(), Failure> {
    let answer = operator.post("/v1/admin/drain", &json!({}))?.expect_ok()?;
    show(json, &answer, |answer| {
        format!(
            "{}, {} requests in progress; the daemon exits when none is left\n",
            cell(&answer["phase"]),
            answer["outstanding"]
        )
    })
}

fn show(json: bool, answer: &Value, text: impl FnOnce(&Value) -> String) -> Result<(), Failure> {
    if json {
        println!("{answer}");
    } else {
        print!("{}", text(answer));
    }

    Ok(())
}

fn status_text(answer: &Value) -> String {
    let host_fields = [
        "host",
        "incarnation",
        "domain",
        "phase",
        "ready",
        "not_ready_reason",
        "settings_version",
        "outstanding",
    ]
    .map(|field| vec![field.into(), cell(&answer[field])]);
    let members = objects(
        &[
            ("MEMBER", "host"),
            ("DOMAIN", "domain"),
            ("PHASE", "phase"),
            ("INCARNATION", "incarnation"),
            ("SETTINGS", "settings"),
            ("OUTSTANDING", "outstanding"),
        ],
        &answer["members"],
    );
    let latency = objects(
        &[
            ("TEAM", "team"),
            ("CLASS", "class"),
            ("STAGE", "stage"),
            ("COUNT", "count"),
            ("P50 (ms)", "p50_ms"),
            ("P95 (ms)", "p95_ms"),
            ("P99 (ms)", "p99_ms"),
            ("MAX (ms)", "max_ms"),
        ],
        &answer["latency"],
    );
    let cost = objects(
        &[
            ("TEAM", "team"),
            ("STAGE", "stage"),
            ("TOKENS", "tokens"),
            ("ENDPOINT (ms)", "endpoint_ms"),
        ],
        &answer["cost"],
    );
    let parts = [
        table(&["FACT", "VALUE"], &host_fields),
        members,
        counts("STORE CALL", &answer["store_calls"]),
        latency,
        cost,
        counts("COUNTER", &answer["counters"]),
    ];
    parts.join("\n")
}

fn counts(heading: &str, counts: &Value) -> String {
    let rows = counts
        .as_object()
        .into_iter()
        .flatten()
        .map(|(name, count)| vec![name.clone(), cell(count)])
        .collect::<Vec<_>>();
    table(&[heading, "COUNT"], &rows)
}
