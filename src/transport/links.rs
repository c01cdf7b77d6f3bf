//! RPC calls to other hosts.

mod jobs;

use {
    crate::{
        protocol::ticket::Ticket,
        state::{
            claims::witness::{Subject, WitnessAnswer},
            fleet::gossip::Message,
        },
        transport::{
            error::{BrokenSnafu, ConnectSnafu, Error, TimeoutSnafu},
            fleet_key::FleetKey,
            link::{Link, Reply, SendCall},
            link_server,
            peer_call::PeerCall,
            peer_capnp::peer,
            wire,
        },
    },
    futures::future::LocalBoxFuture,
    std::{
        collections::HashMap,
        fmt,
        net::{SocketAddr, TcpListener},
        rc::Rc,
        sync::mpsc::{RecvTimeoutError, sync_channel},
        thread,
        time::Duration,
    },
    tokio::{
        runtime::Builder,
        sync::mpsc,
        task::{LocalSet, spawn_local},
        time::Instant,
    },
};

/// Maximum number of calls in the link thread's queue.
const QUEUE_CAPACITY: usize = 4096;

/// Number of links at which unused ones are removed before another is added.
/// Replaced hosts return with other addresses.
const LINK_PRUNE_THRESHOLD: usize = 4096;

/// Maximum number of threads that wait for replies to calls for settings
/// changes.
const MAX_BLOCKING_THREADS: usize = 4;

/// Time that is added to a timeout, so that the link thread can still report
/// the timeout, or a host that waits until its own time limit can still reply.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

struct Command {
    address: SocketAddr,
    run: Box<dyn FnOnce(Rc<Link>) -> LocalBoxFuture<'static, ()> + Send>,
}

/// A handle to the link thread, which maintains the connections to other hosts.
///
/// When the last handle is dropped, the thread ends and closes all connections.
#[derive(Clone)]
pub struct Links(mpsc::Sender<Command>);

impl fmt::Debug for Links {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Links")
    }
}

