//! Prints what a run has shown.

use {
    crate::{
        plan::{Edge, Shape, Step},
        run::Outcome,
    },
    std::{fmt::Write, fs, path::Path, time::Duration},
};

/// Log lines of a request that are printed.
const LINES: usize = 60;

/// Returns the report of a run. `folder` has its logs.
pub fn text(shape: &Shape, outcome: &Outcome, folder: &Path) -> String {
    let mut text = format!(
        "seed {}: {} hosts, {} workers, {} steps in {:?}\n",
        shape.seed,
        shape.hosts,
        shape.workers,
        outcome.steps.len(),
        outcome.steps.last().map_or(Duration::ZERO, |step| step.at),
    );

    for (end, count) in &outcome.ends {
        line(&mut text, &format!("  {count:6} {end}"));
    }

    let Some(violation) = &outcome.violation else {
        line(&mut text, "no promise was broken");
        return text;
    };
    let request = violation.request.as_deref();
    line(&mut text, &format!("BROKEN: {}", violation.promise));
    line(&mut text, &format!("  {}", violation.detail));
    line(&mut text, &format!("  request {}", request.unwrap_or("-")));
    line(&mut text, &format!("  logs in {}", folder.display()));
    text += "plan:\n";

    for step in &outcome.steps {
        line(&mut text, &format!("  {}", describe(step)));
    }

    if let Some(request) = request {
        text += "log lines of the request:\n";

        for found in lines_of(request, outcome).iter().take(LINES) {
            line(&mut text, &format!("  {found}"));
        }
    }

    text
}

fn describe(step: &Step) -> String {
    let edge = match step.edge {
        Edge::Begin => "begin",
        Edge::End => "end",
    };
    format!(
        "{:7.3} s  {edge:5}  {:?}",
        step.at.as_secs_f64(),
        step.fault
    )
}

/// Returns the lines of all logs that name a request, in order of time.
fn lines_of(request: &str, outcome: &Outcome) -> Vec<String> {
    let mut lines = Vec::new();

    for path in &outcome.logs {
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        let log = fs::read_to_string(path).unwrap_or_else(|error| error.to_string());
        let found = log.lines().filter(|line| line.contains(request));
        lines.extend(found.map(|line| (time(line), format!("{name} {line}"))));
    }

    lines.sort();
    lines.into_iter().map(|(_, line)| line).collect()
}

/// Returns the time field of a log line.
fn time(line: &str) -> String {
    let value = serde_json::from_str::<serde_json::Value>(line).unwrap_or_default();
    value["time"].as_str().unwrap_or_default().to_owned()
}

fn line(text: &mut String, line: &str) {
    // A text takes every line.
    let _ = writeln!(text, "{line}");
}
