//! A TCP relay that breaks or delays connections on demand.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Forwards connections to one address.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    silent: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay = Self {
            address: listener.local_addr().unwrap(),
            closed: Arc::default(),
            silent: Arc::default(),
            streams: Arc::default(),
        };

        let accepting = relay.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepting.accept(stream, target);
            }
        });

        relay
    }

    /// Breaks every connection; with `closed` new ones end at once.
    pub fn cut(&self, closed: bool) {
        self.closed.store(closed, Ordering::SeqCst);

        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Holds back every byte while `silent`.
    pub fn silence(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    fn accept(&self, client: TcpStream, target: SocketAddr) {
        if self.closed.load(Ordering::SeqCst) {
            return;
        }

        let Ok(server) = TcpStream::connect(target) else {
            return;
        };

        for (from, to) in [(&client, &server), (&server, &client)] {
            let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
            let silent = Arc::clone(&self.silent);
            self.streams.lock().unwrap().push(from.try_clone().unwrap());
            thread::spawn(move || copy(from, to, &silent));
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut buffer = [0; 4096];

    while let Ok(count @ 1..) = from.read(&mut buffer) {
        while silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }

        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }

    let _ = to.shutdown(Shutdown::Both);
}
