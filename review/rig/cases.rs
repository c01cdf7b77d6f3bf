//! The cases.

mod dark;
mod omitted;
mod order;
mod narrow;
mod restart;
mod stop;

use crate::{
    host::{Host, Platform},
    http::{self, Answer},
    record,
    store::Store,
    workers::{self, Floor, Kind},
};
use std::{
    net::SocketAddr,
    path::Path,
    sync::{atomic::{AtomicU64, Ordering}, Arc},
    time::{Duration, Instant},
};

/// Runs a case. Returns what broke the rule, or why the case could not run.
pub fn run(case: &str, folder: &Path, trouble: bool) -> Result<Vec<String>, String> {
    match case {
        "dark" => dark::run(folder, trouble),
        "narrow" => narrow::run(folder, trouble),
        "omitted" => omitted::run(folder, trouble),
        "order" => order::run(folder, trouble),
        "restart" => restart::run(folder, trouble),
        "stop" => stop::run(folder, trouble),
        _ => Err(format!("no case {case}")),
    }
}

pub const HOST: &str = "h.example";

/// A small deployment: a store, workers and hosts.
pub struct Site {
    pub floor: Arc<Floor>,
    pub hosts: Vec<Host>,
    pub store: Store,
    attempts: AtomicU64,
}

impl Site {
    /// Starts the store with a config and workers. The hosts are added by `add_hosts`.
    pub fn new(config: &str) -> Site {
        let store = Store::start();
        store.put("config", "main", config);
        Site { floor: Arc::default(), hosts: Vec::new(), store, attempts: AtomicU64::new(1) }
    }

    /// Starts a worker and enters it in the store.
    pub fn worker(&self, id: &str, service: &str, slots: usize, kind: Kind) -> SocketAddr {
        let address = workers::start(&self.floor, id, kind);
        self.store.put("servers", id, &workers::entry(service, address, slots, 1_700_000_000_000));
        address
    }

    /// Starts `count` hosts and waits until all are ready and know each other.
    pub fn start_hosts(&mut self, folder: &Path, count: u8, changes: &[(String, String)]) -> Result<(), String> {
        let seeds = (1..=count.min(3)).map(|number| (crate::host::ip(number), 8628).into());
        let platform = Platform { store: self.store.address, seeds: seeds.collect(), changes: changes.to_vec() };
        for number in 1..=count {
            self.hosts.push(Host::new(folder, number, &platform));
        }
        for host in &mut self.hosts {
            host.start();
        }
        for host in &self.hosts {
            if !host.wait_ready(Duration::from_secs(20)) {
                return Err(format!("{} is not ready", host.name));
            }
        }
        // The platform's traffic starts ten seconds after its machines.
        std::thread::sleep(Duration::from_secs(6));
        Ok(())
    }

    /// Returns a new id for an attempt of a consumer.
    pub fn attempt(&self) -> String {
        format!("{:016x}", self.attempts.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}

/// Returns the text of a request without a body of its own.
pub fn request_text(method: &str, path: &str, attempt: &str, deadline: u64, extra: &str, body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline}\r\n\
        Authorization: Token key-1\r\nContent-Length: {}\r\n{extra}\r\n",
        body.len()
    )
    .into_bytes();
    text.extend_from_slice(body);
    text
}

/// Sends a request and records what came back.
pub fn ask(name: &str, address: SocketAddr, attempt: &str, text: &[u8], limit: Duration) -> Answer {
    let started = Instant::now();
    record(&format!("sent request {attempt} to {name}"));
    let answer = http::send(address, text, limit);
    record(&format!(
        "answer to {attempt} from {name}: status {} complete {} after {} ms {}",
        answer.status,
        answer.complete,
        started.elapsed().as_millis(),
        answer.error
    ));
    answer
}
