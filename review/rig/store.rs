//! The platform's store: objects by kind and name, listings and watches.

use crate::{
    http::{self, Request},
    json::{quote, Json},
};
use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

struct Change {
    kind: String,
    name: String,
    revision: u64,
    removed: bool,
    spec: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    history: Vec<Change>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store listens");
        let address = listener.local_addr().expect("it has an address");
        let shared = Arc::<Shared>::default();
        let served = Arc::clone(&shared);
        http::serve(listener, move |request, stream| handle(&served, request, stream));
        Store { address, shared }
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        put(&self.shared, kind, name, spec);
    }
}

fn put(shared: &Shared, kind: &str, name: &str, spec: &str) {
    let mut state = shared.state.lock().unwrap();
    let key = (kind.to_owned(), name.to_owned());
    if state.objects.get(&key).is_some_and(|(_, known)| known == spec) {
        return;
    }
    state.revision += 1;
    let revision = state.revision;
    state.objects.insert(key, (revision, spec.into()));
    let (kind, name, spec) = (kind.to_owned(), name.to_owned(), spec.to_owned());
    state.history.push(Change { kind, name, revision, removed: false, spec });
    shared.changed.notify_all();
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{revision},\"created\":1,\"finalizers\":[],\
        \"deleting\":false}},\"spec\":{spec},\"status\":null}}",
        quote(name)
    )
}

fn handle(shared: &Shared, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    let json = "Content-Type: application/json\r\n";
    let Some(path) = request.path.strip_prefix("/objects/") else {
        return http::answer(stream, "404 Not Found", json, b"{}");
    };
    let (kind, name) = path.split_once('/').unwrap_or((path, ""));
    match request.method.as_str() {
        "GET" if !request.value("watch").is_empty() => {
            let after = request.value("watch").parse().unwrap_or(0);
            let wait = request.value("waitMs").parse().unwrap_or(0);
            let body = watch(shared, kind, after, Duration::from_millis(wait));
            http::answer(stream, "200 OK", json, body.as_bytes())
        }
        "GET" if name.is_empty() => {
            let state = shared.state.lock().unwrap();
            let after = request.value("after");
            let items = state.objects.iter();
            let items = items.filter(|((k, n), _)| k == kind && (after.is_empty() || n.as_str() > after));
            let mut items: Vec<String> =
                items.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
            let more = items.len() > 500;
            items.truncate(500);
            let (items, at) = (items.join(","), state.revision);
            drop(state);
            let body = format!("{{\"items\":[{items}],\"hasMore\":{more},\"at\":{at}}}");
            http::answer(stream, "200 OK", json, body.as_bytes())
        }
        "POST" | "PUT" => {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let Some(value) = Json::parse(&body) else {
                return http::answer(stream, "400 Bad Request", json, b"{}");
            };
            let named = value.get("metadata").and_then(|data| data.get("name"));
            let name = if name.is_empty() { named.map_or("", Json::text) } else { name };
            let spec = value.get("spec").map_or("null".into(), Json::render);
            let key = (kind.to_owned(), name.to_owned());
            let exists = shared.state.lock().unwrap().objects.contains_key(&key);
            if exists && request.method == "POST" {
                return http::answer(stream, "409 Conflict", json, b"{}");
            }
            put(shared, kind, name, &spec);
            http::answer(stream, "200 OK", json, body.as_bytes())
        }
        _ => http::answer(stream, "405 Method Not Allowed", json, b"{}"),
    }
}

fn watch(shared: &Shared, kind: &str, after: u64, wait: Duration) -> String {
    let end = Instant::now() + wait;
    let mut state = shared.state.lock().unwrap();
    loop {
        let events = state.history.iter();
        let events = events.filter(|change| change.kind == kind && change.revision > after);
        let events: Vec<String> = events
            .map(|change| {
                let object = object(&change.name, change.revision, &change.spec);
                format!("{{\"object\":{object},\"removed\":{}}}", change.removed)
            })
            .collect();
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
        }
        state = shared.changed.wait_timeout(state, left).unwrap().0;
    }
}
