//! Checks the promises against what callers saw and what workers ran.

use {
    crate::{
        callers::PIECE_KEY,
        record::{Attempt, End, Kind, Record, Target, has_key},
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

/// What a busy machine adds to a bound.
const SLACK: Duration = Duration::from_millis(500);

/// Time in which a version comes into force.
const CONFIG_BOUND: Duration = Duration::from_millis(2000);

/// Time in which a worker that leaves gets no more work.
const DRAIN_BOUND: Duration = Duration::from_millis(2000);

/// Time in which the work of a caller that left ends.
const LEFT_BOUND: Duration = Duration::from_millis(500);

/// The retry budget of the settings: ratio, slack and window.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 52.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Handles of a draft's last stage, without the worker's part.
const LAST_PIECES: [&str; 3] = ["1.0", "1.1", "1.2"];

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    pub detail: String,
    pub promise: &'static str,
    /// Request that shows it.
    pub request: Option<String>,
}

/// What one worker ran.
#[derive(Clone, Debug)]
pub struct Worked {
    pub pieces: Vec<Piece>,
    pub runs: Vec<Run>,
    pub service: &'static str,
}

/// Everything that is known at one moment.
pub struct Seen<'a> {
    pub record: &'a Record,
    pub worked: &'a [Worked],
}

/// A run of a request, with the worker that ran it.
struct Ran<'a> {
    run: &'a Run,
    service: &'static str,
    worker: usize,
}

type Check = fn(&str, &Attempt, &[Ran], &Record) -> Result<(), String>;

/// Checks of a single request, by the promise that they stand for.
const CHECKS: [(&str, Check); 9] = [
    ("a caller gets its own answer, whole", own_answer),
    ("what is not repeatable runs at most once", at_most_once),
    ("what is refused as not run has not run", refused),
    ("no more endpoints than the route allows", attempts),
    ("a request runs where the configuration says", service),
    ("a key counts as the configuration says", key),
    ("endpoints are told the team and not the key", headers),
    (
        "an answer comes in time, also from a host that stops",
        answered,
    ),
    ("the work of a caller that left ends", left),
];

