//! Accepts callers' connections and passes their requests on.
//!
//! The future of a request is dropped when its caller closes the connection,
//! which ends everything that runs for it.

use {
    crate::transport::{
        error::{Error, ListenSnafu},
        http::body::Body,
    },
    hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
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

/// Pause after a failed accept, for example when no descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Connections that the kernel queues for `accept`. A burst of new callers
/// arrives within one turn of a busy host.
const BACKLOG: i32 = 1024;

/// How long a connection may be idle beyond the limit that callers know, so
/// that the caller closes it first.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Bounds of callers' connections.
#[derive(Clone, Debug)]
pub struct Limits {
    pub connections: usize,
    pub header_bytes: usize,
    pub idle_timeout: Duration,
}

/// Open connections of one listener.
#[derive(Clone, Debug, Default)]
pub struct Open(Rc<Cell<usize>>);

impl Open {
    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.0.get()
    }
}

/// Binds a listener.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind(address: SocketAddr) -> Result<StdListener, Error> {
    let listener = StdListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        // A second `listen` only changes the length of the queue.
        rustix::net::listen(&listener, BACKLOG)?;
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

/// Accepts connections until the task is dropped. Once `closing` is true,
/// connections close after the request that they carry.
pub async fn run<F>(
    listener: StdListener,
    limits: Limits,
    closing: watch::Receiver<bool>,
    open: Open,
    handler: impl Fn(Request<Incoming>, SocketAddr) -> F + Clone + 'static,
) where
    F: Future<Output = Response<Body>> + 'static,
{
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return log::error!("cannot accept connections: {error}"),
    };

    loop {
        match listener.accept().await {
            Ok((stream, peer)) if open.count() < limits.connections => {
                let guard = Guard::new(&open);
                let closing = closing.clone();
                let limits = limits.clone();
                let handler = handler.clone();
                spawn_local(async move {
                    serve(stream, peer, limits, closing, handler).await;
                    drop(guard);
                });
            }
            Ok((_, peer)) => log::warn!(
                peer = peer.to_string().as_str(),
                open = open.count();
                "connection refused: too many are open"
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
    mut closing: watch::Receiver<bool>,
    handler: impl Fn(Request<Incoming>, SocketAddr) -> F + 'static,
) where
    F: Future<Output = Response<Body>> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set up a connection: {error}");
    }

    let service = service_fn(|request| {
        let answer = handler(request, peer);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
        .max_buf_size(limits.header_bytes.max(8192));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));

    let result = tokio::select! {
        result = connection.as_mut() => result,
        Ok(_) = closing.wait_for(|closing| *closing) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };

    if let Err(error) = result {
        log::debug!(peer = peer.to_string().as_str(); "connection ended: {error}");
    }
}

struct Guard(Open);

impl Guard {
    fn new(open: &Open) -> Self {
        open.0.set(open.0.get() + 1);
        Self(open.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get().saturating_sub(1));
    }
}
