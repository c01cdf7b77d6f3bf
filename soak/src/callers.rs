//! Callers that query the directory of hosts, keep connections open and
//! validate the responses to their own requests.

use {
    crate::{
        environment::EVENTS,
        graph::Graph,
        record::{Attempt, End, Record, Route, key_text},
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    serde_json::Value,
    stand_ins::{
        platform::caller::{ENGINE_HEADERS, Request, Response, get, read},
        server::lock,
    },
    std::{
        collections::HashMap,
        io::{self, BufReader, ErrorKind, Read, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Key of the first piece of a draft.
pub const PIECE_KEY: &str = "k7";

/// Timeout for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that a caller waits for a response beyond the deadline of the request.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Time for which a caller uses the addresses that it fetched.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(1);

/// Maximum pause between two requests of a caller, in milliseconds.
const PAUSE_MS: u64 = 60;

/// Shortest and longest deadline of a request, in milliseconds.
const DEADLINE_MS: (u64, u64) = (2000, 4000);

/// Longest deadline of a draft, in milliseconds.
const MAX_DRAFT_DEADLINE_MS: u64 = 12_000;

/// Fraction of connections that are kept open after a response.
const KEEP_ALIVE_SHARE: f64 = 0.8;

/// Fraction of streams that callers abandon.
const ABANDON_SHARE: f64 = 0.08;

/// Fraction of requests that use a key that was removed.
const REMOVED_KEY_SHARE: f64 = 0.08;

/// State that all callers share.
#[derive(Debug)]
pub struct Shared {
    pub graph: Graph,
    pub directories: Vec<SocketAddr>,
    /// Index of each host by its address for callers.
    pub hosts: HashMap<SocketAddr, usize>,
    pub next_id: AtomicU64,
    pub record: Arc<Mutex<Record>>,
    pub stopping: AtomicBool,
}

/// Sends requests to the hosts and records how they end.
pub struct Caller {
    addresses: Vec<SocketAddr>,
    addresses_fetched: Option<Instant>,
    connections: HashMap<SocketAddr, BufReader<TcpStream>>,
    random: StdRng,
    shared: Arc<Shared>,
}

impl Caller {
    /// Returns a caller without connections. `seed` determines its choices.
    pub fn new(shared: Arc<Shared>, seed: u64) -> Self {
        Self {
            addresses: Vec::new(),
            addresses_fetched: None,
            connections: HashMap::new(),
            random: StdRng::seed_from_u64(seed),
            shared,
        }
    }

    /// Sends requests until the callers are stopped.
    pub fn run(mut self) {
        while !self.shared.stopping.load(Ordering::SeqCst) {
            self.refresh_addresses();
            let route = self.choose_route();

            if let Some(address) = self.addresses.choose(&mut self.random).copied() {
                self.call(address, route);
            }

            let pause = self.random.random_range(0..PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Sends one request and returns how it ended, or `None` if no connection
    /// could be used.
    pub fn call(&mut self, address: SocketAddr, route: Route) -> Option<End> {
        let reused = self.connections.contains_key(&address);
        let mut stream = match self.connections.remove(&address) {
            Some(stream) => stream,
            None => BufReader::new(TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?),
        };
        let unsolicited = match unsolicited(&stream) {
            Unsolicited::Bytes => true,
            Unsolicited::Closed => return None,
            Unsolicited::Nothing => false,
        };
        let key = self.choose_key();
        let number = self.shared.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{number:08x}");
        let (shortest, longest) = match route {
            Route::Draft => (DEADLINE_MS.0, MAX_DRAFT_DEADLINE_MS),
            _ => DEADLINE_MS,
        };
        let deadline = self.random.random_range(shortest..=longest);
        let pieces = self.shared.graph.draw_pieces(&mut self.random);
        let request = Draw {
            deadline,
            id: &id,
            key,
            pieces: &pieces,
            route,
        };
        let attempt = Attempt {
            end: None,
            host: self.shared.hosts[&address],
            key,
            pieces: pieces.clone(),
            route,
            reused,
            sent: Instant::now(),
        };
        lock(&self.shared.record)
            .attempts
            .insert(id.clone(), attempt);
        let end = if unsolicited {
            End::Answered {
                fault: Some("bytes arrived before a request was sent".into()),
                status: 200,
            }
        } else {
            self.exchange(&mut stream, &request)
        };
        let answered = matches!(end, End::Answered { .. });

        if answered && self.random.random_bool(KEEP_ALIVE_SHARE) {
            self.connections.insert(address, stream);
        }

        if let Some(attempt) = lock(&self.shared.record).attempts.get_mut(&id) {
            attempt.end = Some((Instant::now(), end.clone()));
        }

        Some(end)
    }

    fn exchange(&mut self, stream: &mut BufReader<TcpStream>, draw: &Draw) -> End {
        let &Draw {
            deadline: deadline_ms,
            id,
            key,
            pieces,
            route,
        } = draw;
        let extra = match route {
            Route::Check => ENGINE_HEADERS.to_owned(),
            Route::Draft => {
                let pieces = pieces.iter().map(usize::to_string);
                let pieces = pieces.collect::<Vec<String>>().join(",");
                format!("{ENGINE_HEADERS}X-Pieces: {pieces}\r\nX-Piece-Key: {PIECE_KEY}\r\n")
            }
            Route::Export | Route::Moved | Route::Order | Route::Read => String::new(),
        };
        let request = Request {
            attempt: id,
            deadline_ms,
            extra: &extra,
            key: &key_text(key),
            method: "POST",
            path: &format!("/{}/", route.name()),
        };
        let limit = Duration::from_millis(deadline_ms) + ANSWER_GRACE;
        let written = stream
            .get_ref()
            .set_read_timeout(Some(limit))
            .and_then(|()| stream.get_mut().write_all(request.text().as_bytes()));

        if let Err(error) = written {
            return End::NoAnswer(error.to_string());
        }

        if route.is_stream() && self.random.random_bool(ABANDON_SHARE) {
            let mut first = [0; 64];
            // Abandon the stream even if nothing arrived.
            let _ = stream.read(&mut first);
            return End::Left;
        }

        let started = Instant::now();

        let answer = if route == Route::Export {
            read(&mut SlowReader(stream))
        } else {
            read(stream)
        };

        match answer {
            Some(answer) => classify(id, route, &answer),
            None => End::NoAnswer(format!(
                "nothing arrived in {:?}, limit {limit:?}",
                started.elapsed()
            )),
        }
    }

    fn refresh_addresses(&mut self) {
        if self
            .addresses_fetched
            .is_some_and(|fetched| fetched.elapsed() < ADDRESS_LIFETIME)
        {
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
        self.addresses_fetched = Some(Instant::now());
        let addresses = &self.addresses;
        self.connections
            .retain(|address, _| addresses.contains(address));
    }

    fn choose_route(&mut self) -> Route {
        match self.random.random_range(0..24) {
            0..6 => Route::Read,
            6..12 => Route::Order,
            12..16 => Route::Moved,
            16..18 => Route::Check,
            18 => Route::Export,
            _ => Route::Draft,
        }
    }

    /// Returns the newest key, or with probability [`REMOVED_KEY_SHARE`] one
    /// that was removed.
    fn choose_key(&mut self) -> u64 {
        let newest = lock(&self.shared.record).versions.len() as u64;

        if newest > 2 && self.random.random_bool(REMOVED_KEY_SHARE) {
            newest - 2
        } else {
            newest
        }
    }
}

/// What a caller has drawn for a request.
struct Draw<'a> {
    /// Time that the caller waits, in milliseconds.
    deadline: u64,
    id: &'a str,
    key: u64,
    /// Number of pieces of each stage.
    pieces: &'a [usize],
    route: Route,
}

/// Reads about 10 MB a second.
struct SlowReader<'a>(&'a mut BufReader<TcpStream>);

impl Read for SlowReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        /// Number of bytes after which the reader pauses.
        const CHUNK: usize = 256 * 1024;
        const PAUSE: Duration = Duration::from_millis(25);

        if buffer.len() > CHUNK {
            thread::sleep(PAUSE);
        }

        let length = buffer.len().min(CHUNK);
        self.0.read(&mut buffer[..length])
    }
}

enum Unsolicited {
    Bytes,
    Closed,
    Nothing,
}

/// Checks for bytes on a connection that has no request in progress.
fn unsolicited(stream: &BufReader<TcpStream>) -> Unsolicited {
    if !stream.buffer().is_empty() {
        return Unsolicited::Bytes;
    }

    let socket = stream.get_ref();
    let peeked = socket
        .set_nonblocking(true)
        .and_then(|()| socket.peek(&mut [0]));

    if socket.set_nonblocking(false).is_err() {
        return Unsolicited::Closed;
    }

    match peeked {
        Ok(1..) => Unsolicited::Bytes,
        Err(error) if error.kind() == ErrorKind::WouldBlock => Unsolicited::Nothing,
        Ok(0) | Err(_) => Unsolicited::Closed,
    }
}

/// Returns how a request ended, with any fault of its response.
fn classify(id: &str, route: Route, answer: &Response) -> End {
    let success = (200..300).contains(&answer.status);
    let fault = success
        .then(|| validate(id, route, answer))
        .and_then(Result::err);

    if success && !answer.complete {
        return End::Cut { fault };
    }

    End::Answered {
        fault,
        status: answer.status,
    }
}

fn validate(id: &str, route: Route, answer: &Response) -> Result<(), String> {
    if answer.header("x-server-stamp").is_none() {
        return Err(format!(
            "the successful response has no X-Server-Stamp: {}",
            answer.head
        ));
    }

    if !route.is_stream() {
        let expected = format!("answer to {id}");
        let same = answer.body.trim_end() == expected || !answer.complete;
        return same
            .then_some(())
            .ok_or_else(|| format!("the body is {:?}, expected {expected:?}", answer.body));
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
        return Err(format!(
            "the stream ended as complete after {} events",
            events.len()
        ));
    }

    Ok(())
}
