//! Small stand-ins for the cases of the second review: the platform's store, workers,
//! consumers, and the start of the project's hosts. Standard library only.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit code if the case could not run.
pub const CANNOT_RUN: i32 = 2;

/// Host name of all routes.
pub const HOST_NAME: &str = "h.example";

/// Key of the only tenant.
pub const KEY: &str = "k3y0fth3t3nant";

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

fn origin() -> Instant {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    *ORIGIN.get_or_init(Instant::now)
}

/// Milliseconds since the case began.
pub fn now() -> u64 {
    origin().elapsed().as_millis() as u64
}

/// Whether the disruption is on (`TROUBLE` is not 0).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Ends the case because it could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case cannot run: {why}");
    STOP.store(true, Ordering::Relaxed);
    stop_children();
    let _ = fs::remove_dir_all(folder_path());
    std::process::exit(CANNOT_RUN);
}

// Record.

static RECORD: Mutex<Option<fs::File>> = Mutex::new(None);

/// Opens `record.txt` in a folder.
pub fn open_record(folder: &Path) {
    origin();
    match fs::File::create(folder.join("record.txt")) {
        Ok(file) => *lock(&RECORD) = Some(file),
        Err(error) => cannot_run(&format!("record.txt: {error}")),
    }
}

/// Writes one line to the record, or to standard output in a worker process.
pub fn note(text: &str) {
    let line = format!("{:>7} {text}\n", now());
    match lock(&RECORD).as_mut() {
        Some(file) => drop(file.write_all(line.as_bytes())),
        None => {
            let mut out = std::io::stdout().lock();
            let _ = out.write_all(format!("{text}\n").as_bytes());
            let _ = out.flush();
        }
    }
}

// Messages of HTTP/1.1.

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived in full.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok().filter(|n| *n > 0)?;
    (line.last() == Some(&b'\n')).then(|| String::from_utf8_lossy(&line).trim_end().to_owned())
}

/// Reads one message; `None` if the connection ends within its head.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut start = read_line(reader)?;
    while start.is_empty() {
        start = read_line(reader)?;
    }
    let mut message = Message { start, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            message.headers.push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if chunked {
        message.complete = read_chunks(reader, &mut message.body);
    } else if let Some(length) = message.header("content-length").and_then(|v| v.parse().ok()) {
        message.body = vec![0; length];
        message.complete = reader.read_exact(&mut message.body).is_ok();
    } else if message.start.starts_with("HTTP/") {
        message.complete = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.complete = true;
    }
    Some(message)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let Some(line) = read_line(reader) else { return false };
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return false };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        if size == 0 {
            return true;
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Returns the JSON value (an object, a list, a text or a number) behind `"key":`.
pub fn json_field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let at = text.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = text[at..].trim_start();
    let (mut depth, mut quoted, mut escaped) = (0i32, false, false);
    for (index, c) in rest.char_indices() {
        if quoted {
            match c {
                _ if escaped => escaped = false,
                '\\' => escaped = true,
                '"' => quoted = false,
                _ => {}
            }
            if !quoted && depth == 0 {
                return Some(&rest[..=index]);
            }
            continue;
        }
        match c {
            '"' => quoted = true,
            '{' | '[' => depth += 1,
            '}' | ']' if depth == 0 => return Some(rest[..index].trim()),
            '}' | ']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(&rest[..=index]);
                }
            }
            ',' if depth == 0 => return Some(rest[..index].trim()),
            _ => {}
        }
    }
    None
}

pub fn unquote(text: &str) -> &str {
    text.trim_matches('"')
}

/// Splits a JSON list of objects.
pub fn json_objects(list: &str) -> Vec<&str> {
    let mut objects = Vec::new();
    let (mut depth, mut start) = (0, 0);
    for (index, c) in list.char_indices() {
        match c {
            '{' => {
                if depth == 0 {
                    start = index;
                }
                depth += 1;
            }
            '}' => {
                depth -= 1;
                if depth == 0 {
                    objects.push(&list[start..=index]);
                }
            }
            _ => {}
        }
    }
    objects
}

// The platform's store.

