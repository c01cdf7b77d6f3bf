//! One run: the load, the plan, and the checks while both go on.

use {
    crate::{
        callers::{Caller, Shared},
        oracle::{Seen, Violation, Worked},
        plan::{self, Shape, Step},
        record::{End, Kind, Record},
        world::World,
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

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// Time between two checks of everything.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the last fault within which everything works again.
const RECOVERY: Duration = Duration::from_secs(12);

/// Times that a request may be refused or fail after everything was ready.
const RECOVERY_TRIES: usize = 10;

/// Time that the last requests may take to end.
const LAST_REQUESTS: Duration = Duration::from_secs(6);

/// What a run needs.
#[derive(Clone, Debug)]
pub struct Setup {
    pub binary: PathBuf,
    pub callers: u64,
    pub folder: PathBuf,
    pub shape: Shape,
}

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Ends of requests by route and status.
    pub ends: BTreeMap<String, usize>,
    pub logs: Vec<PathBuf>,
    pub steps: Vec<Step>,
    pub violation: Option<Violation>,
}

struct Load {
    callers: Vec<JoinHandle<()>>,
    shared: Arc<Shared>,
}

/// Plays a run, until its end, a violation, or `interrupted`.
pub fn play(setup: &Setup, interrupted: &AtomicBool) -> Outcome {
    let record = Arc::new(Mutex::new(Record::new()));
    let shape = &setup.shape;
    let mut world = World::start(
        &setup.binary,
        &setup.folder,
        shape.hosts,
        shape.workers,
        Arc::clone(&record),
    );
    let load = Load::start(&world.addresses(), &record, setup);
    let steps = plan::steps(shape);
    let result = disturb(&mut world, &record, &steps, interrupted)
        .and_then(|()| recover(&mut world, &load, &record, interrupted));
    load.stop();
    let result = result.and_then(|()| check(&world, &record));

    Outcome {
        ends: ends(&lock(&record)),
        logs: world.logs(),
        steps,
        violation: result.err(),
    }
}

/// Does the steps of the plan while the promises are checked.
fn disturb(
    world: &mut World,
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

            thread::sleep(TICK);
            watch(world)?;

            if checked.elapsed() >= CHECK_INTERVAL {
                checked = Instant::now();
                check(world, record)?;
            }
        }

        world.apply(step);
    }

    Ok(())
}

/// Waits until every host is ready, and every kind of request is served at
/// every host.
fn recover(
    world: &mut World,
    load: &Load,
    record: &Mutex<Record>,
    interrupted: &AtomicBool,
) -> Result<(), Violation> {
    let ended = Instant::now();

    while !world.is_ready() {
        if interrupted.load(Ordering::SeqCst) {
            return Ok(());
        }

        if ended.elapsed() > RECOVERY {
            return Err(fault(format!(
                "not ready {RECOVERY:?} after the last fault: {}",
                world.unready().join(", ")
            )));
        }

        thread::sleep(TICK);
        watch(world)?;
    }

    for addresses in world.addresses() {
        for kind in Kind::ALL {
            serves(load, &addresses, kind)?;
        }
    }

    check(world, record)
}

fn serves(load: &Load, addresses: &Addresses, kind: Kind) -> Result<(), Violation> {
    let mut caller = Caller::new(Arc::clone(&load.shared), 0);
    let mut last = None;

    for _ in 0..RECOVERY_TRIES {
        last = caller.call(addresses.callers, kind);

        if matches!(last, Some(End::Answered { status: 200, .. })) {
            return Ok(());
        }

        thread::sleep(RECOVERY / RECOVERY_TRIES as u32 / Kind::ALL.len() as u32);
    }

    let (name, host) = (kind.name(), addresses.callers);
    Err(fault(format!(
        "{name} is not served at {host} after the last fault: {last:?}"
    )))
}

fn fault(detail: String) -> Violation {
    Violation {
        detail,
        promise: "the fleet recovers",
        request: None,
    }
}

fn watch(world: &mut World) -> Result<(), Violation> {
    world.watch().map_err(|detail| Violation {
        detail,
        promise: "a process ends only when it is told to",
        request: None,
    })
}

fn check(world: &World, record: &Mutex<Record>) -> Result<(), Violation> {
    // The record is taken last: what a worker ran has been recorded by then.
    let worked = world.sites.iter().map(|site| Worked {
        pieces: site.worker.pieces(),
        runs: site.worker.runs(),
        service: site.service,
    });
    let worked = worked.collect::<Vec<Worked>>();
    let record = lock(record);
    let seen = Seen {
        record: &record,
        worked: &worked,
    };
    seen.check()
}

fn ends(record: &Record) -> BTreeMap<String, usize> {
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
            .entry(format!("{} {end}", attempt.kind.name()))
            .or_default() += 1;
    }

    ends
}

impl Load {
    fn start(addresses: &[Addresses], record: &Arc<Mutex<Record>>, setup: &Setup) -> Self {
        let hosts = addresses.iter().enumerate();
        let shared = Arc::new(Shared {
            directories: addresses.iter().map(|a| a.directory).collect(),
            hosts: hosts.map(|(number, a)| (a.callers, number)).collect(),
            next: AtomicU64::new(1),
            record: Arc::clone(record),
            stopping: AtomicBool::new(false),
        });
        let callers = (0..setup.callers).map(|number| {
            let caller = Caller::new(Arc::clone(&shared), setup.shape.seed ^ (number + 1));
            thread::spawn(move || caller.run())
        });

        Self {
            callers: callers.collect(),
            shared,
        }
    }

    /// Lets the last requests end.
    fn stop(self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        let started = Instant::now();

        while started.elapsed() < LAST_REQUESTS
            && self.callers.iter().any(|caller| !caller.is_finished())
        {
            thread::sleep(TICK);
        }
    }
}
