//! A TCP relay that injects faults into the link between two processes.

use {
    crate::{
        error::{Error, ListenSnafu},
        server::{ANY_PORT, lock},
    },
    rustix::net::sockopt,
    snafu::ResultExt,
    std::{
        io::{self, ErrorKind, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Longest time until a reader of an idle connection checks for a reset.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Pause between two checks of whether a stall has ended.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The direction of traffic that a stall holds back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    Both,
    ToCaller,
    ToTarget,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    cut: bool,
    delay: Duration,
    stall: Option<Direction>,
    stopping: bool,
}

/// A connection from a caller and the corresponding connection to the target.
#[derive(Debug)]
struct Connection {
    upstream: TcpStream,
    downstream: TcpStream,
    /// Whether received bytes are discarded, as by a firewall that has dropped
    /// the connection from its state table.
    blackholed: AtomicBool,
    reset: AtomicBool,
}

/// A relay from its own address to a target.
pub struct Relay {
    address: SocketAddr,
    connections: Arc<Mutex<Vec<Arc<Connection>>>>,
    state: Arc<Mutex<State>>,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl Relay {
    /// Starts a relay on a free loopback port. Without a target it closes
    /// new connections until [`Relay::set_target`] sets one.
    ///
    /// # Errors
    ///
    /// Returns an error when the relay cannot listen on a port.
    pub fn start(target: Option<SocketAddr>) -> Result<Self, Error> {
        let address = ANY_PORT;
        let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
        let relay = Self {
            address: listener.local_addr().context(ListenSnafu { address })?,
            connections: Arc::default(),
            state: Arc::default(),
            target: Arc::new(Mutex::new(target)),
        };
        let connections = Arc::clone(&relay.connections);
        let state = Arc::clone(&relay.state);
        let target = Arc::clone(&relay.target);

        thread::spawn(move || {
            for stream in listener.incoming() {
                let State { cut, stopping, .. } = *lock(&state);
                let target = *lock(&target);

                if stopping {
                    return;
                }

                if let (Ok(stream), Some(target), false) = (stream, target, cut) {
                    // If the target cannot be reached, dropping the stream closes
                    // the caller's connection.
                    let _ = connect(stream, target, &connections, &state);
                }
            }
        });

        Ok(relay)
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.target) = Some(target);
    }

    /// Closes every open connection, and new ones immediately.
    pub fn cut(&self) {
        lock(&self.state).cut = true;

        for connection in lock(&self.connections).drain(..) {
            connection.close();
        }
    }

    /// Holds back the bytes of a direction, on open and on new connections.
    pub fn stall(&self, direction: Direction) {
        lock(&self.state).stall = Some(direction);
    }

    /// Delays bytes in both directions, on open and on new connections.
    pub fn delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Resets every open connection. New connections are not affected.
    pub fn reset(&self) {
        for connection in lock(&self.connections).drain(..) {
            connection.reset.store(true, Ordering::SeqCst);
        }
    }

    /// Discards all further bytes of the open connections, without a reset. New
    /// connections are not affected.
    pub fn blackhole(&self) {
        for connection in lock(&self.connections).iter() {
            connection.blackholed.store(true, Ordering::SeqCst);
        }
    }

    /// Ends the effects of [`Relay::cut`], [`Relay::stall`] and
    /// [`Relay::delay`].
    pub fn restore(&self) {
        let mut state = lock(&self.state);
        state.cut = false;
        state.delay = Duration::ZERO;
        state.stall = None;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        lock(&self.state).stopping = true;
        self.cut();
        // Wakes the accepting thread, which then checks the stop flag.
        let _ = TcpStream::connect(self.address);
    }
}

impl Connection {
    fn close(&self) {
        let _ = self.downstream.shutdown(Shutdown::Both);
        let _ = self.upstream.shutdown(Shutdown::Both);
    }
}

fn connect(
    downstream: TcpStream,
    target: SocketAddr,
    connections: &Mutex<Vec<Arc<Connection>>>,
    state: &Arc<Mutex<State>>,
) -> io::Result<()> {
    let upstream = TcpStream::connect(target)?;

    for stream in [&downstream, &upstream] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
    }

    let connection = Arc::new(Connection {
        upstream,
        blackholed: AtomicBool::new(false),
        downstream,
        reset: AtomicBool::new(false),
    });
    let mut connections = lock(connections);
    connections.retain(|connection| Arc::strong_count(connection) > 1);
    connections.push(Arc::clone(&connection));

    for to_target in [true, false] {
        let connection = Arc::clone(&connection);
        let state = Arc::clone(state);
        thread::spawn(move || {
            if let Err(error) = copy(&connection, to_target, &state)
                && error.kind() == ErrorKind::ConnectionReset
            {
                // With a linger time of zero, closing the socket sends a reset.
                let _ = sockopt::set_socket_linger(&connection.downstream, Some(Duration::ZERO));
                let _ = sockopt::set_socket_linger(&connection.upstream, Some(Duration::ZERO));
            }
        });
    }

    Ok(())
}

fn copy(connection: &Connection, to_target: bool, state: &Mutex<State>) -> io::Result<()> {
    let (mut from, mut to) = if to_target {
        (&connection.downstream, &connection.upstream)
    } else {
        (&connection.upstream, &connection.downstream)
    };
    let mut buffer = [0; 16 * 1024];

    loop {
        if connection.reset.load(Ordering::SeqCst) {
            return Err(ErrorKind::ConnectionReset.into());
        }

        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) => match error.kind() {
                ErrorKind::Interrupted | ErrorKind::TimedOut | ErrorKind::WouldBlock => continue,
                _ => break,
            },
        };

        if connection.blackholed.load(Ordering::SeqCst) {
            continue;
        }

        wait_until_released(connection, to_target, state);

        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }

    if !connection.blackholed.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Write);
    }

    Ok(())
}

/// Waits until received bytes may be forwarded.
fn wait_until_released(connection: &Connection, to_target: bool, state: &Mutex<State>) {
    let direction = if to_target {
        Direction::ToTarget
    } else {
        Direction::ToCaller
    };

    loop {
        let State {
            cut, delay, stall, ..
        } = *lock(state);
        let held = stall.is_some_and(|stall| stall == Direction::Both || stall == direction);

        if !held || cut || connection.reset.load(Ordering::SeqCst) {
            return thread::sleep(delay);
        }

        thread::sleep(STALL_POLL_INTERVAL);
    }
}
