//! An HTTP server that runs a thread for each connection.

use {
    crate::{
        error::{Error, ListenSnafu},
        http::{Flow, Reply, Request},
    },
    snafu::ResultExt,
    std::{
        collections::HashMap,
        io::{BufReader, BufWriter},
        net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
    },
};

/// Loopback address with port 0, which selects a free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Locks a mutex, ignoring poisoning: the state stays usable after a handler's
/// panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Returns the reply to a request.
    fn handle(&self, request: Request) -> Reply;
}

#[derive(Default)]
struct Connections {
    next: u64,
    open: HashMap<u64, TcpStream>,
}

/// A running server. Dropping it stops the server and closes its connections:
/// first the port, so that a client that sees the end of its connection finds the
/// port closed.
pub struct Server {
    accepting: Option<JoinHandle<()>>,
    address: SocketAddr,
    connections: Arc<Mutex<Connections>>,
    stopping: Arc<AtomicBool>,
}

impl Server {
    /// Listens on `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns an error when the server cannot listen on the address.
    pub fn start(address: SocketAddr, handler: Arc<impl Handler>) -> Result<Self, Error> {
        let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let connections = Arc::<Mutex<Connections>>::default();
        let stopping = Arc::<AtomicBool>::default();

        let accepting = thread::spawn({
            let connections = Arc::clone(&connections);
            let stopping = Arc::clone(&stopping);

            move || {
                for stream in listener.incoming() {
                    if stopping.load(Ordering::SeqCst) {
                        return;
                    }

                    if let Ok(stream) = stream {
                        accept(stream, &connections, Arc::clone(&handler));
                    }
                }
            }
        });

        Ok(Self {
            accepting: Some(accepting),
            address,
            connections,
            stopping,
        })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then checks the stop flag.
        let _ = TcpStream::connect(self.address);

        if let Some(accepting) = self.accepting.take() {
            // Fails only after a panic, which the thread has reported.
            let _ = accepting.join();
        }

        for stream in lock(&self.connections).open.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn accept(stream: TcpStream, connections: &Arc<Mutex<Connections>>, handler: Arc<impl Handler>) {
    let Ok(copy) = stream.try_clone() else {
        return;
    };

    let id = {
        let mut connections = lock(connections);
        connections.next += 1;
        let id = connections.next;
        connections.open.insert(id, copy);
        id
    };

    let connections = Arc::clone(connections);

    thread::spawn(move || {
        serve(&stream, &*handler);
        let _ = stream.shutdown(Shutdown::Both);
        lock(&connections).open.remove(&id);
    });
}

fn serve(stream: &TcpStream, handler: &impl Handler) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    let mut writer = BufWriter::new(stream);

    while let Ok(Some(request)) = Request::read(&mut reader) {
        let closes = request
            .headers
            .get("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));

        match handler.handle(request).write(&mut writer) {
            Ok(Flow::Keep) if !closes => {}
            _ => return,
        }
    }
}
