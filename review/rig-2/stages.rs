//! Workers of stage pools and engines that need their results, as threads of the case.

#![allow(dead_code)]

use crate::rig::*;
use std::{
    collections::HashSet,
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

/// Results that lie at workers of stage pools, by handle.
pub type Results = Arc<Mutex<HashSet<String>>>;

/// A request that reached a worker, other than one for another worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub path: String,
}

/// What a worker of a stage pool says in its answers.
#[derive(Clone, Debug, Default)]
pub struct Need {
    /// Turns the next call away with this `Retry-After`, in seconds.
    pub turn_away: Option<u64>,
    /// When a call was turned away.
    pub turned_away: Option<u64>,
    /// The `Server-Limit` in all answers, and when it was first named.
    pub limit: Option<&'static str>,
    pub named: Option<u64>,
}

pub struct StageWorker {
    pub id: String,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub need: Mutex<Need>,
    call_ms: u64,
    item_ms: u64,
    results: Results,
    /// Held by the call that is worked on.
    slot: Mutex<()>,
    waiting: AtomicU64,
}

fn handle(address: SocketAddr) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0x5c1e_07a2_0000);
    format!("{address}/{:x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Starts a worker of a stage pool and lists it in the store.
pub fn start_stage_worker(
    (id, service, zone): (&str, &str, &str),
    (call_ms, item_ms): (u64, u64),
    results: &Results,
    store: &Store,
) -> Arc<StageWorker> {
    let listener = bind(Ipv4Addr::LOCALHOST, 0);
    let address = listener.local_addr().expect("a bound listener has an address");
    let worker = Arc::new(StageWorker {
        id: id.into(),
        arrivals: Mutex::default(),
        need: Mutex::default(),
        call_ms,
        item_ms,
        results: Arc::clone(results),
        slot: Mutex::default(),
        waiting: AtomicU64::new(0),
    });
    let served = Arc::clone(&worker);
    accept(listener, move |stream| served.serve(address, stream));
    store.put("servers", id, &entry(service, address, zone, 1, unix_ms()));
    note(&format!("worker {id} of {service} listed at {address}"));
    worker
}

impl StageWorker {
    fn serve(&self, address: SocketAddr, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let (status, extra, body) = self.answer(address, &request);
            let limit = {
                let mut need = lock(&self.need);
                if need.limit.is_some() && need.named.is_none() {
                    need.named = Some(now());
                    note(&format!("worker {} names Server-Limit for the first time", self.id));
                }
                need.limit.map(|limit| format!("Server-Limit: {limit}\r\n"))
            };
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\n{extra}{}\
                 X-Instance-Load: {},0,1\r\nContent-Length: {}\r\n\r\n{body}",
                limit.unwrap_or_default(),
                self.waiting.load(Ordering::Relaxed),
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, address: SocketAddr, request: &Message) -> (&'static str, String, String) {
        let refusal = "X-Not-Executed: 1\r\n".to_owned();
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return ("421 Misdirected Request", refusal, String::new());
        }
        let text = request.text();
        let count = match request.path() {
            "/stage-run" => text.matches("\"piece\":").count(),
            _ => text.matches('/').count(),
        };
        note(&format!("worker {} gets {} with {count}", self.id, request.path()));
        lock(&self.arrivals).push(Arrival { at: now(), path: request.path().into() });
        match request.path() {
            "/stage-run" => {
                let turned_away = {
                    let mut need = lock(&self.need);
                    let seconds = need.turn_away.take();
                    if seconds.is_some() {
                        need.turned_away = Some(now());
                    }
                    seconds
                };
                if let Some(seconds) = turned_away {
                    note(&format!("worker {} answers 503 with Retry-After: {seconds}", self.id));
                    let extra = format!("{refusal}Retry-After: {seconds}\r\n");
                    return ("503 Service Unavailable", extra, String::new());
                }
                self.run(address, &text)
            }
            "/stage-free" => {
                let list = json_field(&text, "handles").unwrap_or("[]");
                let handles = list.trim_matches(['[', ']']).split(',');
                let mut results = lock(&self.results);
                for handle in handles {
                    results.remove(unquote(handle.trim()));
                }
                ("200 OK", String::new(), "{}".into())
            }
            _ => ("404 Not Found", String::new(), "{}".into()),
        }
    }

    fn run(&self, address: SocketAddr, text: &str) -> (&'static str, String, String) {
        if self.waiting.fetch_add(1, Ordering::Relaxed) > 2 {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return ("503 Service Unavailable", "X-Not-Executed: 1\r\n".into(), String::new());
        }
        let slot = lock(&self.slot);
        let items = json_objects(json_field(text, "items").unwrap_or("[]"));
        let mut answers = Vec::new();
        for item in &items {
            let inputs = json_field(item, "inputs").unwrap_or("[]");
            let inputs = inputs.trim_matches(['[', ']']).split(',').filter(|text| !text.is_empty());
            let results = lock(&self.results);
            let mut inputs = inputs.map(|input| unquote(input.trim()));
            let gone = inputs.any(|input| !results.contains(input));
            answers.push(match gone {
                true => "{\"reason\":\"gone\"}".to_owned(),
                false => format!("{{\"handle\":\"{}\"}}", handle(address)),
            });
        }
        sleep_ms(self.call_ms + self.item_ms * items.len() as u64);
        for answer in &answers {
            if let Some(handle) = json_field(answer, "handle") {
                lock(&self.results).insert(unquote(handle).to_owned());
            }
        }
        drop(slot);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        ("200 OK", String::new(), format!("{{\"items\":[{}]}}", answers.join(",")))
    }
}

