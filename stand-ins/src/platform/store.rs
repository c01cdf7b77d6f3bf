//! A stand-in for the platform's store: objects by kind and name, listings,
//! watches and faults.

use {
    crate::{
        http::{Flow, Reply, Request},
        server::{ANY_PORT, Handler, Server, lock},
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io::Write,
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone, Default)]
struct State {
    /// Number of times that the store was restored from a copy.
    era: u32,
    /// The history contains only changes after this revision.
    compacted_revision: u64,
    history: Vec<(String, bool, Value)>,
    /// Number of listings and watches by kind.
    reads: BTreeMap<String, usize>,
    /// A kind whose calls get a 503 response.
    down_kind: Option<String>,
    /// Contents of objects that are not JSON values, by the text that stands for them.
    raw: BTreeMap<String, Vec<u8>>,
    objects: BTreeMap<(String, String), Value>,
    /// Whether every call gets a 503 response.
    down: bool,
    /// Added to the response time of every call.
    delay: Duration,
    revision: u64,
}

/// The content of a store at one moment.
pub struct Copy(State);

/// The store's state, shared with its server.
#[derive(Default)]
pub struct Objects {
    changed: Condvar,
    state: Mutex<State>,
}

/// A running store.
pub struct Store {
    objects: Arc<Objects>,
    server: Server,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Panics
    ///
    /// Panics when the store cannot listen on a port.
    pub fn start() -> Self {
        let objects = Arc::<Objects>::default();
        let server = Server::start(ANY_PORT, Arc::clone(&objects)).expect("the store listens");
        Self { objects, server }
    }

    /// Returns the store's address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Creates or replaces an object, as the operator or a worker does.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        self.objects.put(kind, name, spec);
    }

    /// Creates or replaces an object with any bytes as its content, as another writer
    /// may.
    pub fn put_bytes(&self, kind: &str, name: &str, spec: &[u8]) {
        let marker = format!("content of {kind}/{name}");
        lock(&self.objects.state)
            .raw
            .insert(format!("\"{marker}\""), spec.to_vec());
        self.objects.put(kind, name, &json!(marker));
    }

    /// Removes an object, if it exists.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = lock(&self.objects.state);
        let key = (kind.to_owned(), name.to_owned());

        if let Some(mut object) = state.objects.remove(&key) {
            state.revision += 1;
            object["metadata"]["revision"] = json!(state.revision);
            state.history.push((kind.into(), true, object));
            self.objects.changed.notify_all();
        }
    }

    /// Sets the delay added to the response time of every call.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.objects.state).delay = delay;
    }

    /// Sets whether every call gets a 503 response.
    pub fn set_down(&self, down: bool) {
        lock(&self.objects.state).down = down;
        self.objects.changed.notify_all();
    }

    /// Sets a kind whose calls get a 503 response, if any.
    pub fn set_down_kind(&self, kind: Option<&str>) {
        lock(&self.objects.state).down_kind = kind.map(str::to_owned);
    }

    /// Returns how often a kind was listed or watched.
    pub fn reads(&self, kind: &str) -> usize {
        lock(&self.objects.state)
            .reads
            .get(kind)
            .copied()
            .unwrap_or(0)
    }

    /// Discards the change history, so that watches from an earlier revision get
    /// a 410 response.
    pub fn compact(&self) {
        let mut state = lock(&self.objects.state);
        state.compacted_revision = state.revision;
        state.history.clear();
        self.objects.changed.notify_all();
    }

    /// Copies the content of the store.
    pub fn copy(&self) -> Copy {
        Copy(lock(&self.objects.state).clone())
    }

    /// Replaces the content by an earlier copy. Revisions after the copy are given out
    /// again, and answers name the next era.
    pub fn restore(&self, copy: Copy) {
        let mut state = lock(&self.objects.state);
        let Copy(copy) = copy;
        state.era += 1;
        state.compacted_revision = copy.compacted_revision;
        state.history = copy.history;
        state.objects = copy.objects;
        state.raw = copy.raw;
        state.revision = copy.revision;
        self.objects.changed.notify_all();
    }

    /// Writes what the objects of some kinds were in `lost`, as the operator and the
    /// workers do after a restore.
    pub fn write_again(&self, lost: &Copy, kinds: &[&str]) {
        let Copy(current) = self.copy();
        let is_used = |(kind, _): &&(String, String)| kinds.contains(&kind.as_str());

        for key in current.objects.keys().filter(is_used) {
            if !lost.0.objects.contains_key(key) {
                self.remove(&key.0, &key.1);
            }
        }

        for key in lost.0.objects.keys().filter(is_used) {
            let spec = &lost.0.objects[key]["spec"];
            let known = current.objects.get(key);

            if known.is_none_or(|known| known["spec"] != *spec) {
                self.put(&key.0, &key.1, spec);
            }
        }
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        lock(&self.objects.state).revision
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = lock(&self.objects.state);
        let keys = state
            .objects
            .keys()
            .filter(|(object_kind, _)| object_kind == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }
}

