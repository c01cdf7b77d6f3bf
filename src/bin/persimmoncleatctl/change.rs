//! Submits a change and reports its outcome.

use {
    crate::{
        failure::{Failure, lines},
        operator::{Answer, Operator},
        table::cell,
    },
    persimmoncleat::state::{
        fault::Fault,
        settings::change::{Conflict, Draft},
        settings::edit::{DraftEdit, Edit},
    },
    serde_json::{Value, json},
};

const PATH: &str = "/v1/admin/settings";

/// Author and operation id of a change.
#[derive(Clone, Debug)]
pub struct Author {
    pub name: String,
    pub operation: String,
}

/// Submits the edits as one change.
///
/// # Errors
///
/// Fails if the change is refused or its outcome is not known.
pub fn submit(
    operator: &Operator,
    author: Author,
    edits: Vec<Edit>,
    json: bool,
) -> Result<(), Failure> {
    let operation = author.operation;
    let draft = Draft {
        operation: operation.clone(),
        author: author.name,
        edits: edits.into_iter().map(draft_edit).collect(),
    };
    let answer = operator
        .post(PATH, &json!(draft))
        .map_err(|failure| Failure {
            text: format!("{}\n{}", failure.text, unknown_outcome(&operation)),
            ..failure
        })?;

    if json {
        println!("{}", answer.body);
    }

    report(&answer, &operation, json)
}

fn report(answer: &Answer, operation: &str, json: bool) -> Result<(), Failure> {
    let body = &answer.body;

    match answer.status {
        200 => {
            if !json {
                print!("{}", accepted_text(body));
            }
            Ok(())
        }
        409 => Err(Failure::refused(conflict_text(body)?)),
        422 => {
            let faults = serde_json::from_value::<Vec<Fault>>(body["errors"].clone())
                .map_err(|error| Failure::other(error.to_string()))?;
            Err(Failure::refused(lines(&faults)))
        }
        503 if body["outcome"] == "not_run" => Err(Failure::unreachable(
            "the change was not applied: the host is busy or cannot reach the object API; try again",
        )),
        503 if body["outcome"] == "unknown" => {
            Err(Failure::unreachable(unknown_outcome(operation)))
        }
        status => Err(Failure::other(format!(
            "the host answered {status}: {body}"
        ))),
    }
}

fn accepted_text(body: &Value) -> String {
    let list = |field: &str| {
        let hosts = body[field].as_array().into_iter().flatten();
        hosts.map(cell).collect::<Vec<_>>().join(", ")
    };
    let mut text = format!(
        "accepted as version {}, in force after {} ms on: {}\n",
        body["version"],
        body["elapsed_ms"],
        list("in_force")
    );

    if !list("pending").is_empty() {
        text += &format!("not yet reported by: {}\n", list("pending"));
    }

    text
}

fn conflict_text(body: &Value) -> Result<String, Failure> {
    let conflict = serde_json::from_value::<Conflict>(body.clone())
        .map_err(|error| Failure::other(error.to_string()))?;
    let shown = |value: Option<String>| value.unwrap_or_else(|| "(not set)".into());

    Ok(format!(
        "conflict: another change set [{}] {}\n  yours:  {}\n  theirs: {} (version {})",
        conflict.path,
        conflict.key,
        shown(conflict.yours),
        shown(conflict.theirs),
        conflict.version,
    ))
}

fn unknown_outcome(operation: &str) -> String {
    format!(
        "it is not known whether the change was applied; repeat the command with \
         --operation {operation} to find out, which never applies it twice"
    )
}

fn draft_edit(edit: Edit) -> DraftEdit {
    DraftEdit {
        path: edit.path,
        key: edit.key,
        old: Some(edit.old),
        new: edit.new,
    }
}
