//! Starts a host: the control thread, and the traffic thread with its
//! listeners.

use {
    crate::{
        coordination::{
            error::{Error, ListenSnafu, SignalsSnafu, ThreadSnafu},
            membership::Membership,
            serving::{
                auxiliary, balancing, callers,
                control::{self, Call, Control, Event, Options},
                drain,
                host::{self, Host},
                ingress, pools, releases,
                reload::{self, Follower, Source},
            },
        },
        protocol::{
            adapter::{Codec, Store},
            serving_file::File,
        },
        state::{
            clock::Time,
            fleet::member::{Member, Phase},
            id,
            serving::view::View,
        },
        transport::{
            http::server::{self, Connections, Limits, ListenerState},
            links::Links,
            peer_call::PeerCall,
            tally::Tally,
        },
    },
    signal_hook::{
        consts::{SIGHUP, SIGINT, SIGTERM},
        iterator::Signals,
    },
    snafu::ResultExt,
    std::{
        collections::BTreeMap,
        net::TcpListener,
        rc::Rc,
        sync::{
            Arc,
            mpsc::{self, Sender},
        },
        thread,
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::{
        runtime::Builder,
        sync::watch,
        task::{LocalSet, spawn_local},
    },
};

/// Maximum number of threads in the runtime's pool for blocking calls.
const BLOCKING_THREADS: usize = 1;

struct Listeners {
    callers: TcpListener,
    directory: TcpListener,
    metrics: Option<TcpListener>,
    peers: TcpListener,
    ready: TcpListener,
}

/// Takes over SIGHUP, SIGINT and SIGTERM, which are kept until [`run`] handles them.
/// The first statement of the process: until then a signal ends it without a
/// planned stop.
///
/// # Errors
///
/// Returns an error if a signal cannot be handled.
pub fn signals() -> Result<Signals, Error> {
    Signals::new([SIGHUP, SIGINT, SIGTERM]).context(SignalsSnafu)
}

/// Runs a host until its planned stop is complete.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a thread cannot be
/// started.
pub fn run(
    settings: File,
    source: Source,
    codec: Arc<dyn Codec>,
    store: Arc<dyn Store>,
    signals: Signals,
) -> Result<(), Error> {
    let settings = Arc::new(settings);
    let listeners = listen(&settings)?;
    let local = local_member(&settings);
    let (sender, events) = mpsc::channel();
    let (published, views) = watch::channel(Arc::new(Control::initial_view(local.clone())));
    let (leave, leaving) = watch::channel(false);
    let (published_settings, followed_settings) = watch::channel(Arc::clone(&settings));
    let (reload, reloads) = mpsc::channel();
    handle_signals(signals, sender.clone(), reload, leave)?;
    let follower = Follower::new(source, published_settings, sender.clone());
    spawn("settings", move || follower.run(&reloads))?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(BLOCKING_THREADS)
        .build()
        .context(ThreadSnafu)?;
    log::info!(
        host = settings.host.as_str(),
        incarnation = local.incarnation.0,
        callers = settings.addresses.callers.to_string().as_str(),
        peers = settings.addresses.peers.to_string().as_str();
        "started"
    );

    LocalSet::new().block_on(&runtime, async move {
        let (calls, receiver) = tokio::sync::mpsc::unbounded_channel();
        let control_events = sender.clone();
        let (links, connections) = Links::attach(
            listeners.peers,
            &settings.fleet_key,
            move |call| match control::classify(call) {
                // Both fail only while the process exits.
                Call::Control(event) => drop(control_events.send(*event)),
                Call::Traffic(call) => drop(calls.send(*call)),
            },
        );
        spawn_local(connections);
        let control = build_control(
            &settings,
            local,
            links.clone(),
            store,
            published,
            sender.clone(),
        );
        spawn("control", move || control.run(&events))?;
        let tally = Tally::default();
        let view = Arc::clone(&views.borrow());
        let host = Host::new(settings, codec, sender, links, view, tally);
        spawn_local(host::follow_views(Rc::clone(&host), views));
        spawn_local(host::follow_settings(Rc::clone(&host), followed_settings));
        spawn_local(callers::disconnect_idle(Rc::clone(&host)));
        spawn_local(serve_peer_calls(Rc::clone(&host), receiver));
        let connections = Connections::default();
        let (state_sender, listener_state) = watch::channel(ListenerState::Open);
        serve_callers(
            &host,
            listeners.callers,
            listener_state,
            connections.clone(),
        );
        auxiliary::serve(
            &host,
            listeners.directory,
            listeners.ready,
            listeners.metrics,
        );
        drain::run(&host, leaving, &state_sender, &connections).await;
        Ok(())
    })
}

fn build_control(
    settings: &File,
    local: Member,
    links: Links,
    store: Arc<dyn Store>,
    published: watch::Sender<Arc<View>>,
    sender: Sender<Event>,
) -> Control {
    let events = sender.clone();
    let peers = settings.peers.iter().copied();
    let own_address = settings.addresses.peers;
    let membership = Membership::new(
        peers.filter(|peer| *peer != own_address),
        links.clone(),
        Arc::new(move |event| drop(events.send(Event::Membership(event)))),
    );
    Control::new(
        local,
        membership,
        links,
        store,
        Options {
            cold: settings.cold,
            follow_evacuations: settings.follow_evacuations,
            watch_wait: settings.store.wait,
        },
        published,
        sender,
    )
}

fn listen(settings: &File) -> Result<Listeners, Error> {
    let addresses = &settings.addresses;
    let bind = |address| server::bind(address).map_err(crate::protocol::Error::from);

    Ok(Listeners {
        callers: bind(addresses.callers)?,
        directory: bind(addresses.directory)?,
        metrics: addresses.metrics.map(bind).transpose()?,
        peers: TcpListener::bind(addresses.peers_listen).context(ListenSnafu)?,
        ready: bind(addresses.ready)?,
    })
}

fn local_member(settings: &File) -> Member {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();

    Member {
        caller_address: settings.addresses.callers,
        capacity: settings.capacity,
        clock: Time::ZERO,
        demand: BTreeMap::new(),
        domain: settings.domain.clone(),
        endpoints: 0,
        era: 0,
        evacuations: 0,
        host: settings.host.clone(),
        incarnation: id::Incarnation(u64::try_from(time.as_micros()).unwrap_or(u64::MAX)),
        outstanding: 0,
        peer_address: settings.addresses.peers,
        phase: Phase::Alive,
        settings: 0,
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), Error> {
    let thread = thread::Builder::new().name(name.into());
    thread.spawn(run).map(drop).context(ThreadSnafu)
}

fn handle_signals(
    mut signals: Signals,
    control: Sender<Event>,
    reload: Sender<reload::Request>,
    leave: watch::Sender<bool>,
) -> Result<(), Error> {
    spawn("signals", move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                // Fails only while the process exits.
                drop(reload.send(reload::Request));
                continue;
            }

            log::info!(signal = signal; "leaving");
            // Both fail only while the process exits.
            drop(control.send(Event::Leave));
            leave.send_replace(true);
        }
    })
}

