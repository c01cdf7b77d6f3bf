//! Checks the guarantees against what callers observed and workers ran.

use {
    crate::{
        callers::PIECE_KEY,
        graph::Graph,
        record::{Attempt, End, Record, Route, Target, has_key},
    },
    serde_json::Value,
    stand_ins::platform::{
        config::MAX_ATTEMPTS,
        workers::{Piece, Run},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

/// Margin that is added to every bound for a busy machine.
const SLACK: Duration = Duration::from_millis(500);

/// Maximum time until a configuration version is in force on every host.
const CONFIG_BOUND: Duration = Duration::from_millis(2000);

/// Maximum time until a draining worker receives no new requests.
const DRAIN_BOUND: Duration = Duration::from_millis(2000);

/// Maximum time until workers receive no more work for a request that its
/// caller abandoned.
const ABANDON_BOUND: Duration = Duration::from_millis(500);

/// Retry budget of the settings: repeats per request.
const RETRY_RATIO: f64 = 0.2;

/// Retry budget of the settings: repeats in [`RETRY_WINDOW`] beyond the ratio.
const RETRY_SLACK: f64 = 52.0;

/// Retry budget of the settings: window in which requests and repeats count.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// A guarantee that was violated.
#[derive(Clone, Debug)]
pub struct Violation {
    pub detail: String,
    pub guarantee: &'static str,
    /// Request that violates the guarantee, if it is a single one.
    pub request: Option<String>,
}

/// The requests and pieces that one worker ran.
#[derive(Clone, Debug)]
pub struct WorkerRecord {
    pub pieces: Vec<Piece>,
    pub runs: Vec<Run>,
    pub service: &'static str,
}

/// The records of callers and workers at one moment.
pub struct Observations<'a> {
    /// The stages of all drafts.
    pub graph: Graph,
    pub record: &'a Record,
    pub workers: &'a [WorkerRecord],
}

/// An execution of a request by a worker, which is given as an index.
struct Execution<'a> {
    run: &'a Run,
    service: &'static str,
    worker: usize,
}

type Check = fn(&str, &Attempt, &[Execution], &Record) -> Result<(), String>;

/// Checks of a single request, with the guarantee that each of them verifies.
const CHECKS: [(&str, Check); 9] = [
    (
        "a caller gets the complete response to its own request",
        check_answer,
    ),
    (
        "a request that is not repeatable runs at most once",
        check_at_most_once,
    ),
    (
        "a request that is refused as not run has not run",
        check_refusal,
    ),
    (
        "a request runs at no more endpoints than its route allows",
        check_endpoints,
    ),
    (
        "a request runs at the service that the configuration names",
        check_service,
    ),
    (
        "a key is accepted if and only if the configuration has it",
        check_key,
    ),
    ("endpoints receive the team and not the key", check_headers),
    (
        "a response arrives in time, even from a host that stops",
        check_response,
    ),
    (
        "an abandoned request causes no further work",
        check_abandoned,
    ),
];

