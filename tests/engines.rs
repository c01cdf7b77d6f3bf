//! Tests of the orders that the holder of a pool's lease sends to engines. They
//! guard against orders of a host that no longer holds the lease, and against
//! engines that are left without their pool's model.

use {
    persimmoncleat::{
        coordination::{
            control,
            engines::{self, Job},
            leases::{Event, Leases},
        },
        protocol::object_api::ObjectApi,
        state::{
            clock::Time,
            endpoint::{Endpoint, Phase},
            fleet::member::{self, Member},
            id,
            policy::Policy,
            pool::{Fencing, Kind, Pool},
            view::View,
        },
        transport::{boot_clock, object_api::CallCounters},
    },
    stand_ins::{endpoint, object_api, orders},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
            mpsc::{Receiver, Sender, channel},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Longer than a lease and the delays that follow its expiry.
const LIMIT: Duration = Duration::from_secs(40);

const POOL: &str = "generate";

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn store() -> object_api::Handle {
    object_api::start(any_port()).expect("the object API starts")
}

fn engine(fencing: orders::Fencing) -> endpoint::Handle {
    let options = endpoint::Options {
        fencing,
        kind: endpoint::Kind::Engine,
        reports_load: true,
    };
    endpoint::start(any_port(), options).expect("the engine starts")
}

fn member(host: &str) -> Member {
    Member {
        caller_address: any_port(),
        capacity: 1,
        clock: Time::ZERO,
        demand: Default::default(),
        domain: "is-1".into(),
        endpoints: 0,
        era: 0,
        evacuations: 0,
        host: host.into(),
        incarnation: id::Incarnation(1),
        outstanding: 0,
        peer_address: any_port(),
        phase: member::Phase::Alive,
        settings: 1,
    }
}

fn policy(model: &str, fencing: Fencing) -> Policy {
    let pool = Pool {
        fencing,
        kind: Kind::Engine,
        model: Some(model.into()),
        ..Pool::default()
    };

    Policy {
        pools: [(POOL.into(), pool)].into(),
        version: 1,
        ..Policy::default()
    }
}

fn listed(engines: &[endpoint::Handle]) -> Vec<Endpoint> {
    engines
        .iter()
        .enumerate()
        .map(|(index, engine)| Endpoint {
            address: engine.address(),
            domain: "is-1".into(),
            endpoint: format!("engine-{index}").into(),
            phase: Phase::Live,
            pool: POOL.into(),
        })
        .collect()
}

fn models(engine: &endpoint::Handle) -> Vec<String> {
    let url = format!("{}/v1/engine", engine.url());
    let answer = stand_ins::client::send("GET", &url, &[], "", Duration::from_secs(2))
        .expect("the engine answers");
    let models = answer.json()["models"].clone();
    serde_json::from_value(models).expect("models are a list of names")
}

fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();

    while !condition() {
        assert!(started.elapsed() < LIMIT, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// A host whose control thread handles only the leases.
struct Host {
    events: Sender<control::Event>,
    paused: Arc<AtomicBool>,
}

impl Host {
    fn start(name: &str, other: &str, store: &object_api::Handle, view: &View) -> Self {
        let (jobs, received) = channel();
        let (events, incoming) = channel();
        let paused = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&paused);
        let mut view = view.clone();
        view.local = member(name);
        view.members = Arc::new(vec![member(other)]);
        let leases = Leases::new(&view, jobs);
        let store = ObjectApi::new(&store.url(), CallCounters::default());

        engines::start(received, store, events.clone()).expect("the threads start");
        thread::spawn(move || run_control_thread(leases, view, &incoming, &flag));
        Self { events, paused }
    }

    fn holds(&self) -> bool {
        let (reply, held) = channel();
        let event = control::Event::Leases(Event::Held(reply));
        self.events.send(event).expect("the host runs");
        held.recv_timeout(LIMIT)
            .is_ok_and(|pools| !pools.is_empty())
    }

    fn pause(&self, paused: bool) {
        self.paused.store(paused, Ordering::SeqCst);
    }
}

fn run_control_thread(
    mut leases: Leases,
    mut view: View,
    events: &Receiver<control::Event>,
    paused: &AtomicBool,
) {
    loop {
        if paused.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
            continue;
        }

        if let Ok(event) = events.recv_timeout(Duration::from_millis(10)) {
            match event {
                control::Event::Leases(event) => {
                    leases.handle(boot_clock::now(), event, &mut view);
                }
                _ => return,
            }
        }

        leases.tick(boot_clock::now(), &mut view);
    }
}

fn view(engines: &[endpoint::Handle], model: &str, fencing: Fencing) -> View {
    View {
        endpoints: Arc::new(listed(engines)),
        had_peers: false,
        last_peer_answer: None,
        last_store_answer: None,
        local: member("h1"),
        members: Arc::default(),
        policy: Arc::new(policy(model, fencing)),
    }
}

fn assert_every_engine_loads(engine_fencing: orders::Fencing, fencing: Fencing) {
    let store = store();
    let engines = [engine(engine_fencing), engine(engine_fencing)];
    let view = view(&engines, "almanac-7", fencing);
    let _first = Host::start("h1", "h2", &store, &view);
    let _second = Host::start("h2", "h1", &store, &view);

    wait("both engines have the model", || {
        engines.iter().all(|engine| models(engine) == ["almanac-7"])
    });
}

fn assert_paused_holder_is_replaced(engine_fencing: orders::Fencing, fencing: Fencing) {
    let store = store();
    let engines = [engine(engine_fencing)];
    let first = Host::start("h1", "h2", &store, &view(&engines, "almanac-7", fencing));
    wait("the first host holds the lease", || first.holds());

    first.pause(true);
    let second = Host::start("h2", "h1", &store, &view(&engines, "almanac-8", fencing));
    wait("the second host holds the lease", || second.holds());
    wait("the engine has the second host's model", || {
        models(&engines[0]).contains(&"almanac-8".to_string())
    });

    first.pause(false);
    assert!(!first.holds(), "the paused host still holds the lease");
    assert!(second.holds(), "the second host lost the lease");
}

macro_rules! with_fencing {
    ($($name:ident: $test:ident($engine:ident, $setting:ident),)*) => {
        $(
            #[test]
            fn $name() {
                $test(orders::Fencing::$engine, Fencing::$setting);
            }
        )*
    };
}

with_fencing! {
    engines_that_enforce_the_token_load_the_model: assert_every_engine_loads(Enforced, Enforced),
    engines_that_ignore_the_token_load_the_model: assert_every_engine_loads(Ignored, Ignored),
    paused_holder_is_replaced_where_the_token_is_enforced: assert_paused_holder_is_replaced(Enforced, Enforced),
    paused_holder_is_replaced_where_the_token_is_ignored: assert_paused_holder_is_replaced(Ignored, Ignored),
}

fn reconcile(engine: &endpoint::Handle, model: &str, token: u64, until: Time) {
    let (jobs, received) = channel();
    let (events, done) = channel();
    let store = ObjectApi::new("http://127.0.0.1:9", CallCounters::default());
    engines::start(received, store, events).expect("the threads start");

    jobs.send(Job::Reconcile {
        engines: listed(std::slice::from_ref(engine)),
        model: model.into(),
        pool: POOL.into(),
        token,
        until,
    })
    .expect("the thread runs");
    done.recv_timeout(LIMIT).expect("the reconciliation ends");
}

#[test]
fn order_with_a_stale_token_changes_nothing_where_the_token_is_enforced() {
    let engine = engine(orders::Fencing::Enforced);
    let until = boot_clock::now() + LIMIT;

    reconcile(&engine, "almanac-8", 7, until);
    reconcile(&engine, "almanac-7", 6, until);

    assert_eq!(models(&engine), ["almanac-8"]);
}

#[test]
fn order_is_not_sent_after_the_lease_expired() {
    let engine = engine(orders::Fencing::Ignored);

    reconcile(&engine, "almanac-7", 7, boot_clock::now());

    assert_eq!(models(&engine), [""; 0]);
}
