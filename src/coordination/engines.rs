//! Threads that read and write lease objects and send orders to engines.
//!
//! Lease objects are accessed by a separate thread, so that a slow engine
//! never delays a lease renewal.

use {
    crate::{
        coordination::{control, leases::Event},
        protocol::{
            object_api::{ObjectApi, WriteOutcome},
            order::{Answer, Engine, Kind, Order},
        },
        state::{
            clock::Time,
            endpoint::Endpoint,
            id,
            lease::{self, ORDER_TIMEOUT, Record, VersionedRecord, WriteResult},
            settings::rollout::{Next, Rollout},
        },
        transport::{
            boot_clock,
            client::{self, Client},
        },
    },
    log::{info, warn},
    std::{
        collections::BTreeMap,
        io,
        sync::mpsc::{Receiver, Sender, channel},
        thread,
        time::Duration,
    },
};

/// Timeout of a read of an engine's state.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Job for the lease and order threads.
#[derive(Debug)]
pub enum Job {
    Read {
        pool: id::Pool,
    },
    /// Compares a pool's engines with its settings and sends an order if one
    /// is due before `until`.
    Reconcile {
        engines: Vec<Endpoint>,
        model: String,
        pool: id::Pool,
        token: u64,
        until: Time,
    },
    Write {
        expected: Option<u64>,
        pool: id::Pool,
        record: Record,
    },
}

/// Starts the threads. They end when the sender of `jobs` is dropped.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub fn start(
    jobs: Receiver<Job>,
    store: ObjectApi,
    control: Sender<control::Event>,
) -> io::Result<()> {
    let (reconciles, received) = channel();
    let reply = control.clone();
    let mut orders = OrderSender {
        client: Client::new(),
        rollouts: BTreeMap::new(),
    };

    thread::Builder::new()
        .name("orders".into())
        .spawn(move || {
            for job in received {
                orders.run(job);
            }
        })?;

    thread::Builder::new()
        .name("leases".into())
        .spawn(move || {
            for job in jobs {
                match handle_lease_job(&store, job) {
                    LeaseJobResult::Done(event) => drop(reply.send(control::Event::Leases(event))),
                    LeaseJobResult::Order(job) => drop(reconciles.send((job, control.clone()))),
                }
            }
        })?;

    Ok(())
}

enum LeaseJobResult {
    Done(Event),
    Order(Job),
}

fn handle_lease_job(store: &ObjectApi, job: Job) -> LeaseJobResult {
    match job {
        Job::Read { pool } => LeaseJobResult::Done(Event::Lease {
            event: read(store, &pool),
            pool,
        }),
        Job::Reconcile { .. } => LeaseJobResult::Order(job),
        Job::Write {
            expected,
            pool,
            record,
        } => LeaseJobResult::Done(Event::Lease {
            event: lease::Event::Written(write(store, &pool, expected, &record)),
            pool,
        }),
    }
}

fn key(pool: &id::Pool) -> String {
    format!("leases/{pool}")
}

fn read(store: &ObjectApi, pool: &id::Pool) -> lease::Event {
    let object = match store.get(&key(pool)) {
        Ok(object) => object,
        Err(error) => {
            warn!(pool:% = pool; "cannot read the lease: {error}");
            return lease::Event::ReadFailed;
        }
    };

    let Some(object) = object else {
        return lease::Event::Read(None);
    };

    match serde_json::from_value(object.value) {
        Ok(record) => lease::Event::Read(Some(VersionedRecord {
            record,
            version: object.version,
        })),
        Err(error) => {
            warn!(pool:% = pool; "the lease object is invalid: {error}");
            lease::Event::ReadFailed
        }
    }
}

fn write(
    store: &ObjectApi,
    pool: &id::Pool,
    expected: Option<u64>,
    record: &Record,
) -> WriteResult {
    let write = match expected {
        None => store.create(&key(pool), record),
        Some(version) => store.update(&key(pool), record, version),
    };

    match write {
        WriteOutcome::Conflict { .. } => WriteResult::Lost,
        WriteOutcome::Done { version } => WriteResult::Done { version },
        // A refused write has changed nothing; the next read confirms it.
        WriteOutcome::Refused(error) | WriteOutcome::Unknown(error) => {
            warn!(pool:% = pool; "the outcome of the lease write is unknown: {error}");
            WriteResult::Unknown
        }
    }
}

#[derive(Debug)]
struct OrderSender {
    client: Client,
    rollouts: BTreeMap<id::Pool, Rollout>,
}

impl OrderSender {
    fn run(&mut self, (job, control): (Job, Sender<control::Event>)) {
        let Job::Reconcile {
            engines,
            model,
            pool,
            token,
            until,
        } = job
        else {
            return;
        };

        let loaded_models = self.loaded_models(&engines);
        let rollout = self.rollouts.entry(pool.clone()).or_default();

        if let Next::Order { engine, model } =
            rollout.next(boot_clock::now(), &model, &loaded_models)
            && let Some(engine) = engines.iter().find(|listed| listed.endpoint == engine)
        {
            self.send_order(engine, model, &pool, token, until);
        }

        let _ = control.send(control::Event::Leases(Event::Reconciled { pool }));
    }

    /// Returns the models that each engine has loaded. Omits engines that do
    /// not answer.
    fn loaded_models(&self, engines: &[Endpoint]) -> BTreeMap<id::Endpoint, Vec<String>> {
        engines
            .iter()
            .filter_map(|engine| Some((engine.endpoint.clone(), self.engine_state(engine)?.models)))
            .collect()
    }

    fn engine_state(&self, engine: &Endpoint) -> Option<Engine> {
        let address = engine.address;
        let response = self
            .client
            .get(address, "/v1/engine", &[], READ_TIMEOUT)
            .ok()?;
        let body = client::read_body(address, READ_TIMEOUT, response).ok()?;
        serde_json::from_slice(&body).ok()
    }

    fn send_order(
        &self,
        engine: &Endpoint,
        model: String,
        pool: &id::Pool,
        token: u64,
        until: Time,
    ) {
        let order = Order {
            kind: Kind::LoadModel,
            operation: format!("{pool}/{}/load_model/{model}", engine.endpoint),
            name: model,
            token,
        };
        let body = client::json(&order);

        // If the process is paused after this check, the order can still be
        // sent after the lease has expired. Engines that ignore the token then
        // apply it.
        if boot_clock::now() >= until {
            warn!(pool:% = pool; "the lease expired before the order to {} was sent", engine.endpoint);
            return;
        }

        let answer = self
            .client
            .post(engine.address, "/v1/orders", &[], &body, ORDER_TIMEOUT)
            .and_then(|response| client::read_body(engine.address, ORDER_TIMEOUT, response));

        match answer {
            Ok(body) => log_answer(engine, pool, &order, &body),
            Err(failure) => {
                let error = failure.into_error();
                warn!(pool:% = pool; "no answer to the order to {}: {error}", engine.endpoint);
            }
        }
    }
}

fn log_answer(engine: &Endpoint, pool: &id::Pool, order: &Order, body: &[u8]) {
    match serde_json::from_slice(body) {
        Ok(Answer { applied: true, .. }) => {
            info!(pool:% = pool, token = order.token; "{} loads {}", engine.endpoint, order.name);
        }
        Ok(Answer { token, .. }) => {
            warn!(pool:% = pool, token = order.token; "{} refused the order: it has already seen token {token}", engine.endpoint);
        }
        Err(error) => {
            warn!(pool:% = pool; "{} returned an invalid answer to the order: {error}", engine.endpoint)
        }
    }
}
