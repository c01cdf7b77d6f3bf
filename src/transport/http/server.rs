//! Accepts connections from callers and passes their requests to a handler.
//!
//! The future of a request is dropped when its caller closes the connection,
//! which cancels all work for the request.

use {
    crate::transport::{
        error::{Error, ListenSnafu},
        http::{
            body::{Body, GuardedBody},
            callers::{Callers, Watch},
            observed_stream::ObservedStream,
            timing::{Bounds, CloseReason, Timer, Work},
        },
    },
    hyper::{
        Request, Response,
        body::Incoming,
        header::{CONNECTION, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{
        cell::Cell,
        convert::Infallible,
        net::{SocketAddr, TcpListener as StdListener},
        pin::pin,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::spawn_local,
        time::sleep,
    },
};

/// Pause after a failed `accept`, for example when the process has no free file
/// descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Length of the kernel's accept queue. On a busy host a burst of new callers
/// can arrive within one iteration of the event loop.
const LISTEN_BACKLOG: i32 = 1024;

/// Additional buffer space in bytes for the request line, which the limit on
/// headers does not include.
const REQUEST_LINE_BYTES: usize = 4096;

/// Minimum buffer size in bytes that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Limits on a listener's connections. The bounds may change at any time.
#[derive(Clone, Debug)]
pub struct Limits {
    pub bounds: Rc<Cell<Bounds>>,
    /// Where the bytes that wait for callers are counted.
    pub callers: Option<Callers>,
    pub connections: usize,
}

/// State of a listener, which determines how its connections are handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListenerState {
    /// Connections are accepted and kept alive.
    Open,
    /// Requests are served, and each connection is closed after its response.
    Leaving,
    /// No connections are accepted, and idle connections are closed.
    Closing,
}

/// The open connections of a listener.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    busy: Work,
    open: Rc<Cell<usize>>,
}

impl Connections {
    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.open.get()
    }

    /// Returns the number of connections with a request in progress: from the first
    /// byte that was read of it to the last byte written of its answer.
    pub fn busy(&self) -> usize {
        self.busy.count()
    }
}

/// Binds a non-blocking listener to an address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind(address: SocketAddr) -> Result<StdListener, Error> {
    let listener = StdListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        // Calling `listen` again only changes the length of the accept queue.
        rustix::net::listen(&listener, LISTEN_BACKLOG)?;
        Ok(listener)
    });

    listener.map_err(|error| {
        ListenSnafu {
            address: address.to_string(),
            message: error.to_string(),
        }
        .build()
    })
}

/// Accepts connections until the task is dropped or the state is
/// [`ListenerState::Closing`].
pub async fn run<F>(
    listener: StdListener,
    limits: Limits,
    mut state: watch::Receiver<ListenerState>,
    connections: Connections,
    handler: impl Fn(Request<Incoming>, SocketAddr) -> F + Clone + 'static,
) where
    F: Future<Output = Response<Body>> + 'static,
{
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return log::error!("cannot accept connections: {error}"),
    };

    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Ok(_) = state.wait_for(|state| *state == ListenerState::Closing) => return,
        };

        match accepted {
            Ok((stream, peer)) if connections.count() < limits.connections => {
                let guard = ConnectionGuard::new(&connections);
                let state = state.clone();
                let limits = limits.clone();
                let handler = handler.clone();
                let timer = Timer::start(&connections.busy);
                spawn_local(async move {
                    serve(stream, peer, limits, state, timer, handler).await;
                    drop(guard);
                });
            }
            Ok((_, peer)) => log::warn!(
                peer = peer.to_string().as_str(),
                open = connections.count();
                "connection refused: too many open connections"
            ),
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    mut state: watch::Receiver<ListenerState>,
    timer: Timer,
    handler: impl Fn(Request<Incoming>, SocketAddr) -> F + 'static,
) where
    F: Future<Output = Response<Body>> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on a connection: {error}");
    }

    let caller = limits.callers.as_ref();
    let watch = Watch {
        connection: caller.map(|callers| Rc::new(callers.connect(peer))),
        timer: timer.clone(),
    };
    let current = state.clone();
    let service = service_fn(|request| {
        let serving = timer.start_request();
        let response = handler(request, peer);
        let state = current.clone();
        let connection = watch.connection.clone();
        async move {
            let mut response = response.await.map(|body| {
                let body = match connection {
                    Some(connection) => connection.begin_answer(body),
                    None => body,
                };
                GuardedBody::new(body, serving)
            });

            if *state.borrow() != ListenerState::Open {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }

            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None).max_buf_size(
        (limits.bounds.get().header_bytes + REQUEST_LINE_BYTES).max(MIN_BUFFER_BYTES),
    );
    let stream = TokioIo::new(ObservedStream::new(stream, watch.clone()));
    let mut connection = pin!(builder.serve_connection(stream, service));

    let result = tokio::select! {
        result = connection.as_mut() => result,
        expiry = timer.wait_for_expiry(&limits.bounds) => match expiry {
            // A graceful shutdown would wait for the rest of the request head.
            CloseReason::Head => {
                return log::info!(
                    peer = peer.to_string().as_str();
                    "connection closed: the head of a request did not arrive in time"
                );
            }
            CloseReason::Stalled => {
                return log::info!(
                    peer = peer.to_string().as_str();
                    "connection closed: the caller does not read its answer"
                );
            }
            CloseReason::Idle => {
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        },
        Ok(_) = state.wait_for(|state| *state == ListenerState::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
        // Whoever ends a connection also logs it.
        () = wait_for_end(&watch) => return,
    };

    if let Err(error) = result {
        log::debug!(peer = peer.to_string().as_str(); "connection ended: {error}");
    }
}

async fn wait_for_end(watch: &Watch) {
    match &watch.connection {
        Some(connection) => connection.ended().await,
        None => std::future::pending().await,
    }
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard(Connections);

impl ConnectionGuard {
    fn new(connections: &Connections) -> Self {
        connections.open.set(connections.open.get() + 1);
        Self(connections.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let open = &self.0.open;
        open.set(open.get().saturating_sub(1));
    }
}