#[derive(Default)]
struct StoreState {
    history: Vec<(String, bool, u64, String)>,
    objects: BTreeMap<(String, String), (u64, String)>,
    revision: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn start() -> Self {
        let listener = bind(Ipv4Addr::LOCALHOST, 0);
        let address = listener.local_addr().expect("a bound listener has an address");
        let state = StoreState { revision: 100, ..StoreState::default() };
        let store = Self { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let served = store.clone();
        accept(listener, move |stream| served.serve(stream));
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = lock(&self.shared.0);
        state.revision += 1;
        let revision = state.revision;
        let text = object(name, revision, spec);
        state.objects.insert((kind.into(), name.into()), (revision, text.clone()));
        state.history.push((kind.into(), false, revision, text));
        self.shared.1.notify_all();
    }

    /// Returns the `spec` of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<String> {
        let state = lock(&self.shared.0);
        let (_, text) = state.objects.get(&(kind.into(), name.into()))?;
        json_field(text, "spec").map(str::to_owned)
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = lock(&self.shared.0);
        if state.objects.remove(&(kind.into(), name.into())).is_some() {
            state.revision += 1;
            let revision = state.revision;
            let text = object(name, revision, "null");
            state.history.push((kind.into(), true, revision, text));
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(writer) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(stream), writer);
        while let Some(request) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let path = request.path().trim_start_matches("/objects/").to_owned();
        let (kind, name) = path.split_once('/').unwrap_or((&path, ""));
        let body = request.text();
        let spec = json_field(&body, "spec").unwrap_or("null");
        match request.method() {
            "GET" if !name.is_empty() => {
                let state = lock(&self.shared.0);
                match state.objects.get(&(kind.into(), name.into())) {
                    Some((_, text)) => ("200 OK", text.clone()),
                    None => ("404 Not Found", "{}".into()),
                }
            }
            "GET" => match request.query("watch").and_then(|after| after.parse().ok()) {
                Some(after) => {
                    let wait = request.query("waitMs").and_then(|wait| wait.parse().ok());
                    ("200 OK", self.watch(kind, after, wait.unwrap_or(0)))
                }
                None => {
                    let state = lock(&self.shared.0);
                    let objects = state.objects.iter().filter(|((of, _), _)| of == kind);
                    let items = objects.map(|(_, (_, text))| text.as_str());
                    let items = items.collect::<Vec<&str>>().join(",");
                    let at = state.revision;
                    ("200 OK", format!("{{\"items\":[{items}],\"hasMore\":false,\"at\":{at}}}"))
                }
            },
            "POST" => {
                let metadata = json_field(&body, "metadata").unwrap_or("");
                let name = unquote(json_field(metadata, "name").unwrap_or("")).to_owned();
                let key = (kind.to_owned(), name.clone());
                if lock(&self.shared.0).objects.contains_key(&key) {
                    return ("409 Conflict", "{}".into());
                }
                self.put(kind, &name, spec);
                ("200 OK", "{}".into())
            }
            "PUT" => {
                self.put(kind, name, spec);
                ("200 OK", "{}".into())
            }
            _ => ("405 Method Not Allowed", "{}".into()),
        }
    }

    fn watch(&self, kind: &str, after: u64, wait: u64) -> String {
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = lock(&self.shared.0);
        loop {
            let events = state.history.iter().filter(|(of, _, at, _)| of == kind && *at > after);
            let events = events
                .map(|(_, removed, _, text)| format!("{{\"object\":{text},\"removed\":{removed}}}"));
            let events = events.collect::<Vec<String>>();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|error| error.into_inner()).0;
        }
    }
}

pub fn bind(ip: Ipv4Addr, port: u16) -> TcpListener {
    TcpListener::bind((ip, port)).unwrap_or_else(|error| cannot_run(&format!("{ip}:{port}: {error}")))
}

/// Serves each connection of a listener in a thread of its own.
pub fn accept(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
}

// Child processes.

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

pub fn adopt(child: Child) {
    lock(&CHILDREN).push(child);
}

/// Ends all processes that the case started, by their ids.
pub fn stop_children() {
    for child in lock(&CHILDREN).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

// The project's hosts.

#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    pub front: SocketAddr,
    pub directory: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub ip: Ipv4Addr,
}

/// Returns loopback addresses of a host that no other process of this machine is
/// likely to use.
pub fn host_addresses(number: u8) -> HostAddresses {
    let id = std::process::id();
    let ip = Ipv4Addr::new(127, 100 + (id / 250 % 100) as u8, 1 + (id % 250) as u8, number);
    let address = |port| SocketAddr::from((ip, port));
    let addresses = HostAddresses {
        front: address(8625),
        directory: address(8620),
        control: address(8628),
        ready: address(8621),
        ip,
    };
    for port in [8625, 8620, 8628, 8621, 9464] {
        drop(bind(ip, port));
    }
    addresses
}

fn render(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut text = template.to_owned();
    // Sections whose field has no value are left out.
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("a section has a name");
        let name = text[start + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = start + text[start..].find(&close).expect("a section ends");
        let inner = text[name_end + 2..end].to_owned();
        let kept = if fields.contains_key(&name) { inner } else { String::new() };
        text.replace_range(start..end + close.len(), &kept);
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

fn folder_path() -> PathBuf {
    std::env::temp_dir().join(format!("review-2-{}", std::process::id()))
}

/// Folder for settings and logs, removed at the end of the case.
pub fn work_folder() -> &'static PathBuf {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    FOLDER.get_or_init(|| {
        let folder = folder_path();
        fs::create_dir_all(&folder)
            .unwrap_or_else(|error| cannot_run(&format!("temporary folder: {error}")));
        folder
    })
}