impl Objects {
    fn put(&self, kind: &str, name: &str, spec: &Value) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let metadata = json!({
            "name": name, "revision": state.revision, "created": 1, "finalizers": [],
            "deleting": false,
        });
        let object = json!({ "metadata": metadata, "spec": spec, "status": null });
        state
            .objects
            .insert((kind.into(), name.into()), object.clone());
        state.history.push((kind.into(), false, object));
        self.changed.notify_all();
    }

    fn list(&self, kind: &str, after: &str) -> Reply {
        const PAGE_SIZE: usize = 2;

        let state = lock(&self.state);
        let objects = state.objects.iter();
        let mut items = objects
            .filter(|((object_kind, name), _)| object_kind == kind && name.as_str() > after)
            .map(|(_, object)| object.clone())
            .collect::<Vec<Value>>();
        let more = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        state.reply(&json!({ "items": items, "hasMore": more, "at": state.revision }))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Reply {
        let deadline = Instant::now() + wait;
        let mut state = lock(&self.state);

        loop {
            if state.down {
                return Reply::problem(503, "down");
            }

            if after < state.compacted_revision || after > state.revision {
                return state.mark(Reply::problem(
                    410,
                    "the changes after this revision are no longer available",
                ));
            }

            let events = state.history.iter().filter(|(object_kind, _, object)| {
                object_kind == kind && object["metadata"]["revision"].as_u64() > Some(after)
            });
            let events = events
                .map(|(_, removed, object)| json!({ "removed": removed, "object": object }))
                .collect::<Vec<Value>>();
            let remaining = deadline.saturating_duration_since(Instant::now());

            if !events.is_empty() || remaining.is_zero() {
                return state.reply(&json!({ "events": events, "at": state.revision }));
            }

            state = self
                .changed
                .wait_timeout(state, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

impl State {
    /// Returns a reply with the contents that are not JSON values in their places.
    fn reply(&self, value: &Value) -> Reply {
        let text = value.to_string();
        let is_used = |(marker, _): &(&String, &Vec<u8>)| text.contains(marker.as_str());
        let raw = self.raw.iter().filter(is_used).collect::<Vec<_>>();

        if raw.is_empty() {
            return self.mark(Reply::ok(value));
        }

        let mut body = text.into_bytes();

        for (marker, content) in raw {
            while let Some(at) = find(&body, marker.as_bytes()) {
                body.splice(at..at + marker.len(), content.iter().copied());
            }
        }

        self.mark(Reply::Written(Box::new(move |writer: &mut dyn Write| {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            writer.write_all(head.as_bytes())?;
            writer.write_all(&body)?;
            Ok(Flow::Keep)
        })))
    }

    /// Adds the header that names the store's era.
    fn mark(&self, reply: Reply) -> Reply {
        Reply::Marked {
            header: format!("Store-Era: {}", self.era),
            reply: Box::new(reply),
        }
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

impl Handler for Objects {
    fn handle(&self, request: Request) -> Reply {
        let delay = {
            let state = lock(&self.state);

            if state.down {
                return Reply::problem(503, "down");
            }

            state.delay
        };
        thread::sleep(delay);

        let mut segments = request.path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = segments.next().unwrap_or_default();
        {
            let mut state = lock(&self.state);

            if request.method == "GET" {
                *state.reads.entry(kind.to_owned()).or_default() += 1;
            }

            if state.down_kind.as_deref() == Some(kind) {
                return Reply::problem(503, "down");
            }
        }

        let number = |key: &str| request.text(key).parse::<u64>().ok();

        match request.method.as_str() {
            "GET" => match number("watch") {
                Some(after) => {
                    let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                    self.watch(kind, after, wait)
                }
                None => self.list(kind, request.text("after")),
            },
            "POST" => {
                let Some((name, object)) = parse_object(&request) else {
                    return Reply::problem(400, "the body is not an object with metadata.name");
                };
                let key = (kind.to_owned(), name.clone());

                if lock(&self.state).objects.contains_key(&key) {
                    return Reply::problem(409, "an object with this name exists");
                }

                self.put(kind, &name, &object["spec"]);
                lock(&self.state).mark(Reply::ok(object))
            }
            "PUT" => {
                let Ok(object) = request.json::<Value>() else {
                    return Reply::problem(400, "the body cannot be read as JSON");
                };
                self.put(kind, segments.next().unwrap_or_default(), &object["spec"]);
                lock(&self.state).mark(Reply::ok(object))
            }
            _ => Reply::problem(405, "the method is not supported"),
        }
    }
}

fn parse_object(request: &Request) -> Option<(String, Value)> {
    let object = request.json::<Value>().ok()?;
    let name = object["metadata"]["name"].as_str()?.to_owned();
    Some((name, object))
}
