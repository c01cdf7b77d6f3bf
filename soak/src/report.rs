//! Formats the result of a run.

use {
    crate::{
        plan::{Parameters, Step, Transition},
        run::Outcome,
    },
    std::{fmt::Write, fs, path::Path, time::Duration},
};

/// Maximum number of log lines that are printed for a request.
const MAX_LOG_LINES: usize = 60;

/// Returns the report of a run whose logs are in `folder`.
pub fn text(parameters: &Parameters, outcome: &Outcome, folder: &Path) -> String {
    let mut text = format!(
        "seed {}: {} hosts, {} workers, {} steps in {:?}\n",
        parameters.seed,
        parameters.hosts,
        parameters.workers,
        outcome.steps.len(),
        outcome.steps.last().map_or(Duration::ZERO, |step| step.at),
    );

    for (end, count) in &outcome.ends {
        push_line(&mut text, &format!("  {count:6} {end}"));
    }

    let Some(violation) = &outcome.violation else {
        push_line(&mut text, "no guarantee was violated");
        return text;
    };
    let request = violation.request.as_deref();
    push_line(&mut text, &format!("BROKEN: {}", violation.guarantee));
    push_line(&mut text, &format!("  {}", violation.detail));
    push_line(&mut text, &format!("  request {}", request.unwrap_or("-")));
    push_line(&mut text, &format!("  logs in {}", folder.display()));
    text += "plan:\n";

    for step in &outcome.steps {
        push_line(&mut text, &format!("  {}", describe(step)));
    }

    if let Some(request) = request {
        text += "log lines of the request:\n";

        for found in log_lines(request, outcome).iter().take(MAX_LOG_LINES) {
            push_line(&mut text, &format!("  {found}"));
        }
    }

    text
}

fn describe(step: &Step) -> String {
    let transition = match step.transition {
        Transition::Begin => "begin",
        Transition::End => "end",
    };
    format!(
        "{:7.3} s  {transition:5}  {:?}",
        step.at.as_secs_f64(),
        step.fault
    )
}

/// Returns the lines of all logs that contain a request's id, in
/// chronological order.
fn log_lines(request: &str, outcome: &Outcome) -> Vec<String> {
    let mut lines = Vec::new();

    for path in &outcome.logs {
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        let log = fs::read_to_string(path).unwrap_or_else(|error| error.to_string());
        let found = log.lines().filter(|line| line.contains(request));
        lines.extend(found.map(|line| (log_time(line), format!("{name} {line}"))));
    }

    lines.sort();
    lines.into_iter().map(|(_, line)| line).collect()
}

/// Returns the value of the `time` field of a log line.
fn log_time(line: &str) -> String {
    let value = serde_json::from_str::<serde_json::Value>(line).unwrap_or_default();
    value["time"].as_str().unwrap_or_default().to_owned()
}

fn push_line(text: &mut String, line: &str) {
    // Writing to a `String` never fails.
    let _ = writeln!(text, "{line}");
}
