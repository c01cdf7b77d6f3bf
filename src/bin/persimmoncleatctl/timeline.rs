//! Merges the log lines of one request from the logs of several hosts.

use {
    crate::{
        failure::Failure,
        table::{cell, table},
    },
    serde_json::{Map, Value, json},
    std::{
        fs::File,
        io::{BufRead, BufReader},
        path::{Path, PathBuf},
    },
};

/// Fields that the column FIELDS omits: they have a column of their own or do
/// not describe the request.
const COLUMNS: [&str; 4] = ["level", "message", "request", "time"];

struct Line {
    fields: Map<String, Value>,
    log: String,
    time: String,
}

/// Prints the log lines of a request, ordered by time.
///
/// # Errors
///
/// Fails if a log cannot be read or has no line of the request.
pub fn timeline(request: &str, logs: &[PathBuf], json: bool) -> Result<(), Failure> {
    let mut lines = Vec::new();

    for path in logs {
        read(path, request, &mut lines)?;
    }

    if lines.is_empty() {
        return Err(Failure::other(format!(
            "no line names the request {request}"
        )));
    }

    lines.sort_by(|a, b| a.time.cmp(&b.time));

    if json {
        let lines = lines.iter().map(|line| {
            let mut fields = line.fields.clone();
            fields.insert("log".into(), line.log.clone().into());
            Value::Object(fields)
        });
        println!("{}", json!({ "lines": lines.collect::<Vec<Value>>() }));
    } else {
        let rows = lines.iter().map(row).collect::<Vec<Vec<String>>>();
        print!("{}", table(&["TIME", "LOG", "MESSAGE", "FIELDS"], &rows));
    }

    Ok(())
}

fn read(path: &Path, request: &str, lines: &mut Vec<Line>) -> Result<(), Failure> {
    let failed = |error| Failure::usage(format!("cannot read {}: {error}", path.display()));
    let file = File::open(path).map_err(failed)?;
    let name = path.file_stem().unwrap_or_default().to_string_lossy();

    for text in BufReader::new(file).lines() {
        let text = text.map_err(failed)?;

        // Skips other requests and, below, lines of other programs.
        if !text.contains(request) {
            continue;
        }

        let Some(start) = text.find('{') else {
            continue;
        };

        if let Ok(fields) = serde_json::from_str::<Map<String, Value>>(&text[start..])
            && fields.get("request").and_then(Value::as_str) == Some(request)
        {
            let time = fields.get("time").map(cell).unwrap_or_default();
            lines.push(Line {
                fields,
                log: name.clone().into_owned(),
                time,
            });
        }
    }

    Ok(())
}

fn row(line: &Line) -> Vec<String> {
    let others = line
        .fields
        .iter()
        .filter(|(key, _)| !COLUMNS.contains(&key.as_str()))
        .map(|(key, value)| format!("{key}={}", cell(value)))
        .collect::<Vec<String>>();
    let clock = line.time.split_once('T').map_or("", |(_, clock)| clock);
    let message = line.fields.get("message").map(cell).unwrap_or_default();

    vec![
        clock.split('+').next().unwrap_or_default().into(),
        line.log.clone(),
        message,
        others.join(" "),
    ]
}