/// Starts an engine with a number of slots; an answer has `events` events, one each
/// `event_ms`. The engine fetches the inputs when a request arrives.
pub fn start_engine_thread(
    (id, service, zone): (&str, &str, &str),
    (slots, events, event_ms): (usize, u64, u64),
    results: &Results,
    store: &Store,
) {
    let listener = bind(Ipv4Addr::LOCALHOST, 0);
    let address = listener.local_addr().expect("a bound listener has an address");
    let (results, own) = (Arc::clone(results), id.to_owned());
    let running = Arc::new(AtomicU64::new(0));
    accept(listener, move |stream| {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let attempt = request.header("x-attempt-id").unwrap_or("-").to_owned();
            let refuse = |status: &str| {
                format!(
                    "HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n\
                     Content-Length: 0\r\n\r\n"
                )
            };
            let inputs = request.header("x-inputs").unwrap_or("");
            let inputs = inputs.split(',').map(str::trim).collect::<Vec<&str>>();
            let gone = inputs.iter().any(|input| !lock(&results).contains(*input));
            let gone = gone && request.path().starts_with("/dossier/");
            let refusal = if request.header("x-expect-instance").is_some_and(|id| id != own) {
                Some(refuse("421 Misdirected Request"))
            } else if gone {
                Some(refuse("409 Conflict"))
            } else if running.load(Ordering::Relaxed) >= slots as u64 {
                Some(refuse("503 Service Unavailable"))
            } else {
                None
            };
            if let Some(refusal) = refusal {
                note(&format!("engine {own} refuses {attempt}: {}", &refusal[9..12]));
                if writer.write_all(refusal.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            running.fetch_add(1, Ordering::Relaxed);
            note(&format!("engine {own} runs {attempt}"));
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: stamp-of-{own}\r\n\
                 X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            );
            let mut written = writer.write_all(head.as_bytes());
            for number in 1..=events {
                sleep_ms(event_ms);
                let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                written = written.and_then(|()| writer.write_all(chunk.as_bytes()));
            }
            written = written.and_then(|()| writer.write_all(b"0\r\n\r\n"));
            running.fetch_sub(1, Ordering::Relaxed);
            if written.is_err() {
                return;
            }
        }
    });
    store.put("servers", id, &entry(service, address, zone, slots, unix_ms()));
    note(&format!("engine {id} of {service} listed at {address}"));
}

