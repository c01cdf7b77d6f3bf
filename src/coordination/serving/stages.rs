//! Runs the stages of a request through the dispatchers of their pools.

use {
    crate::{
        coordination::serving::{
            answer::{Reason, Refusal},
            dispatch,
            expectation::Expectation,
            host::Host,
            relay::refusal_for,
            request::{Request, handles},
            timeline,
        },
        state::{
            id,
            serving::{
                chain,
                config::Config,
                forecast::Scope,
                graph::{Graph, Start},
                piece::{Failure, Input, Job, Outcome, Output},
                placement::Criteria,
            },
        },
        transport::boot_clock,
    },
    futures::stream::{FuturesUnordered, StreamExt},
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// Maximum number of times that all stages run again because outputs no longer
/// exist.
const MAX_RESTARTS: u32 = 1;

/// Outputs of the last stages. They are released on drop.
pub struct StageOutputs {
    pub handles: Vec<String>,
    guard: OutputGuard,
    /// Whether the outputs no longer exist.
    released: bool,
}

/// Releases the existing outputs of all stages on drop.
struct OutputGuard {
    graph: Graph,
    host: Rc<Host>,
}

impl OutputGuard {
    fn release(&mut self) {
        for (service, outputs) in self.graph.take_all() {
            dispatch::release(&self.host, &service, outputs);
        }
    }
}

impl Drop for OutputGuard {
    fn drop(&mut self) {
        self.release();
    }
}

impl StageOutputs {
    /// Returns the outputs of a request without stages: none.
    pub fn empty(host: &Rc<Host>) -> Self {
        Self {
            handles: Vec::new(),
            guard: OutputGuard {
                graph: Graph::default(),
                host: Rc::clone(host),
            },
            released: false,
        }
    }
}

/// Runs every stage of a request.
///
/// # Errors
///
/// Returns the refusal if a stage failed.
pub async fn run(
    host: &Rc<Host>,
    config: &Config,
    request: &Request,
) -> Result<StageOutputs, Refusal> {
    let stages = &request.route.stages;
    let graph = Graph::new(stages, &request.call.pieces)
        .map_err(|fault| refuse_unrunnable(request, &fault.to_string()))?;
    let expectation = Expectation::new(host, config, request, &graph);
    expectation.check(host, request)?;
    let mut guard = OutputGuard {
        graph,
        host: Rc::clone(host),
    };
    let domain = target_domain(host, request);
    let mut restarts = 0;

    loop {
        let failed = match run_once(host, config, request, &mut guard, domain.as_ref()).await {
            Ok(()) if guard.graph.is_done() => break,
            // Only a fault of this host can leave a stage that cannot start.
            Ok(()) => return Err(refuse_unrunnable(request, "a stage can never start")),
            Err(failed) => failed,
        };

        if failed.failure != Failure::InputGone || restarts >= MAX_RESTARTS {
            log::info!(
                request = request.id(),
                stage = failed.stage,
                failure = failed.failure.name(),
                backlog_ms = failed.backlog.as_millis(),
                retry_after_ms = failed.retry_after.as_millis(),
                left_ms = request.remaining().as_millis();
                "stage failed"
            );
            return Err(failed.refusal(request));
        }

        restarts += 1;
        log::info!(
            request = request.id(),
            stage = failed.stage,
            ms = request.age().as_millis();
            "stages run again: an input is gone"
        );
        guard.release();
        guard.graph.restart();
    }

    expectation.record(host);
    Ok(StageOutputs {
        handles: handles(&guard.graph.outputs()),
        guard,
        released: false,
    })
}

/// Refuses a request whose stages can never all run.
fn refuse_unrunnable(request: &Request, fault: &str) -> Refusal {
    log::error!(
        request = request.id(),
        route = request.route.name.as_str(),
        pieces = format!("{:?}", request.call.pieces).as_str();
        "stages cannot run: {fault}"
    );
    refusal_for(request, Reason::StageFailed)
}

impl StageOutputs {
    /// Returns the failure domain that holds most of the outputs.
    pub fn domain(&self) -> Option<id::Domain> {
        outputs_domain(&self.guard.host, self.guard.graph.sized_outputs())
    }

    /// Releases the outputs before the drop, once an endpoint has read them.
    pub fn release(&mut self) {
        self.guard.release();
        self.released = true;
    }

    /// Runs the stages again if their outputs were released, so that another
    /// endpoint can read them.
    ///
    /// # Errors
    ///
    /// Returns the refusal if a stage failed.
    pub async fn renew(&mut self, host: &Rc<Host>, request: &Request) -> Result<(), Refusal> {
        if !self.released || request.route.stages.is_empty() {
            return Ok(());
        }

        let config = host
            .config()
            .ok_or_else(|| refusal_for(request, Reason::Configuration))?;
        log::info!(
            request = request.id(),
            ms = request.age().as_millis();
            "stages run again: their outputs were released"
        );
        *self = run(host, &config, request).await?;
        Ok(())
    }
}

/// A stage that failed.
struct StageFailure {
    backlog: Duration,
    failure: Failure,
    retry_after: Duration,
    stage: usize,
}

impl StageFailure {
    fn refusal(&self, request: &Request) -> Refusal {
        let reason = match self.failure {
            Failure::Overloaded => Reason::Overload,
            Failure::Late => Reason::Deadline,
            Failure::Unreachable => Reason::Unreachable,
            Failure::Cancelled | Failure::Failed | Failure::InputGone => Reason::StageFailed,
        };

        match refusal_for(request, reason) {
            Refusal::NotRun { reason, .. } => Refusal::NotRun {
                reason,
                retry_after: self.retry_after,
            },
            refusal => refusal,
        }
    }
}

/// Runs the stages until all are done, one fails or no other one can start.
async fn run_once(
    host: &Rc<Host>,
    config: &Config,
    request: &Request,
    guard: &mut OutputGuard,
    domain: Option<&id::Domain>,
) -> Result<(), StageFailure> {
    let mut running = FuturesUnordered::new();
    let mut first = true;

    loop {
        for start in guard.graph.start() {
            let job = build_job(host, config, request, &guard.graph, &start, first, domain);
            let stage = start.stage;
            let host = Rc::clone(host);
            let step = request.timeline.begin(format!(
                "{stage} {} x{}",
                job.service.as_str(),
                start.pieces
            ));
            running.push(async move { (stage, step, dispatch::run(&host, job).await) });
        }

        first = false;
        let Some((stage, step, outcome)) = running.next().await else {
            return Ok(());
        };
        record_step(host, request, step, &outcome);
        let service = &request.route.stages[stage].service;
        host.backlogs
            .record_outcome(service, request.priority, &outcome);
        finish(host, request, guard, stage, outcome)?;
    }
}

fn record_step(host: &Host, request: &Request, step: usize, outcome: &Outcome) {
    let view = host.view();
    let entries = outcome.outputs.iter();
    let entries = entries.filter_map(|output| view.roster.get(&output.endpoint));
    request.timeline.end(
        step,
        outcome.failure.map_or("done", Failure::name),
        timeline::count_domains(entries.map(|entry| &entry.domain)),
    );
}

fn finish(
    host: &Rc<Host>,
    request: &Request,
    guard: &mut OutputGuard,
    stage: usize,
    outcome: Outcome,
) -> Result<(), StageFailure> {
    if let Some(failure) = outcome.failure {
        return Err(StageFailure {
            backlog: outcome.backlog,
            failure,
            retry_after: outcome.retry_after,
            stage,
        });
    }

    let service = request.route.stages[stage].service.as_str();
    host.tally.count("stages", &[("service", service)]);
    guard.graph.finish(stage, outcome.outputs);

    for (service, outputs) in guard.graph.take_consumed() {
        dispatch::release(host, &service, outputs);
    }

    Ok(())
}

fn build_job(
    host: &Host,
    config: &Config,
    request: &Request,
    graph: &Graph,
    start: &Start,
    first: bool,
    domain: Option<&id::Domain>,
) -> Job {
    let input = if start.inputs.is_empty() {
        Input::Key(request.call.piece_key.clone().unwrap_or_default())
    } else {
        Input::Outputs(handles(&start.inputs))
    };
    let path = graph.longest_path(start.stage);
    let inputs = start.inputs.iter().map(|output| (output, 1));
    Job {
        // Prefers the domain of the inputs: every piece reads all of them, and
        // they are larger than its output.
        domain: outputs_domain(host, inputs).or(domain.cloned()),
        first: first && !request.may_have_run.get(),
        id: host.next_job(),
        input,
        output_bytes: request.route.stages[start.stage].output_bytes,
        pieces: (0..).take(start.pieces).collect(),
        priority: request.priority,
        remaining: chain::latest_end(config, &path, time_to_start(host, request)),
        request: request.id().to_owned(),
        service: start.service.clone(),
        stage: u16::try_from(start.stage).unwrap_or(u16::MAX),
        team: request.team.clone(),
        urgency: latest_start(host, config, request, &path),
    }
}

/// Returns the time until the latest start of the first stage of a path at which the
/// request can meet its goal.
fn latest_start(
    host: &Host,
    config: &Config,
    request: &Request,
    path: &[(id::Pool, usize)],
) -> Duration {
    let time = request.time_to_goal();

    match host.settings().forecast {
        Scope::Stage => chain::latest_start(config, path, time),
        Scope::Chain => chain::latest_start_with(config, path, time, |service| {
            let backlog = host.backlogs.get(service, request.priority);
            backlog.unwrap_or_default()
        }),
    }
}

/// Returns the time within which the stages have to be done. On a stopping host an
/// endpoint also needs time for the request afterwards.
fn time_to_start(host: &Host, request: &Request) -> Duration {
    let time = request.time_to_respond();
    let stop = host.stop();
    stop.map_or(time, |stop| time.min(stop.until_last_start()))
}

/// Returns the domain of the engine that would be chosen for the request now.
fn target_domain(host: &Host, request: &Request) -> Option<id::Domain> {
    let view = host.view();
    let criteria = Criteria {
        domain: None,
        exclude: &[],
        session: request.session(),
    };
    let open = view.roster.open(&request.service);
    let entry = host
        .placement
        .borrow()
        .choose(boot_clock::now(), open, criteria)?
        .clone();
    Some(entry.domain.clone())
}

/// Returns the domain that holds most of the bytes of the outputs.
fn outputs_domain<'a>(
    host: &Host,
    outputs: impl Iterator<Item = (&'a Output, u64)>,
) -> Option<id::Domain> {
    let view = host.view();
    let mut domains = BTreeMap::<&id::Domain, u64>::new();

    for (output, bytes) in outputs {
        if let Some(entry) = view.roster.get(&output.endpoint) {
            *domains.entry(&entry.domain).or_default() += bytes;
        }
    }

    let (domain, _) = domains.into_iter().max_by_key(|(_, bytes)| *bytes)?;
    Some(domain.clone())
}
