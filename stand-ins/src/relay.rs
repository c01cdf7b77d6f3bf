//! A TCP relay that disturbs the link between two processes.

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

/// Time between two looks at the state of an idle link.
const LOOK: Duration = Duration::from_millis(100);

/// Time between two looks while bytes are held back.
const HELD_LOOK: Duration = Duration::from_millis(5);

/// Which bytes a silent link holds back.
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
    silence: Option<Direction>,
    stopping: bool,
}

/// One joined connection.
#[derive(Debug)]
struct Joined {
    far: TcpStream,
    near: TcpStream,
    /// Bytes are taken and thrown away, as behind a firewall that forgot the
    /// connection.
    forgotten: AtomicBool,
    reset: AtomicBool,
}

/// A relay from its own address to a target.
pub struct Relay {
    address: SocketAddr,
    open: Arc<Mutex<Vec<Arc<Joined>>>>,
    state: Arc<Mutex<State>>,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl Relay {
    /// Starts a relay on a free loopback port. Without a target it refuses
    /// connections until [`Relay::set_target`] sets one.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be listened on.
    pub fn start(target: Option<SocketAddr>) -> Result<Self, Error> {
        let address = ANY_PORT;
        let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
        let relay = Self {
            address: listener.local_addr().context(ListenSnafu { address })?,
            open: Arc::default(),
            state: Arc::default(),
            target: Arc::new(Mutex::new(target)),
        };
        let open = Arc::clone(&relay.open);
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
                    // A target that cannot be reached closes the connection.
                    let _ = join(stream, target, &open, &state);
                }
            }
        });

        Ok(relay)
    }

    /// Returns the address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.target) = Some(target);
    }

    /// Cuts every connection and closes new ones at once.
    pub fn cut(&self) {
        lock(&self.state).cut = true;

        for joined in lock(&self.open).drain(..) {
            joined.close();
        }
    }

    /// Holds bytes back, on open and on new connections.
    pub fn stall(&self, silence: Direction) {
        lock(&self.state).silence = Some(silence);
    }

    /// Passes bytes on later.
    pub fn delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Resets every open connection; new ones go through.
    pub fn reset(&self) {
        for joined in lock(&self.open).drain(..) {
            joined.reset.store(true, Ordering::SeqCst);
        }
    }

    /// Lets every open connection go silent for good, without a reset; new
    /// ones go through.
    pub fn blackhole(&self) {
        for joined in lock(&self.open).iter() {
            joined.forgotten.store(true, Ordering::SeqCst);
        }
    }

    /// Ends what [`Relay::cut`], [`Relay::stall`] and [`Relay::delay`]
    /// began.
    pub fn restore(&self) {
        let mut state = lock(&self.state);
        state.cut = false;
        state.delay = Duration::ZERO;
        state.silence = None;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        lock(&self.state).stopping = true;
        self.cut();
        // Wakes the accepting thread, which then sees that it is to stop.
        let _ = TcpStream::connect(self.address);
    }
}

impl Joined {
    fn close(&self) {
        let _ = self.near.shutdown(Shutdown::Both);
        let _ = self.far.shutdown(Shutdown::Both);
    }
}

fn join(
    near: TcpStream,
    target: SocketAddr,
    open: &Mutex<Vec<Arc<Joined>>>,
    state: &Arc<Mutex<State>>,
) -> io::Result<()> {
    let far = TcpStream::connect(target)?;

    for stream in [&near, &far] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LOOK))?;
    }

    let joined = Arc::new(Joined {
        far,
        forgotten: AtomicBool::new(false),
        near,
        reset: AtomicBool::new(false),
    });
    let mut open = lock(open);
    open.retain(|joined| Arc::strong_count(joined) > 1);
    open.push(Arc::clone(&joined));

    for to_target in [true, false] {
        let joined = Arc::clone(&joined);
        let state = Arc::clone(state);
        thread::spawn(move || {
            if let Err(error) = copy(&joined, to_target, &state)
                && error.kind() == ErrorKind::ConnectionReset
            {
                // Without a time to linger, closing sends a reset.
                let _ = sockopt::set_socket_linger(&joined.near, Some(Duration::ZERO));
                let _ = sockopt::set_socket_linger(&joined.far, Some(Duration::ZERO));
            }
        });
    }

    Ok(())
}

fn copy(joined: &Joined, to_target: bool, state: &Mutex<State>) -> io::Result<()> {
    let (mut from, mut to) = if to_target {
        (&joined.near, &joined.far)
    } else {
        (&joined.far, &joined.near)
    };
    let mut buffer = [0; 16 * 1024];

    loop {
        if joined.reset.load(Ordering::SeqCst) {
            return Err(ErrorKind::ConnectionReset.into());
        }

        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                continue;
            }
            Err(_) => break,
        };

        if joined.forgotten.load(Ordering::SeqCst) {
            continue;
        }

        pass(joined, to_target, state);

        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }

    if !joined.forgotten.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Write);
    }

    Ok(())
}

/// Waits until bytes may be passed on.
fn pass(joined: &Joined, to_target: bool, state: &Mutex<State>) {
    let own = if to_target {
        Direction::ToTarget
    } else {
        Direction::ToCaller
    };

    loop {
        let State {
            cut,
            delay,
            silence,
            ..
        } = *lock(state);
        let held = silence.is_some_and(|silence| silence == Direction::Both || silence == own);

        if !held || cut || joined.reset.load(Ordering::SeqCst) {
            return thread::sleep(delay);
        }

        thread::sleep(HELD_LOOK);
    }
}