/// A stage of the only route: its service, the stages before it, and the pieces a call
/// and times of the service.
pub struct Stage {
    pub service: &'static str,
    pub after: &'static str,
    pub batch: u64,
    pub call_ms: u64,
    pub item_ms: u64,
}

/// Returns a configuration with a route `chat` without stages and, if there are stages, a
/// route `dossier` with them. Both go to the engines of `pool`.
pub fn staged_config(version: u64, stages: &[Stage], engine_slots: usize) -> String {
    let route = |name: &str, stages: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST_NAME}\",\"pathPrefix\":\"/{name}/\",\
             \"routeKind\":\"stream\",\"service\":\"pool\",\"stages\":[{stages}],\
             \"timeoutMs\":8000,\"targetLatencyMs\":2000,\"gapGoalMs\":300,\"priority\":1,\
             \"maxAttempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false}}"
        )
    };
    let mut routes = vec![route("chat", "")];
    let mut services = vec![format!(
        "{{\"name\":\"pool\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"engine\":{{\
         \"slots\":{engine_slots},\"kvCapacity\":353568,\"kvTokenBytes\":18432,\
         \"linkMbps\":550000}}}}"
    )];
    if !stages.is_empty() {
        let listed = stages.iter().map(|stage| {
            let Stage { service, after, .. } = stage;
            format!("{{\"service\":\"{service}\",\"after\":{after},\"bytes\":8000}}")
        });
        routes.push(route("dossier", &listed.collect::<Vec<String>>().join(",")));
        services.extend(stages.iter().map(|stage| {
            format!(
                "{{\"name\":\"{}\",\"maxConns\":370,\"pieces\":{{\"slots\":1,\"queue\":2,\
                 \"batch\":{},\"callMs\":{},\"itemMs\":{},\"headroomMb\":36,\"handleS\":4,\
                 \"linkMbps\":10000}}}}",
                stage.service, stage.batch, stage.call_ms, stage.item_ms
            )
        }));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}]{}",
        routes.join(","),
        services.join(","),
        config_tail()
    )
}

/// What a consumer got for one request.
#[derive(Clone, Debug)]
pub struct Asked {
    pub sent: u64,
    pub route: &'static str,
    pub served: bool,
}

pub static ASKED: Mutex<Vec<Asked>> = Mutex::new(Vec::new());

/// Sends one request of a route and notes its answer.
pub fn ask(front: SocketAddr, route: &'static str, number: u64, pieces: &'static str) {
    std::thread::spawn(move || {
        let (attempt, sent) = (attempt_id(), now());
        let extra = format!(
            "X-Model: m\r\nX-Token-Counts: 900,40\r\n\
             X-Prompt-Prefix: 5c1e:400,ab{:x}:300,{:x}:200\r\n\
             X-Pieces: {pieces}\r\nX-Piece-Key: 7c1e{number:08x}\r\n",
            number % 20,
            0x10000 + number
        );
        note(&format!("consumer sends {attempt} ({route})"));
        let answer = send(front, &format!("/{route}/a"), &attempt, 8000, &extra);
        let served = answer.as_ref().is_some_and(|answer| answer.status() == 200 && answer.complete);
        lock(&ASKED).push(Asked { sent, route, served });
        match answer {
            Some(answer) => note(&format!(
                "consumer of {attempt} ({route}) gets {} {}, {} events {}",
                answer.status(),
                if answer.complete { "whole" } else { "broken off" },
                answer.text().matches("id: ").count(),
                if answer.status() == 200 { String::new() } else { answer.text().trim().to_owned() },
            )),
            None => note(&format!("consumer of {attempt} ({route}) gets no answer")),
        }
    });
}