impl Links {
    /// Starts the link thread, which also accepts connections from other hosts
    /// on `listener` and passes their calls to `deliver`, which must not block.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(
        listener: TcpListener,
        fleet_key: &[u8],
        deliver: impl Fn(PeerCall) + Send + 'static,
    ) -> Result<Self, Error> {
        let address = listener.local_addr();
        let address = address.map_or_else(|error| error.to_string(), |address| address.to_string());
        let key = FleetKey::new(fleet_key);
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);

        thread::Builder::new()
            .name("links".into())
            .spawn(move || run(listener, &key, receiver, deliver))
            .map_err(|error| Error::Connect {
                address,
                message: error.to_string(),
            })?;

        Ok(Self(sender))
    }

    /// Returns a handle and the task that maintains the connections, for use on
    /// an existing [`LocalSet`]. The task ends when the last handle is dropped.
    pub fn attach<F: Fn(PeerCall) + 'static>(
        listener: TcpListener,
        fleet_key: &[u8],
        deliver: F,
    ) -> (Self, impl Future<Output = ()> + use<F>) {
        let key = FleetKey::new(fleet_key);
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        (Self(sender), serve(listener, key, receiver, deliver))
    }

    /// Asks the witness at `address` for permission to send the ticket's
    /// request.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrived in time, the connection broke, or
    /// the ticket has no witness.
    pub fn permit(
        &self,
        address: SocketAddr,
        ticket: &Ticket,
        nonce: u64,
        timeout: Duration,
    ) -> Result<WitnessAnswer, Error> {
        let subject = subject(address, ticket)?;

        self.call_blocking(address, timeout, move |peer| {
            Box::pin(async move {
                let mut request = peer.permit_request();
                request.get().set_nonce(nonce);
                wire::write_subject(request.get().init_subject(), &subject);
                let response = request.send().promise.await?;
                Ok(wire::read_witness_answer(response.get()?.get_verdict()?))
            })
        })
    }

    /// Asks the witness at `address` to void the ticket, so that its request
    /// never runs.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrived in time, the connection broke, or
    /// the ticket has no witness.
    pub fn void(
        &self,
        address: SocketAddr,
        ticket: &Ticket,
        timeout: Duration,
    ) -> Result<WitnessAnswer, Error> {
        let subject = subject(address, ticket)?;

        self.call_blocking(address, timeout, move |peer| {
            Box::pin(async move {
                let mut request = peer.void_request();
                wire::write_subject(request.get().init_subject(), &subject);
                let response = request.send().promise.await?;
                Ok(wire::read_witness_answer(response.get()?.get_verdict()?))
            })
        })
    }

    /// Fetches the settings changes after `version`, as JSON text.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrived in time, or the connection broke.
    pub fn changes_after(
        &self,
        address: SocketAddr,
        version: u64,
        timeout: Duration,
    ) -> Result<String, Error> {
        self.call_blocking(address, timeout, move |peer| {
            Box::pin(async move {
                let mut request = peer.changes_after_request();
                request.get().set_version(version);
                let response = request.send().promise.await?;
                Ok(response.get()?.get_changes()?.to_string()?)
            })
        })
    }

    /// Exchanges membership records with the host at `address`. Does not block;
    /// the reply is passed to `done` on the link thread.
    pub fn probe(
        &self,
        address: SocketAddr,
        message: Message,
        timeout: Duration,
        done: impl FnOnce(Result<Message, Error>) + Send + 'static,
    ) {
        self.submit(address, timeout, done, move |peer| {
            Box::pin(async move {
                let mut request = peer.probe_request();
                wire::write_message(request.get().init_message(), &message);
                let response = request.send().promise.await?;
                wire::read_message(response.get()?.get_message()?)
            })
        });
    }

    /// Asks the host at `address` whether it can reach `target`. Does not block;
    /// the reply is passed to `done` on the link thread.
    pub fn probe_for(
        &self,
        address: SocketAddr,
        target: SocketAddr,
        timeout: Duration,
        done: impl FnOnce(Result<bool, Error>) + Send + 'static,
    ) {
        self.submit(address, timeout, done, move |peer| {
            Box::pin(async move {
                let mut request = peer.probe_for_request();
                request.get().set_target(target.to_string());
                let response = request.send().promise.await?;
                Ok(response.get()?.get_reached())
            })
        });
    }

    fn call_blocking<T: Send + 'static>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        send: impl FnOnce(peer::Client) -> Reply<T> + Send + 'static,
    ) -> Result<T, Error> {
        let (sender, receiver) = sync_channel(1);
        let done = move |result| drop(sender.send(result));
        self.submit(address, timeout, done, send);

        receiver
            .recv_timeout(timeout + TIMEOUT_MARGIN)
            .unwrap_or_else(|error| match error {
                RecvTimeoutError::Disconnected => unavailable(address),
                RecvTimeoutError::Timeout => TimeoutSnafu {
                    address: address.to_string(),
                    millis: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
                }
                .fail(),
            })
    }

    fn submit<T: 'static>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        done: impl FnOnce(Result<T, Error>) + Send + 'static,
        send: impl FnOnce(peer::Client) -> Reply<T> + Send + 'static,
    ) {
        self.enqueue(address, timeout, done, SendCall::Once(Box::new(send)));
    }

    fn enqueue<T: 'static>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        done: impl FnOnce(Result<T, Error>) + Send + 'static,
        send: SendCall<T>,
    ) {
        let started = Instant::now();
        let Ok(slot) = self.0.try_reserve() else {
            return done(unavailable(address));
        };

        slot.send(Command {
            address,
            run: Box::new(move |link| {
                Box::pin(async move { done(link.call(started, timeout, send).await) })
            }),
        });
    }
}

fn run(
    listener: TcpListener,
    key: &FleetKey,
    commands: mpsc::Receiver<Command>,
    deliver: impl Fn(PeerCall) + 'static,
) {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(MAX_BLOCKING_THREADS)
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return log::error!("cannot start the link thread: {error}"),
    };

    let links = serve(listener, key.clone(), commands, deliver);
    LocalSet::new().block_on(&runtime, links);
    runtime.shutdown_background();
}

/// Accepts connections and executes calls until the last handle is dropped.
async fn serve(
    listener: TcpListener,
    key: FleetKey,
    mut commands: mpsc::Receiver<Command>,
    deliver: impl Fn(PeerCall) + 'static,
) {
    spawn_local(link_server::run(listener, key.clone(), Rc::new(deliver)));
    let mut links = HashMap::new();

    while let Some(Command { address, run }) = commands.recv().await {
        if links.len() >= LINK_PRUNE_THRESHOLD && !links.contains_key(&address) {
            links.retain(|_, link: &mut Rc<Link>| !link.is_unused());
        }

        let link = links
            .entry(address)
            .or_insert_with(|| Rc::new(Link::new(address, key.clone())));
        spawn_local(run(Rc::clone(link)));
    }
}

fn subject(address: SocketAddr, ticket: &Ticket) -> Result<Subject, Error> {
    match &ticket.witness {
        Some(witness) => Ok(Subject {
            host: witness.host.clone(),
            incarnation: witness.incarnation,
            request: ticket.request.clone(),
            stamp: witness.stamp,
        }),
        None => ConnectSnafu {
            address: address.to_string(),
            message: "the ticket names no witness",
        }
        .fail(),
    }
}

fn unavailable<T>(address: SocketAddr) -> Result<T, Error> {
    BrokenSnafu {
        address: address.to_string(),
        message: "the links' thread has stopped or has too many calls waiting",
    }
    .fail()
}