impl Seen<'_> {
    /// Returns the first promise that was broken.
    ///
    /// # Errors
    ///
    /// Returns the violation.
    pub fn check(&self) -> Result<(), Violation> {
        let mut ran = HashMap::<&str, Vec<Ran>>::new();

        for (worker, worked) in self.worked.iter().enumerate() {
            for run in &worked.runs {
                let id = run.headers.get("x-attempt-id").map_or("", String::as_str);
                ran.entry(id).or_default().push(Ran {
                    run,
                    service: worked.service,
                    worker,
                });
            }
        }

        for (id, attempt) in &self.record.attempts {
            let runs = ran.remove(id.as_str()).unwrap_or_default();

            for (promise, check) in CHECKS {
                check(id, attempt, &runs, self.record)
                    .map_err(|detail| violation(promise, Some(id), detail))?;
            }
        }

        if let Some(id) = ran.keys().next() {
            let detail = "an endpoint ran a request that no caller sent".into();
            return Err(violation("only callers' requests run", Some(id), detail));
        }

        self.check_pieces()?;
        self.check_drains()?;
        self.check_budget()
    }

    fn check_pieces(&self) -> Result<(), Violation> {
        for piece in self.worked.iter().flat_map(|worked| &worked.pieces) {
            let id = piece.item["id"].as_str().unwrap_or_default();
            let known = self.record.attempts.get(id);
            let known = known.is_some_and(|attempt| attempt.kind == Kind::Draft);
            let input = match piece.item["phase"].as_u64() {
                Some(0) => piece.item["key"] == PIECE_KEY,
                Some(1) => own_handles(id, &inputs(&piece.item["inputs"]), &["0.0"]),
                _ => false,
            };

            if !known || !input {
                let detail = format!("piece {}", piece.item);
                return Err(violation("a piece gets its own inputs", Some(id), detail));
            }
        }

        Ok(())
    }

    fn check_drains(&self) -> Result<(), Violation> {
        let runs = self.worked.iter().flat_map(|worked| &worked.runs);

        for drain in &self.record.drains {
            let late = drain.at + DRAIN_BOUND + SLACK;

            for run in runs.clone().filter(|run| run.at > late) {
                let named = run.headers.get("x-expect-instance") == Some(&drain.endpoint);
                let calm = !self
                    .record
                    .is_disturbed(drain.at, run.at, |target| target != Target::Workers);
                let id = run.headers.get("x-attempt-id");
                let sent = id.and_then(|id| self.record.attempts.get(id));
                let sent = sent.is_some_and(|attempt| attempt.sent > late);

                if named && calm && sent {
                    let detail = format!("{} got work after it left", drain.endpoint);
                    return Err(violation(
                        "an endpoint that leaves gets no work",
                        id.map(String::as_str),
                        detail,
                    ));
                }
            }
        }

        Ok(())
    }

    /// Counts, for every run, the repeats and the requests of the time before
    /// it.
    fn check_budget(&self) -> Result<(), Violation> {
        let mut services = BTreeMap::<&str, Vec<&Run>>::new();

        for worked in self.worked {
            let runs = services.entry(worked.service).or_default();
            runs.extend(&worked.runs);
        }

        for (service, mut runs) in services {
            runs.sort_by_key(|run| run.at);
            let mut known = BTreeSet::new();
            let repeats = runs
                .iter()
                .filter(|run| !known.insert(run.headers.get("x-attempt-id")))
                .map(|run| run.at)
                .collect::<Vec<Instant>>();

            for end in &repeats {
                let within = |at: &&Instant| **at <= *end && **at + RETRY_WINDOW > *end;
                let count = repeats.iter().filter(within).count();
                let sent = self.record.attempts.values();
                let sent = sent.filter(|attempt| {
                    (1..=2).any(|version| attempt.kind.service(version) == service)
                        && attempt.sent + RETRY_WINDOW * 2 > *end
                });
                let most = RETRY_RATIO * sent.count() as f64 + RETRY_SLACK;

                if count as f64 > most {
                    let detail = format!("{count} repeats at {service}, at most {most:.0}");
                    return Err(violation("the fleet keeps its retry budget", None, detail));
                }
            }
        }

        Ok(())
    }
}

fn violation(promise: &'static str, request: Option<&str>, detail: String) -> Violation {
    Violation {
        detail,
        promise,
        request: request.map(str::to_owned),
    }
}

