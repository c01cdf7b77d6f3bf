//! Replays a recorded trace against the rules of its state machine.

use {
    crate::failure::Failure,
    persimmoncleat::state::{
        replay::claims_trace,
        replay::lease_trace,
        replay::scheduler_trace,
        replay::settings_trace::{self, Step},
        tuning::Tuning,
    },
    serde::de::DeserializeOwned,
    serde_json::json,
    std::{fs, path::Path},
};

/// Replays a trace. The prefix of its file name, up to the first `-`, names the
/// state machine.
///
/// # Errors
///
/// Fails if the file is not a trace or the trace violates a rule.
pub fn replay(path: &Path, json: bool) -> Result<(), Failure> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let text = fs::read_to_string(path)
        .map_err(|error| Failure::usage(format!("cannot read {}: {error}", path.display())))?;
    let machine = name.split('-').next().unwrap_or_default();
    let violation = match machine {
        "claims" => claims(&parse(&text)?),
        "lease" => lease(&parse(&text)?),
        "scheduler" => scheduler(&parse::<Vec<_>>(&text)?),
        "settings" => settings(&parse::<Vec<_>>(&text)?),
        _ => {
            return Err(Failure::usage(format!(
                "{name} does not start with claims-, lease-, scheduler- or settings-"
            )));
        }
    };

    if json {
        println!(
            "{}",
            json!({"machine": machine, "trace": name, "broken": violation})
        );
    }

    match violation {
        None if json => Ok(()),
        None => {
            println!("{name}: no rule of {machine} is broken");
            Ok(())
        }
        Some(violation) => Err(Failure::other(format!("{name}: {violation}"))),
    }
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Failure> {
    serde_json::from_str(text).map_err(|error| Failure::usage(format!("not a trace: {error}")))
}

fn claims(trace: &claims_trace::Trace) -> Option<String> {
    match trace.replay() {
        Ok(simulation)
            if simulation.answers() == trace.answers && simulation.runs() == trace.runs =>
        {
            None
        }
        Ok(_) => Some("the answers or runs differ from those in the trace".into()),
        Err(violation) => Some(violation.to_string()),
    }
}

fn lease(trace: &lease_trace::Trace) -> Option<String> {
    let violation = trace.replay().err()?;
    Some(violation.to_string())
}

fn scheduler(steps: &[scheduler_trace::Step]) -> Option<String> {
    match scheduler_trace::Simulation::new(1, Tuning::default()) {
        Ok(mut simulation) => first_violation(steps, |step| simulation.step(step)),
        Err(violation) => Some(violation.to_string()),
    }
}

fn settings(steps: &[Step]) -> Option<String> {
    let mut simulation = settings_trace::Simulation::default();
    first_violation(steps, |step| simulation.step(step))
        .or_else(|| Some(simulation.step(&Step::Settle).err()?.to_string()))
}

fn first_violation<S, E: ToString>(
    steps: &[S],
    mut apply: impl FnMut(&S) -> Result<(), E>,
) -> Option<String> {
    steps.iter().enumerate().find_map(|(index, step)| {
        let violation = apply(step).err()?;
        Some(format!("step {index}: {}", violation.to_string()))
    })
}