/// Serves the calls of other hosts that concern jobs.
async fn serve_peer_calls(
    host: Rc<Host>,
    mut calls: tokio::sync::mpsc::UnboundedReceiver<PeerCall>,
) {
    while let Some(call) = calls.recv().await {
        match call {
            PeerCall::CancelJob(id) => pools::cancel(&host, &id),
            PeerCall::PlacePrompt { prompt, reply } => {
                // Fails only if the asking host no longer waits.
                let _ = reply.send(balancing::place(&host, &prompt));
            }
            PeerCall::ReportPrompt {
                id,
                report,
                service,
            } => balancing::record(&host, &service, &id, report),
            PeerCall::ReleaseOutputs { outputs, service } => {
                releases::release(&host, &service, outputs);
            }
            PeerCall::RunJob { job, reply } => pools::submit(&host, job, reply),
            // Dropping the reply channel refuses the call.
            _ => {}
        }
    }
}

fn serve_callers(
    host: &Rc<Host>,
    listener: TcpListener,
    listener_state: watch::Receiver<ListenerState>,
    connections: Connections,
) {
    callers::bound_send_buffer(&host.settings(), &listener);
    let limits = Limits {
        bounds: Rc::clone(&host.caller_bounds),
        callers: Some(host.callers.clone()),
        connections: host.settings().connections,
    };
    let host = Rc::clone(host);
    spawn_local(server::run(
        listener,
        limits,
        listener_state,
        connections,
        move |request, _| ingress::handle(Rc::clone(&host), request),
    ));
}
