//! Shows where a request would go at a host that serves routes.

use {
    crate::{
        failure::Failure,
        table::{cell, objects, table},
    },
    persimmoncleat::{
        protocol::object_api::percent_encode,
        transport::client::{self, Client},
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// The request in question.
#[derive(Clone, Debug)]
pub struct Question {
    /// Address of the host's metrics.
    pub metrics: SocketAddr,
    pub name: String,
    pub parts: Option<String>,
    pub path: String,
    pub team: Option<String>,
}

/// Prints where the request would go and what would refuse it.
///
/// # Errors
///
/// Fails if the host does not answer.
pub fn explain(question: &Question, json: bool) -> Result<(), Failure> {
    let fields = [
        ("host", Some(&question.name)),
        ("path", Some(&question.path)),
        ("team", question.team.as_ref()),
        ("parts", question.parts.as_ref()),
    ];
    let fields = fields.into_iter().filter_map(|(field, value)| {
        let value = percent_encode(value?);
        Some(format!("{field}={value}"))
    });
    let path = format!("/explain?{}", fields.collect::<Vec<_>>().join("&"));
    let unreachable =
        |failure: client::Failure| Failure::unreachable(failure.into_error().to_string());
    let address = question.metrics;
    let response = Client::new()
        .get(address, &path, &[], TIMEOUT)
        .map_err(unreachable)?;
    let body = client::read_body(address, TIMEOUT, response).map_err(unreachable)?;
    let answer = serde_json::from_slice::<Value>(&body)
        .map_err(|error| Failure::other(format!("the answer is not JSON: {error}")))?;

    if json {
        println!("{answer}");
    } else {
        print!("{}", text(&answer));
    }

    Ok(())
}

fn text(answer: &Value) -> String {
    let services = answer["services"].as_array().into_iter().flatten();
    let services = services.map(|service| {
        let share = service[1].as_f64().unwrap_or_default();
        format!("{} ({:.0} %)", cell(&service[0]), share * 100.0)
    });
    let rows = [
        ("configuration", cell(&answer["config"])),
        ("route", cell(&answer["route"])),
        ("services", services.collect::<Vec<_>>().join(", ")),
        ("priority", cell(&answer["priority"])),
        ("refused", list(&answer["refusals"])),
        ("engine chosen by", list(&answer["balancers"])),
    ];
    let rows = rows.map(|(name, value)| vec![name.into(), value]);
    let mut text = table(&["REQUEST", ""], &rows);

    if answer["stages"]
        .as_array()
        .is_some_and(|stages| !stages.is_empty())
    {
        text += "\n";
        text += &stages(&answer["stages"]);
    }

    text += "\n";
    text += &objects(
        &[
            ("CANDIDATE", "endpoint"),
            ("SERVICE", "service"),
            ("DOMAIN", "domain"),
            ("STATE", "state"),
            ("WAIT (ms)", "wait_ms"),
            ("RUNNING", "running"),
            ("SLOTS", "slots"),
            ("LATENCY RATIO", "latency_ratio"),
            ("AGE (ms)", "age_ms"),
            ("NEXT", "next"),
        ],
        &answer["candidates"],
    );
    text
}

fn stages(stages: &Value) -> String {
    let rows = stages.as_array().into_iter().flatten().enumerate();
    let rows = rows.map(|(number, stage)| {
        json!({
            "stage": number,
            "service": stage["service"],
            "after": list(&stage["after"]),
            "dispatchers": list(&stage["dispatchers"]),
            "endpoints": stage["endpoints"],
            "backlog_ms": stage["backlog_ms"],
        })
    });
    objects(
        &[
            ("STAGE", "stage"),
            ("SERVICE", "service"),
            ("AFTER", "after"),
            ("DISPATCHERS", "dispatchers"),
            ("ENDPOINTS", "endpoints"),
            ("BACKLOG (ms)", "backlog_ms"),
        ],
        &rows.collect::<Vec<Value>>().into(),
    )
}

fn list(values: &Value) -> String {
    let values = values.as_array().into_iter().flatten().map(cell);
    let text = values.collect::<Vec<_>>().join(", ");
    if text.is_empty() { "-".into() } else { text }
}
