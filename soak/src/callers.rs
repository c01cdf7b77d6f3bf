//! Callers: they ask for addresses, keep connections, and check their own
//! answers.

use {
    crate::{
        record::{Attempt, End, Kind, Record, key_text},
        world::EVENTS,
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    serde_json::Value,
    stand_ins::{
        platform::caller::{PROMPT, Request, Response, get, read},
        server::lock,
    },
    std::{
        collections::HashMap,
        io::{BufReader, ErrorKind, Read, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Pieces of a draft's stages.
pub const PIECES: &str = "1,3";

/// Key of a draft's first piece.
pub const PIECE_KEY: &str = "k7";

/// Time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time beyond its deadline that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(1);

/// Time for which a caller keeps the addresses.
const KEPT: Duration = Duration::from_secs(1);

/// Longest pause of a caller between two requests, in milliseconds.
const PAUSE_MS: u64 = 60;

/// Shortest and longest deadline, in milliseconds.
const DEADLINE_MS: (u64, u64) = (2000, 4000);

/// Part of the connections that are kept, of the streams that callers leave,
/// and of the requests with a key that was removed.
const KEPT_SHARE: f64 = 0.8;
const LEAVING_SHARE: f64 = 0.08;
const REMOVED_SHARE: f64 = 0.08;

/// What all callers share.
#[derive(Debug)]
pub struct Shared {
    pub directories: Vec<SocketAddr>,
    /// Hosts by the address for callers.
    pub hosts: HashMap<SocketAddr, usize>,
    pub next: AtomicU64,
    pub record: Arc<Mutex<Record>>,
    pub stopping: AtomicBool,
}

/// One caller.
pub struct Caller {
    addresses: Vec<SocketAddr>,
    asked: Option<Instant>,
    open: HashMap<SocketAddr, BufReader<TcpStream>>,
    random: StdRng,
    shared: Arc<Shared>,
}

impl Caller {
    /// Builds a caller.
    pub fn new(shared: Arc<Shared>, seed: u64) -> Self {
        Self {
            addresses: Vec::new(),
            asked: None,
            open: HashMap::new(),
            random: StdRng::seed_from_u64(seed),
            shared,
        }
    }

    /// Sends requests until the run is over.
    pub fn run(mut self) {
        while !self.shared.stopping.load(Ordering::SeqCst) {
            self.ask_for_addresses();
            let kind = self.kind();

            if let Some(address) = self.addresses.choose(&mut self.random).copied() {
                self.call(address, kind);
            }

            let pause = self.random.random_range(0..PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Sends one request, and returns how it ended unless there was no
    /// connection.
    pub fn call(&mut self, address: SocketAddr, kind: Kind) -> Option<End> {
        let reused = self.open.contains_key(&address);
        let mut stream = match self.open.remove(&address) {
            Some(stream) => stream,
            None => BufReader::new(TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?),
        };
        let unasked = match unasked(&stream) {
            Unasked::Bytes => true,
            Unasked::Closed => return None,
            Unasked::Nothing => false,
        };
        let key = self.key();
        let number = self.shared.next.fetch_add(1, Ordering::SeqCst);
        let id = format!("{number:08x}");
        let deadline = self.random.random_range(DEADLINE_MS.0..=DEADLINE_MS.1);
        let attempt = Attempt {
            end: None,
            host: self.shared.hosts[&address],
            key,
            kind,
            reused,
            sent: Instant::now(),
        };
        lock(&self.shared.record)
            .attempts
            .insert(id.clone(), attempt);
        let end = if unasked {
            End::Answered {
                fault: Some("bytes arrived that no request asked for".into()),
                status: 200,
            }
        } else {
            self.exchange(&mut stream, &id, kind, key, deadline)
        };
        let answered = matches!(end, End::Answered { .. });

        if answered && self.random.random_bool(KEPT_SHARE) {
            self.open.insert(address, stream);
        }

        if let Some(attempt) = lock(&self.shared.record).attempts.get_mut(&id) {
            attempt.end = Some((Instant::now(), end.clone()));
        }

        Some(end)
    }

    fn exchange(
        &mut self,
        stream: &mut BufReader<TcpStream>,
        id: &str,
        kind: Kind,
        key: u64,
        deadline_ms: u64,
    ) -> End {
        let extra = match kind {
            Kind::Check => PROMPT.to_owned(),
            Kind::Draft => {
                format!("{PROMPT}X-Pieces: {PIECES}\r\nX-Piece-Key: {PIECE_KEY}\r\n")
            }
            Kind::Moved | Kind::Order | Kind::Read => String::new(),
        };
        let request = Request {
            attempt: id,
            deadline_ms,
            extra: &extra,
            key: &key_text(key),
            method: "POST",
            path: &format!("/{}/", kind.name()),
        };
        let limit = Duration::from_millis(deadline_ms) + PATIENCE;
        let written = stream
            .get_ref()
            .set_read_timeout(Some(limit))
            .and_then(|()| stream.get_mut().write_all(request.text().as_bytes()));

        if let Err(error) = written {
            return End::NoAnswer(error.to_string());
        }

        if kind.is_stream() && self.random.random_bool(LEAVING_SHARE) {
            let mut first = [0; 64];
            // The caller leaves also if nothing came.
            let _ = stream.read(&mut first);
            return End::Left;
        }

        let started = Instant::now();

        match read(stream) {
            Some(answer) => judge(id, kind, &answer),
            None => End::NoAnswer(format!("nothing in {:?} of {limit:?}", started.elapsed())),
        }
    }

    fn ask_for_addresses(&mut self) {
        if self.asked.is_some_and(|asked| asked.elapsed() < KEPT) {
            return;
        }

        let directory = self.shared.directories.choose(&mut self.random);
        let answer = directory
            .and_then(|address| get(*address, "/resolve?name=h.example&region=r&zone=z1"))
            .filter(|answer| answer.status == 200);
        let Some(answer) = answer else {
            return;
        };
        let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        let addresses = body["addresses"].as_array().into_iter().flatten();
        self.addresses = addresses
            .filter_map(|address| address.as_str()?.parse().ok())
            .filter(|address| self.shared.hosts.contains_key(address))
            .collect();
        self.asked = Some(Instant::now());
        let addresses = &self.addresses;
        self.open.retain(|address, _| addresses.contains(address));
    }

    fn kind(&mut self) -> Kind {
        match self.random.random_range(0..10) {
            0..3 => Kind::Read,
            3..6 => Kind::Order,
            6 | 7 => Kind::Moved,
            8 => Kind::Check,
            _ => Kind::Draft,
        }
    }

    /// Returns the newest key, or at times one that was removed.
    fn key(&mut self) -> u64 {
        let newest = lock(&self.shared.record).versions.len() as u64;

        if newest > 2 && self.random.random_bool(REMOVED_SHARE) {
            newest - 2
        } else {
            newest
        }
    }
}

enum Unasked {
    Bytes,
    Closed,
    Nothing,
}

/// Looks for bytes on a connection with no request waiting.
fn unasked(stream: &BufReader<TcpStream>) -> Unasked {
    if !stream.buffer().is_empty() {
        return Unasked::Bytes;
    }

    let socket = stream.get_ref();
    let peeked = socket
        .set_nonblocking(true)
        .and_then(|()| socket.peek(&mut [0]));

    if socket.set_nonblocking(false).is_err() {
        return Unasked::Closed;
    }

    match peeked {
        Ok(1..) => Unasked::Bytes,
        Err(error) if error.kind() == ErrorKind::WouldBlock => Unasked::Nothing,
        Ok(0) | Err(_) => Unasked::Closed,
    }
}

/// Checks an answer against its request.
fn judge(id: &str, kind: Kind, answer: &Response) -> End {
    let success = (200..300).contains(&answer.status);
    let fault = success
        .then(|| fault(id, kind, answer))
        .and_then(Result::err);

    if success && !answer.complete {
        return End::Cut { fault };
    }

    End::Answered {
        fault,
        status: answer.status,
    }
}

fn fault(id: &str, kind: Kind, answer: &Response) -> Result<(), String> {
    if answer.header("x-server-stamp").is_none() {
        return Err(format!("a success without a proof: {}", answer.head));
    }

    if !kind.is_stream() {
        let expected = format!("answer to {id}");
        let same = answer.body == expected || !answer.complete;
        return same
            .then_some(())
            .ok_or_else(|| format!("{:?} in place of {expected:?}", answer.body));
    }

    let events = answer.body.lines();
    let events = events.filter_map(|line| line.strip_prefix("data: "));
    let events = events.collect::<Vec<&str>>();

    for (number, event) in events.iter().enumerate() {
        if *event != format!("{id} {number}") {
            return Err(format!("event {number} is {event:?}"));
        }
    }

    if answer.complete && events.len() != EVENTS {
        return Err(format!("it ended as whole after {} events", events.len()));
    }

    Ok(())
}