impl Observations<'_> {
    /// Checks all guarantees.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    pub fn check(&self) -> Result<(), Violation> {
        let mut by_request = HashMap::<&str, Vec<Execution>>::new();

        for (worker, log) in self.workers.iter().enumerate() {
            for run in &log.runs {
                let id = run.headers.get("x-attempt-id").map_or("", String::as_str);
                by_request.entry(id).or_default().push(Execution {
                    run,
                    service: log.service,
                    worker,
                });
            }
        }

        for (id, attempt) in &self.record.attempts {
            let executions = by_request.remove(id.as_str()).unwrap_or_default();

            for (guarantee, check) in CHECKS {
                check(id, attempt, &executions, self.record)
                    .map_err(|detail| violation(guarantee, Some(id), detail))?;
            }
        }

        if let Some(id) = by_request.keys().next() {
            let detail = "an endpoint ran a request that no caller sent".into();
            return Err(violation("only requests of callers run", Some(id), detail));
        }

        self.check_pieces()?;
        self.check_inputs()?;
        self.check_drains()?;
        self.check_budget()
    }

    fn check_pieces(&self) -> Result<(), Violation> {
        for piece in self.workers.iter().flat_map(|worker| &worker.pieces) {
            let id = piece.item["id"].as_str().unwrap_or_default();
            let draft = self.record.attempts.get(id);
            let draft = draft.filter(|attempt| attempt.route == Route::Draft);
            let number = |field: &str| piece.item[field].as_u64().map(|number| number as usize);
            let is_asked_for = draft.is_some_and(|draft| {
                let (Some(stage), Some(number)) = (number("phase"), number("piece")) else {
                    return false;
                };
                let inputs = self.graph.inputs(stage, &draft.pieces);
                let has_inputs = if inputs.is_empty() {
                    piece.item["key"] == PIECE_KEY
                } else {
                    handles_match(id, &strings(&piece.item["inputs"]), &inputs)
                };
                has_inputs && draft.pieces.get(stage).is_some_and(|count| number < *count)
            });

            if !is_asked_for {
                let detail = format!("piece {}", piece.item);
                return Err(violation(
                    "a piece receives the inputs of its own request",
                    Some(id),
                    detail,
                ));
            }
        }

        Ok(())
    }

    /// Checks that an engine receives the outputs of the last stages of a draft.
    fn check_inputs(&self) -> Result<(), Violation> {
        for run in self.workers.iter().flat_map(|worker| &worker.runs) {
            let header = |name: &str| run.headers.get(name).map_or("", String::as_str);
            let id = header("x-attempt-id");
            let draft = self.record.attempts.get(id);
            let Some(draft) = draft.filter(|attempt| attempt.route == Route::Draft) else {
                continue;
            };
            let handles = header("x-inputs").split(',').map(str::to_owned);
            let handles = handles.collect::<Vec<String>>();

            if !handles_match(id, &handles, &self.graph.last(&draft.pieces)) {
                return Err(violation(
                    "a request receives the outputs of its own last stages",
                    Some(id),
                    format!("pieces {:?}, inputs {handles:?}", draft.pieces),
                ));
            }
        }

        Ok(())
    }

    fn check_drains(&self) -> Result<(), Violation> {
        let runs = self.workers.iter().flat_map(|worker| &worker.runs);

        for drain in &self.record.drains {
            let bound = drain.at + DRAIN_BOUND + SLACK;

            for run in runs.clone().filter(|run| run.at > bound) {
                let named = run.headers.get("x-expect-instance") == Some(&drain.endpoint);
                let undisturbed = !self
                    .record
                    .is_disturbed(drain.at, run.at, |target| target != Target::Workers);
                let id = run.headers.get("x-attempt-id");
                let sent = id.and_then(|id| self.record.attempts.get(id));
                let sent = sent.is_some_and(|attempt| attempt.sent > bound);

                if named && undisturbed && sent {
                    let detail = format!(
                        "{} received work after it was listed as draining",
                        drain.endpoint
                    );
                    return Err(violation(
                        "a draining endpoint receives no new work",
                        id.map(String::as_str),
                        detail,
                    ));
                }
            }
        }

        Ok(())
    }

    /// Checks, at the time of every repeat, the number of repeats in the window
    /// before it against the requests of that window and the one before.
    fn check_budget(&self) -> Result<(), Violation> {
        let mut services = BTreeMap::<&str, Vec<&Run>>::new();

        for worker in self.workers {
            let runs = services.entry(worker.service).or_default();
            runs.extend(&worker.runs);
        }

        for (service, mut runs) in services {
            runs.sort_by_key(|run| run.at);
            let mut seen_ids = BTreeSet::new();
            let repeats = runs
                .iter()
                .filter(|run| !seen_ids.insert(run.headers.get("x-attempt-id")))
                .map(|run| run.at)
                .collect::<Vec<Instant>>();

            for end in &repeats {
                let within = |at: &&Instant| **at <= *end && **at + RETRY_WINDOW > *end;
                let count = repeats.iter().filter(within).count();
                let sent = self.record.attempts.values();
                let sent = sent.filter(|attempt| {
                    (1..=2).any(|version| attempt.route.service(version) == service)
                        && attempt.sent + RETRY_WINDOW * 2 > *end
                });
                let max_repeats = RETRY_RATIO * sent.count() as f64 + RETRY_SLACK;

                if count as f64 > max_repeats {
                    let detail = format!("{count} repeats at {service}, at most {max_repeats:.0}");
                    return Err(violation(
                        "the fleet stays within its retry budget",
                        None,
                        detail,
                    ));
                }
            }
        }

        Ok(())
    }
}

fn violation(guarantee: &'static str, request: Option<&str>, detail: String) -> Violation {
    Violation {
        detail,
        guarantee,
        request: request.map(str::to_owned),
    }
}

fn check_answer(_: &str, attempt: &Attempt, _: &[Execution], _: &Record) -> Result<(), String> {
    match &attempt.end {
        Some((
            _,
            End::Answered {
                fault: Some(fault), ..
            }
            | End::Cut { fault: Some(fault) },
        )) => Err(fault.clone()),
        _ => Ok(()),
    }
}

fn check_at_most_once(
    _: &str,
    attempt: &Attempt,
    executions: &[Execution],
    _: &Record,
) -> Result<(), String> {
    if attempt.route.is_repeatable() || executions.len() < 2 {
        return Ok(());
    }

    Err(format!("it ran {} times", executions.len()))
}

fn check_refusal(
    _: &str,
    attempt: &Attempt,
    executions: &[Execution],
    _: &Record,
) -> Result<(), String> {
    match attempt.end {
        Some((
            _,
            End::Answered {
                status: status @ (408 | 421 | 429 | 503),
                ..
            },
        )) if !executions.is_empty() && !attempt.route.is_repeatable() => {
            Err(format!("it was refused with {status} but ran"))
        }
        _ => Ok(()),
    }
}

