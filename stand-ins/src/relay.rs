//! A TCP relay with a switch, to cut the link between two processes.

use {
    crate::{
        error::{Error, ListenSnafu},
        server::{ANY_PORT, lock},
    },
    snafu::ResultExt,
    std::{
        io,
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
    },
};

/// A relay from its own address to a target.
pub struct Relay {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    stopping: Arc<AtomicBool>,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl Relay {
    /// Starts a relay on a free loopback port. Without a target it refuses
    /// connections until [`Relay::aim`] sets one.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be listened on.
    pub fn start(target: Option<SocketAddr>) -> Result<Self, Error> {
        let address = ANY_PORT;
        let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
        let relay = Self {
            address: listener.local_addr().context(ListenSnafu { address })?,
            cut: Arc::default(),
            open: Arc::default(),
            stopping: Arc::default(),
            target: Arc::new(Mutex::new(target)),
        };

        thread::spawn({
            let cut = Arc::clone(&relay.cut);
            let open = Arc::clone(&relay.open);
            let stopping = Arc::clone(&relay.stopping);
            let target = Arc::clone(&relay.target);

            move || {
                for stream in listener.incoming() {
                    if stopping.load(Ordering::SeqCst) {
                        return;
                    }

                    let target = *lock(&target);

                    if let (Ok(stream), Some(target), false) =
                        (stream, target, cut.load(Ordering::SeqCst))
                    {
                        let _ = join(&stream, target, &open);
                    }
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
    pub fn aim(&self, target: SocketAddr) {
        *lock(&self.target) = Some(target);
    }

    /// Cuts every connection and refuses new ones.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);

        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Lets new connections through again.
    pub fn mend(&self) {
        self.cut.store(false, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.cut();
        let _ = TcpStream::connect(self.address);
    }
}

fn join(near: &TcpStream, target: SocketAddr, open: &Mutex<Vec<TcpStream>>) -> io::Result<()> {
    let far = TcpStream::connect(target)?;
    lock(open).extend([near.try_clone()?, far.try_clone()?]);
    copy(near.try_clone()?, far.try_clone()?);
    copy(far, near.try_clone()?);
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let _ = to.set_nodelay(true);

    thread::spawn(move || {
        let _ = io::copy(&mut from, &mut to);
        let _ = to.shutdown(Shutdown::Write);
    });
}
