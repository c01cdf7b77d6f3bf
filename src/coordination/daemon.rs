//! Assembles and runs the daemon of one host.

use {
    crate::{
        coordination::{
            claims::Claims,
            control::{self, Control},
            discovery::Discovery,
            drain, engines,
            error::{Error, ListenSnafu, SignalsSnafu, ThreadSnafu},
            gateway::Gateway,
            gauges,
            leases::Leases,
            membership::Membership,
            observer::Observer,
            published_view::PublishedView,
            records::Records,
            routes::Routes,
            scheduling::Scheduling,
            settings::Settings,
            settings_worker,
            tickets::Tickets,
        },
        protocol::{self, daemon_file::File, object_api::ObjectApi},
        state::{
            fleet::member::{Member, Phase},
            id,
            scheduler::Scheduler,
            view::View,
        },
        transport::{
            boot_clock,
            client::Client,
            json_log,
            links::Links,
            metrics::Metrics,
            object_api::CallCounters,
            server::{self, Server},
        },
    },
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    snafu::ResultExt,
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc,
            mpsc::{self, Receiver, Sender},
        },
        thread,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Takes over SIGINT and SIGTERM, which are kept until [`run`] handles them. The
/// first statement of the process: until then a signal ends it without a planned
/// stop.
///
/// # Errors
///
/// Returns an error if a signal cannot be handled.
pub fn stop_signals() -> Result<Signals, Error> {
    Signals::new([SIGINT, SIGTERM]).context(SignalsSnafu)
}

/// Runs the daemon until its drain is complete.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or if a thread cannot be started.
pub fn run(file: File, signals: Signals) -> Result<(), Error> {
    let server = Server::bind(file.host.caller_address, server_limits(&file))
        .map_err(protocol::Error::from)?;
    let caller_address = server.address().map_err(protocol::Error::from)?;
    let peers = TcpListener::bind(file.host.peer_address).context(ListenSnafu)?;
    let peer_address = peers.local_addr().context(ListenSnafu)?;
    let (control, events) = mpsc::channel();
    let links = links(&file, peers, control.clone())?;
    let view = view(&file, caller_address, peer_address);
    let gateway = Arc::new(gateway(&file, &view, links, control)?);
    let in_flight = server.in_flight();

    handle_signals(&gateway, signals);
    start_control(&file, view, &gateway, events)?;
    gauges::start(Arc::clone(&gateway)).context(ThreadSnafu)?;
    start_discovery(&file, &gateway)?;
    log::info!(
        caller_address = caller_address.to_string().as_str(),
        peer_address = peer_address.to_string().as_str();
        "listening"
    );
    let routes = Arc::new(Routes(Arc::clone(&gateway)));
    thread::spawn(move || server.run(routes));
    drain::wait(&gateway, || in_flight.count());
    log::info!("stopped");
    Ok(())
}

fn links(
    file: &File,
    listener: TcpListener,
    control: Sender<control::Event>,
) -> Result<Links, Error> {
    let links = Links::start(listener, file.keys.fleet.as_bytes(), move |call| {
        if let Some(event) = control::Event::from_call(call) {
            // The send fails only after the control thread has stopped.
            let _ = control.send(event);
        }
    });
    Ok(links.map_err(protocol::Error::from)?)
}

fn gateway(
    file: &File,
    view: &View,
    links: Links,
    control: Sender<control::Event>,
) -> Result<Gateway, Error> {
    let metrics = Metrics::new(file.statsd).map_err(protocol::Error::from)?;

    Ok(Gateway {
        calls: CallCounters::default(),
        client: Client::new(),
        control,
        limits: file.limits.clone(),
        links,
        observer: Observer::new(metrics),
        operator: file.keys.operator.clone(),
        published: PublishedView::new(view.clone()),
        records: Records::new(file.limits.requests, file.limits.answer_retention),
        tickets: Tickets::new(file.keys.fleet.as_bytes()),
    })
}

/// Starts the control thread and the threads that perform its I/O.
fn start_control(
    file: &File,
    view: View,
    gateway: &Gateway,
    events: Receiver<control::Event>,
) -> Result<(), Error> {
    let control = || gateway.control.clone();
    let links = || gateway.links.clone();
    let (lease_jobs, leases) = mpsc::channel();
    let (settings_jobs, settings) = mpsc::channel();
    let seed = view.local.incarnation.0;
    let control_state = Control {
        claims: Claims::new(&view, file.limits.witness_records),
        leases: Leases::new(&view, lease_jobs),
        membership: Membership::new(file.host.peers.iter().copied(), links(), {
            let control = control();
            Arc::new(move |event| drop(control.send(control::Event::Membership(event))))
        }),
        published: gateway.published.clone(),
        scheduling: Scheduling::new(Scheduler::new(file.host.domain.clone(), seed)),
        settings: Settings::new(&view, settings_jobs),
        view,
    };
    let thread = thread::Builder::new()
        .name("control".into())
        .spawn(move || control_state.run(&events))
        .context(ThreadSnafu)?;
    let store = object_api(file, gateway.calls.clone());

    thread::spawn(move || exit_after(thread));
    settings_worker::start(settings, store.clone(), links(), control()).context(ThreadSnafu)?;
    engines::start(leases, store, control()).context(ThreadSnafu)
}

fn start_discovery(file: &File, gateway: &Gateway) -> Result<(), Error> {
    Discovery::new(
        file.host.id.clone(),
        file.platform.host_list,
        gateway.published.clone(),
        gateway.control.clone(),
    )
    .start()
    .context(ThreadSnafu)
}

fn object_api(file: &File, calls: CallCounters) -> ObjectApi {
    let address = format!("http://{}", file.platform.object_api);
    ObjectApi::new(&address, calls)
}

fn server_limits(file: &File) -> server::Limits {
    server::Limits {
        body_bytes: file.limits.body_bytes,
        connections: file.limits.connections,
        header_bytes: file.limits.header_bytes,
        read_timeout: file.limits.read_timeout,
    }
}

fn view(file: &File, caller_address: SocketAddr, peer_address: SocketAddr) -> View {
    let local = Member {
        caller_address,
        capacity: 1,
        clock: boot_clock::now(),
        demand: BTreeMap::new(),
        domain: file.host.domain.clone(),
        endpoints: 0,
        era: 0,
        evacuations: 0,
        host: file.host.id.clone(),
        incarnation: incarnation(),
        outstanding: 0,
        peer_address,
        phase: Phase::Alive,
        settings: 0,
    };

    View {
        endpoints: Arc::default(),
        had_peers: false,
        last_peer_answer: None,
        last_store_answer: None,
        local,
        members: Arc::default(),
        policy: Arc::default(),
    }
}

/// Returns a new incarnation: the wall-clock time in microseconds.
fn incarnation() -> id::Incarnation {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    id::Incarnation(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
}

/// Exits the process when the control thread ends. No request can run without
/// it, and a new process starts with a clean state.
fn exit_after(control: thread::JoinHandle<()>) {
    let _ = control.join();
    log::error!("the control thread has stopped");
    json_log::exit(1);
}

/// Handles SIGINT and SIGTERM: the first signal starts the drain, the second
/// one exits the process at once.
fn handle_signals(gateway: &Arc<Gateway>, mut signals: Signals) {
    let gateway = Arc::clone(gateway);

    thread::spawn(move || {
        let mut signals = signals.forever();
        signals.next();
        drain::leave(&gateway);
        signals.next();
        drain::log_abandoned(&gateway);
        json_log::exit(1);
    });
}
