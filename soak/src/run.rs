//! Runs one seed: generates load, injects the planned faults and checks the
//! guarantees meanwhile.

use {
    crate::{
        callers::{Caller, Shared},
        environment::Environment,
        graph::Graph,
        oracle::{Observations, Violation, WorkerRecord},
        plan::{self, Parameters, Step},
        record::{End, Record, Route},
    },
    stand_ins::{platform::host::Addresses, server::lock},
    std::{
        collections::BTreeMap,
        path::PathBuf,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// Interval at which due steps and the state of the processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two checks of all guarantees.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the last fault within which the fleet must recover.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Maximum number of attempts until a request succeeds after every host has
/// become ready.
const RECOVERY_ATTEMPTS: usize = 10;

/// Maximum time for open requests to end when the load stops.
const DRAIN_LIMIT: Duration = Duration::from_secs(14);

/// Configuration of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub binary: PathBuf,
    pub callers: u64,
    pub folder: PathBuf,
    pub parameters: Parameters,
}

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Number of requests by route and by how they ended.
    pub ends: BTreeMap<String, usize>,
    pub logs: Vec<PathBuf>,
    pub steps: Vec<Step>,
    pub violation: Option<Violation>,
}

struct Load {
    callers: Vec<JoinHandle<()>>,
    shared: Arc<Shared>,
}

/// Runs a seed until the plan is complete, a guarantee is violated, or
/// `interrupted` is set.
pub fn run_seed(setup: &Setup, interrupted: &AtomicBool) -> Outcome {
    let record = Arc::new(Mutex::new(Record::new()));
    let parameters = &setup.parameters;
    let mut environment = Environment::start(
        &setup.binary,
        &setup.folder,
        parameters,
        Arc::clone(&record),
    );
    let load = Load::start(&environment.addresses(), &record, setup);
    let steps = plan::steps(parameters);
    let result = inject_faults(&mut environment, &record, &steps, interrupted)
        .and_then(|()| await_recovery(&mut environment, &load, &record, interrupted));
    load.stop();
    let result = result.and_then(|()| check(&environment, &record));

    Outcome {
        ends: count_ends(&lock(&record)),
        logs: environment.logs(),
        steps,
        violation: result.err(),
    }
}

/// Applies the steps of the plan and checks the guarantees meanwhile.
fn inject_faults(
    environment: &mut Environment,
    record: &Mutex<Record>,
    steps: &[Step],
    interrupted: &AtomicBool,
) -> Result<(), Violation> {
    let started = Instant::now();
    let mut checked = started;

    for step in steps {
        while started.elapsed() < step.at {
            if interrupted.load(Ordering::SeqCst) {
                return Ok(());
            }

            thread::sleep(POLL_INTERVAL);
            supervise(environment)?;

            if checked.elapsed() >= CHECK_INTERVAL {
                checked = Instant::now();
                check(environment, record)?;
            }
        }

        environment.apply(step);
    }

    Ok(())
}

/// Waits until every host is ready, then checks that every host serves every
/// route.
fn await_recovery(
    environment: &mut Environment,
    load: &Load,
    record: &Mutex<Record>,
    interrupted: &AtomicBool,
) -> Result<(), Violation> {
    let recovery_started = Instant::now();

    while !environment.is_ready() {
        if interrupted.load(Ordering::SeqCst) {
            return Ok(());
        }

        if recovery_started.elapsed() > RECOVERY_LIMIT {
            return Err(not_recovered(format!(
                "not ready {RECOVERY_LIMIT:?} after the last fault: {}",
                environment.unready_hosts().join(", ")
            )));
        }

        thread::sleep(POLL_INTERVAL);
        supervise(environment)?;
    }

    for addresses in environment.addresses() {
        for route in Route::ALL {
            expect_served(load, &addresses, route)?;
        }
    }

    check(environment, record)
}

fn expect_served(load: &Load, addresses: &Addresses, route: Route) -> Result<(), Violation> {
    let mut caller = Caller::new(Arc::clone(&load.shared), 0);
    let mut last = None;

    for _ in 0..RECOVERY_ATTEMPTS {
        last = caller.call(addresses.callers, route);

        if matches!(last, Some(End::Answered { status: 200, .. })) {
            return Ok(());
        }

        thread::sleep(RECOVERY_LIMIT / RECOVERY_ATTEMPTS as u32 / Route::ALL.len() as u32);
    }

    let (name, host) = (route.name(), addresses.callers);
    Err(not_recovered(format!(
        "{name} is not served at {host} after the last fault: {last:?}"
    )))
}

fn not_recovered(detail: String) -> Violation {
    Violation {
        detail,
        guarantee: "the fleet recovers",
        request: None,
    }
}

fn supervise(environment: &mut Environment) -> Result<(), Violation> {
    environment.supervise().map_err(|detail| Violation {
        detail,
        guarantee: "a process exits only when it is asked to",
        request: None,
    })
}

fn check(environment: &Environment, record: &Mutex<Record>) -> Result<(), Violation> {
    // Callers record a request before they send it. Reading their record after
    // those of the workers ensures that it contains every request that ran.
    let workers = environment
        .linked_workers
        .iter()
        .map(|linked| WorkerRecord {
            pieces: linked.worker.pieces(),
            runs: linked.worker.runs(),
            service: linked.service,
        });
    let workers = workers.collect::<Vec<WorkerRecord>>();
    let record = lock(record);
    let observations = Observations {
        graph: environment.graph,
        record: &record,
        workers: &workers,
    };
    observations.check()
}

fn count_ends(record: &Record) -> BTreeMap<String, usize> {
    let mut ends = BTreeMap::new();

    for attempt in record.attempts.values() {
        let end = match &attempt.end {
            Some((_, End::Answered { status, .. })) => status.to_string(),
            Some((_, End::Cut { .. })) => "cut".into(),
            Some((_, End::Left)) => "left".into(),
            Some((_, End::NoAnswer(_))) => "no answer".into(),
            None => "open".into(),
        };
        *ends
            .entry(format!("{} {end}", attempt.route.name()))
            .or_default() += 1;
    }

    ends
}

impl Load {
    fn start(addresses: &[Addresses], record: &Arc<Mutex<Record>>, setup: &Setup) -> Self {
        let hosts = addresses.iter().enumerate();
        let shared = Arc::new(Shared {
            graph: Graph::of_seed(setup.parameters.seed),
            directories: addresses.iter().map(|a| a.directory).collect(),
            hosts: hosts.map(|(number, a)| (a.callers, number)).collect(),
            next_id: AtomicU64::new(1),
            record: Arc::clone(record),
            stopping: AtomicBool::new(false),
        });
        let callers = (0..setup.callers).map(|number| {
            let caller = Caller::new(Arc::clone(&shared), setup.parameters.seed ^ (number + 1));
            thread::spawn(move || caller.run())
        });

        Self {
            callers: callers.collect(),
            shared,
        }
    }

    /// Stops the callers and waits until their open requests end.
    fn stop(self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        let started = Instant::now();

        while started.elapsed() < DRAIN_LIMIT
            && self.callers.iter().any(|caller| !caller.is_finished())
        {
            thread::sleep(POLL_INTERVAL);
        }
    }
}
