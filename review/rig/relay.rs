//! A relay for TCP connections in front of a machine, whose far side may lose power.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// A relay. While power is off, the end of a connection on one side isn't told to the other
/// side. Once power is back, a server is told as soon as it has sent something, as the
/// client's machine would reset a connection that it doesn't know; a client is told at once.
#[derive(Clone, Default)]
pub struct Relay {
    off: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay from one address to another.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind(listen)?;
        let relay = Relay::default();
        let started = relay.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                let _ = client.set_nodelay(true);
                let _ = server.set_nodelay(true);
                let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else {
                    continue;
                };
                let relay = started.clone();
                let dead = Arc::<AtomicBool>::default();
                let marked = Arc::clone(&dead);
                thread::spawn(move || relay.requests(client, server, &marked));
                let relay = started.clone();
                thread::spawn(move || relay.answers(server_copy, client_copy, &dead));
            }
        });
        Ok(relay)
    }

    pub fn set_power(&self, on: bool) {
        self.off.store(!on, Ordering::SeqCst);
    }

    fn requests(&self, mut client: TcpStream, mut server: TcpStream, dead: &AtomicBool) {
        let mut buffer = vec![0; 65536];
        while let Ok(count) = client.read(&mut buffer) {
            if count == 0 || server.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        if self.off.load(Ordering::SeqCst) {
            dead.store(true, Ordering::SeqCst);
            return;
        }
        let _ = server.shutdown(Shutdown::Both);
        let _ = client.shutdown(Shutdown::Both);
    }

    fn answers(&self, mut server: TcpStream, mut client: TcpStream, dead: &AtomicBool) {
        let mut buffer = vec![0; 65536];
        while let Ok(count) = server.read(&mut buffer) {
            if count == 0 {
                break;
            }
            if client.write_all(&buffer[..count]).is_err() || dead.load(Ordering::SeqCst) {
                break;
            }
        }
        while self.off.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        let _ = server.shutdown(Shutdown::Both);
        let _ = client.shutdown(Shutdown::Both);
    }
}

/// Starts a relay for a link with a bandwidth: what the target sends passes at most that
/// fast.
pub fn narrow(target: SocketAddr, bits_per_second: u64) -> std::io::Result<SocketAddr> {
    const PART: usize = 16 * 1024;
    let listener = TcpListener::bind((target.ip(), 0))?;
    let address = listener.local_addr()?;
    let free = Arc::new(Mutex::new(Instant::now()));
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(target) else { continue };
            let (Ok(mut from), Ok(mut to)) = (client.try_clone(), server.try_clone()) else { continue };
            thread::spawn(move || {
                let _ = std::io::copy(&mut from, &mut to);
                let _ = to.shutdown(Shutdown::Write);
            });
            let (mut from, mut to, free) = (server, client, Arc::clone(&free));
            thread::spawn(move || {
                let mut buffer = vec![0; PART];
                while let Ok(count) = from.read(&mut buffer) {
                    if count == 0 || to.write_all(&buffer[..count]).is_err() {
                        break;
                    }
                    let time = Duration::from_micros(count as u64 * 8 * 1_000_000 / bits_per_second);
                    let until = {
                        let mut free = free.lock().unwrap();
                        *free = (*free).max(Instant::now()) + time;
                        *free
                    };
                    thread::sleep(until.saturating_duration_since(Instant::now()));
                }
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
            });
        }
    });
    Ok(address)
}