fn own_answer(_: &str, attempt: &Attempt, _: &[Ran], _: &Record) -> Result<(), String> {
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

fn at_most_once(_: &str, attempt: &Attempt, runs: &[Ran], _: &Record) -> Result<(), String> {
    if attempt.kind.is_repeatable() || runs.len() < 2 {
        return Ok(());
    }

    Err(format!("it ran {} times", runs.len()))
}

fn refused(_: &str, attempt: &Attempt, runs: &[Ran], _: &Record) -> Result<(), String> {
    match attempt.end {
        Some((
            _,
            End::Answered {
                status: status @ (408 | 421 | 429 | 503),
                ..
            },
        )) if !runs.is_empty() && !attempt.kind.is_repeatable() => {
            Err(format!("it was answered {status} and ran"))
        }
        _ => Ok(()),
    }
}

fn attempts(_: &str, _: &Attempt, runs: &[Ran], _: &Record) -> Result<(), String> {
    let workers = runs.iter().map(|ran| ran.worker);
    let workers = workers.collect::<BTreeSet<usize>>();

    if workers.len() > MAX_ATTEMPTS {
        return Err(format!("it ran at {} endpoints", workers.len()));
    }

    Ok(())
}

fn service(_: &str, attempt: &Attempt, runs: &[Ran], record: &Record) -> Result<(), String> {
    for ran in runs {
        let versions = record.versions_for(attempt, ran.run.at, CONFIG_BOUND + SLACK);
        let allowed = |version| attempt.kind.service(version) == ran.service;

        if !versions.clone().any(allowed) {
            let service = ran.service;
            return Err(format!("it ran at {service} under versions {versions:?}"));
        }
    }

    Ok(())
}

fn key(_: &str, attempt: &Attempt, runs: &[Ran], record: &Record) -> Result<(), String> {
    let bound = CONFIG_BOUND + SLACK;
    let known = |version| has_key(version, attempt.key);

    for ran in runs {
        let versions = record.versions_for(attempt, ran.run.at, bound);

        if !versions.clone().any(known) {
            return Err(format!("it ran with a key of no version in {versions:?}"));
        }
    }

    if let Some((at, End::Answered { status: 401, .. })) = attempt.end {
        let versions = record.versions_for(attempt, at, bound);

        if versions.clone().all(known) {
            return Err(format!("its key is refused under versions {versions:?}"));
        }
    }

    Ok(())
}

fn headers(id: &str, attempt: &Attempt, runs: &[Ran], _: &Record) -> Result<(), String> {
    for Ran { run, .. } in runs {
        let header = |name: &str| run.headers.get(name).map(String::as_str);

        if header("x-tenant") != Some("team") || header("authorization").is_some() {
            return Err("an endpoint got the key, or no team".into());
        }

        let handles = header("x-inputs").unwrap_or_default();
        let handles = handles.split(',').map(str::to_owned);

        if attempt.kind == Kind::Draft
            && !own_handles(id, &handles.collect::<Vec<String>>(), &LAST_PIECES)
        {
            return Err(format!("its inputs were {:?}", header("x-inputs")));
        }
    }

    Ok(())
}

/// Returns whether handles name these pieces of a request, each once.
fn own_handles(id: &str, handles: &[String], pieces: &[&str]) -> bool {
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
    handles.len() == pieces.len() && pieces.iter().all(|piece| named.contains(piece))
}

fn inputs(value: &Value) -> Vec<String> {
    let items = value.as_array().into_iter().flatten();
    items
        .filter_map(|item| item.as_str().map(str::to_owned))
        .collect()
}

fn answered(_: &str, attempt: &Attempt, runs: &[Ran], record: &Record) -> Result<(), String> {
    let Some((at, end)) = &attempt.end else {
        return Ok(());
    };
    let host = attempt.host;
    let killed = record.is_disturbed(attempt.sent, *at, |target| target == Target::Host(host));
    let stopped = record.is_disturbed(attempt.sent, *at, |target| target == Target::Stop(host));

    match end {
        // A request on a kept connection may cross the close of a host that
        // stops, if nobody ran it.
        End::NoAnswer(reason) if !(killed || stopped && attempt.reused && runs.is_empty()) => {
            Err(format!("no answer: {reason}"))
        }
        End::Cut { .. } => {
            let calm = !record.is_disturbed(attempt.sent, *at, |target| {
                !matches!(target, Target::Stop(_))
            });
            calm.then_some(()).map_or(Ok(()), |()| {
                Err("its answer broke off with nothing but planned work around".into())
            })
        }
        _ => Ok(()),
    }
}

fn left(_: &str, attempt: &Attempt, runs: &[Ran], record: &Record) -> Result<(), String> {
    let Some((at, End::Left)) = attempt.end else {
        return Ok(());
    };
    let bound = at + LEFT_BOUND + SLACK;
    let late = runs.iter().find(|ran| ran.run.at > bound);

    match late {
        Some(ran) if !record.is_disturbed(attempt.sent, ran.run.at, |_| true) => Err(format!(
            "an endpoint got it {:?} after its caller had left",
            ran.run.at - at
        )),
        _ => Ok(()),
    }
}