fn check_endpoints(
    _: &str,
    _: &Attempt,
    executions: &[Execution],
    _: &Record,
) -> Result<(), String> {
    let workers = executions.iter().map(|execution| execution.worker);
    let workers = workers.collect::<BTreeSet<usize>>();

    if workers.len() > MAX_ATTEMPTS {
        return Err(format!("it ran at {} endpoints", workers.len()));
    }

    Ok(())
}

fn check_service(
    _: &str,
    attempt: &Attempt,
    executions: &[Execution],
    record: &Record,
) -> Result<(), String> {
    for execution in executions {
        let versions = record.versions_for(attempt, execution.run.at, CONFIG_BOUND + SLACK);
        let allowed = |version| attempt.route.service(version) == execution.service;

        if !versions.clone().any(allowed) {
            let service = execution.service;
            return Err(format!("it ran at {service} under versions {versions:?}"));
        }
    }

    Ok(())
}

fn check_key(
    _: &str,
    attempt: &Attempt,
    executions: &[Execution],
    record: &Record,
) -> Result<(), String> {
    let bound = CONFIG_BOUND + SLACK;
    let has_the_key = |version| has_key(version, attempt.key);

    for execution in executions {
        let versions = record.versions_for(attempt, execution.run.at, bound);

        if !versions.clone().any(has_the_key) {
            return Err(format!(
                "it ran with a key that is valid under none of the versions {versions:?}"
            ));
        }
    }

    if let Some((at, End::Answered { status: 401, .. })) = attempt.end {
        let versions = record.versions_for(attempt, at, bound);

        if versions.clone().all(has_the_key) {
            return Err(format!(
                "its key was refused but is valid under versions {versions:?}"
            ));
        }
    }

    Ok(())
}

fn check_headers(_: &str, _: &Attempt, executions: &[Execution], _: &Record) -> Result<(), String> {
    for Execution { run, .. } in executions {
        let header = |name: &str| run.headers.get(name).map(String::as_str);

        if header("x-tenant") != Some("team") || header("authorization").is_some() {
            return Err("an endpoint received the key, or no team".into());
        }
    }

    Ok(())
}

/// Returns whether the handles name exactly these pieces of a request, each
/// once.
fn handles_match(id: &str, handles: &[String], pieces: &BTreeSet<String>) -> bool {
    let named = handles
        .iter()
        .filter_map(|handle| {
            handle
                .split_once('/')?
                .1
                .strip_prefix(id)?
                .strip_prefix('.')
        })
        .collect::<BTreeSet<&str>>();
    handles.len() == pieces.len() && pieces.iter().all(|piece| named.contains(piece.as_str()))
}

fn strings(value: &Value) -> Vec<String> {
    let items = value.as_array().into_iter().flatten();
    items
        .filter_map(|item| item.as_str().map(str::to_owned))
        .collect()
}

fn check_response(
    _: &str,
    attempt: &Attempt,
    executions: &[Execution],
    record: &Record,
) -> Result<(), String> {
    let Some((at, end)) = &attempt.end else {
        return Ok(());
    };
    let host = attempt.host;
    let killed = record.is_disturbed(attempt.sent, *at, |target| target == Target::Host(host));
    let stopped = record.is_disturbed(attempt.sent, *at, |target| target == Target::Stop(host));

    match end {
        // A request on a reused connection may arrive as a stopping host closes
        // the connection. This is allowed if no worker ran the request.
        End::NoAnswer(reason)
            if !(killed || stopped && attempt.reused && executions.is_empty()) =>
        {
            Err(format!("no response: {reason}"))
        }
        End::Cut { .. } => {
            // An answer that is not a stream is complete before its host sends it.
            let excuses = |target| match target {
                Target::Stop(_) => false,
                target => attempt.route.is_stream() || target == Target::Host(host),
            };

            if record.is_disturbed(attempt.sent, *at, excuses) {
                Ok(())
            } else {
                Err("its response broke off without a disturbance that excuses it".into())
            }
        }
        _ => Ok(()),
    }
}

fn check_abandoned(
    _: &str,
    attempt: &Attempt,
    executions: &[Execution],
    record: &Record,
) -> Result<(), String> {
    let Some((at, End::Left)) = attempt.end else {
        return Ok(());
    };
    let bound = at + ABANDON_BOUND + SLACK;
    let late = executions.iter().find(|execution| execution.run.at > bound);

    match late {
        Some(execution) if !record.is_disturbed(attempt.sent, execution.run.at, |_| true) => {
            Err(format!(
                "an endpoint received it {:?} after its caller had abandoned it",
                execution.run.at - at
            ))
        }
        _ => Ok(()),
    }
}