/// Starts a host with the command and the settings template of the deploy file.
pub fn start_host(number: u8, addresses: HostAddresses, seeds: &[HostAddresses], store: &Store) -> u32 {
    let template = fs::read_to_string("deploy/settings.ini")
        .unwrap_or_else(|error| cannot_run(&format!("deploy/settings.ini: {error}")));
    let seeds = seeds.iter().map(|seed| seed.control.to_string());
    let fields = [
        ("nodeName", format!("front-z{number}-1")),
        ("zone", format!("z{number}")),
        ("limits.cpuShare", "0.25".into()),
        ("limits.linkMbps", "1000.0".into()),
        ("listenAddrs.front", addresses.front.to_string()),
        ("listenAddrs.directory", addresses.directory.to_string()),
        ("listenAddrs.control", addresses.control.to_string()),
        ("listenAddrs.ready", addresses.ready.to_string()),
        ("ip", addresses.ip.to_string()),
        ("seedNodes", seeds.collect::<Vec<String>>().join(",")),
        ("platform.address", store.address.to_string()),
        ("bounds.graceS", "8".into()),
        ("bounds.retryRatio", "0.2".into()),
        ("bounds.retrySlack", "56".into()),
        ("bounds.retryWindowS", "10".into()),
    ];
    let fields = fields.map(|(name, value)| (name.to_owned(), value));
    let text = render(&template, &BTreeMap::from(fields));
    let path = work_folder().join(format!("host{number}.ini"));
    let log = work_folder().join(format!("host{number}.log"));
    let output = fs::File::create(&log).and_then(|file| Ok((file.try_clone()?, file)));
    let (Ok(()), Ok((out, err))) = (fs::write(&path, text), output) else {
        cannot_run("the settings cannot be written");
    };
    let child = Command::new("target/release/persimmoncleat-platform")
        .env("PERSIMMONCLEAT_SETTINGS", &path)
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(err)
        .spawn()
        .unwrap_or_else(|error| cannot_run(&format!("the host does not start: {error}")));
    let id = child.id();
    adopt(child);
    id
}

/// Starts hosts that know each other as seeds, and waits until all are ready.
pub fn start_hosts(count: u8, store: &Store) -> Vec<HostAddresses> {
    let hosts = (1..=count).map(host_addresses).collect::<Vec<_>>();
    for (index, host) in hosts.iter().enumerate() {
        start_host(index as u8 + 1, *host, &hosts, store);
    }
    for host in &hosts {
        let mut ready = false;
        for _ in 0..200 {
            ready = get(host.ready, "/readyz").is_some_and(|answer| answer.status() == 200);
            if ready {
                break;
            }
            sleep_ms(50);
        }
        if !ready {
            cannot_run("a host is not ready within 10 s");
        }
    }
    // Until all hosts know each other.
    for host in &hosts {
        let path = format!("/resolve?name={HOST_NAME}&region=r&zone=z1");
        for _ in 0..200 {
            let answer = get(host.directory, &path).map(|answer| answer.text()).unwrap_or_default();
            if answer.matches(":8625").count() >= hosts.len() {
                break;
            }
            sleep_ms(50);
        }
    }
    hosts
}

// Consumers.

pub fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// Returns a new id of a consumer attempt.
pub fn attempt_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// Sends one request on a new connection and reads its answer. The deadline is the
/// time after which the consumer leaves.
pub fn send(
    front: SocketAddr,
    path: &str,
    attempt: &str,
    deadline_ms: u64,
    extra: &str,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    let limit = Duration::from_millis(deadline_ms + 500);
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n{extra}\
         Content-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let answer = read_message(&mut BufReader::new(&stream));
    let _ = stream.shutdown(Shutdown::Both);
    answer
}

/// A flag that ends the threads of a case.
pub static STOP: AtomicBool = AtomicBool::new(false);

pub fn stopped() -> bool {
    STOP.load(Ordering::Relaxed)
}

pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    time.as_millis() as u64
}

/// Returns a worker's entry for the store.
pub fn entry(service: &str, address: SocketAddr, zone: &str, slots: usize, born: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\
         \"sequence\":1,\"born\":{born}}}"
    )
}

/// Returns the limits and the tenant of a configuration, from a comma on.
pub fn config_tail() -> String {
    format!(
        ",\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"shop\",\"apiKeys\":[\"{KEY}\"]}}]}}"
    )
}

/// Ends the processes, reports the verdict and exits.
pub fn finish(broken: bool, verdict: &str) -> ! {
    STOP.store(true, Ordering::Relaxed);
    note(verdict);
    println!("{verdict}");
    stop_children();
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(work_folder());
    }
    std::process::exit(if broken { 1 } else { 0 });
}
