//! An engine as a process of its own, which the case starts again after a crash.

#![allow(dead_code)]

use crate::rig::*;
use std::{
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    process::{Command, Stdio},
    sync::{Arc, Mutex},
    thread,
};

/// Id of the part of prompts that crashes engines.
pub const DEADLY: &str = "dead";

/// Where an engine crashes that begins to write an answer on the deadly part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Crash {
    Never,
    /// Once the head of the answer is written.
    Head,
    /// Once the first event is written too.
    Event,
}

impl Crash {
    fn name(self) -> &'static str {
        match self {
            Self::Never => "never",
            Self::Head => "head",
            Self::Event => "event",
        }
    }

    fn from_name(name: &str) -> Self {
        match name {
            "head" => Self::Head,
            "event" => Self::Event,
            _ => Self::Never,
        }
    }
}

/// Milliseconds between two events, and their number.
const EVENT_MS: u64 = 20;
const EVENTS: u64 = 60;

/// Time until the first event of an answer.
const FIRST_EVENT_MS: u64 = 30;

/// Runs an engine: `engine ID ADDRESS CRASH`.
pub fn run_engine(arguments: &[String]) -> ! {
    let [id, address, crash] = arguments else { std::process::exit(CANNOT_RUN) };
    let crash = Crash::from_name(crash);
    // Standard input ends with the process of the case.
    thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
    let Ok(listener) = TcpListener::bind(address) else { std::process::exit(CANNOT_RUN) };
    note("listening");
    for stream in listener.incoming().flatten() {
        let id = id.clone();
        let _ = stream.set_nodelay(true);
        thread::spawn(move || serve(&id, crash, stream));
    }
    std::process::exit(0);
}

/// Ends the process of an engine that crashes.
fn end_process() -> ! {
    note("crash");
    std::process::exit(70);
}

fn serve(id: &str, crash: Crash, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        if answer(id, crash, &request, &mut writer).is_err() {
            return;
        }
    }
}

fn answer(id: &str, crash: Crash, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
    let attempt = request.header("x-attempt-id").unwrap_or("-").to_owned();
    if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
        let head = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        );
        return writer.write_all(head.as_bytes());
    }
    let prompt = request.header("x-prompt-prefix").unwrap_or("");
    let deadly = prompt.split(',').any(|part| part.split(':').next() == Some(DEADLY));
    note(&format!("run {attempt} {}", if deadly { "deadly" } else { "sound" }));
    sleep_ms(FIRST_EVENT_MS);
    if request.path().starts_with("/brief/") {
        return answer_whole(id, crash, deadly, &attempt, writer);
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: stamp-of-{id}\r\n\
         X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    if deadly && crash == Crash::Head {
        end_process();
    }
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        if deadly && crash == Crash::Event {
            end_process();
        }
        sleep_ms(EVENT_MS);
    }
    writer.write_all(b"0\r\n\r\n")
}

/// Answers a request of a route that has no streams, with a length.
fn answer_whole(
    id: &str,
    crash: Crash,
    deadly: bool,
    attempt: &str,
    writer: &mut TcpStream,
) -> std::io::Result<()> {
    let body = format!("{{\"text\":\"brief of {attempt}\"}}");
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: stamp-of-{id}\r\n\
         X-Weight-Versions: 1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    writer.write_all(head.as_bytes())?;
    if deadly && crash != Crash::Never {
        end_process();
    }
    sleep_ms(EVENT_MS * EVENTS);
    writer.write_all(body.as_bytes())
}

/// What happened at the engines, as their processes reported it.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub deadly: bool,
}

#[derive(Default)]
pub struct Seen {
    pub runs: Mutex<Vec<Run>>,
    pub crashes: Mutex<Vec<u64>>,
}

fn free_address() -> SocketAddr {
    let listener = bind(Ipv4Addr::LOCALHOST, 0);
    listener.local_addr().expect("a bound listener has an address")
}

/// Keeps one engine running: after a crash it is back, under a new id, once `back_ms`
/// have passed.
pub fn supervise(number: usize, crash: Crash, back_ms: u64, store: Store, seen: Arc<Seen>) {
    let zone = format!("z{}", number % 3 + 1);
    thread::spawn(move || {
        let mut address = free_address();
        for start in 1.. {
            if stopped() {
                return;
            }
            let id = format!("i-e{number}x{start}");
            let program = std::env::current_exe().expect("the program has a path");
            let mut child = Command::new(program)
                .args(["engine", &id, &address.to_string(), crash.name()])
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .spawn()
                .unwrap_or_else(|error| cannot_run(&format!("an engine does not start: {error}")));
            let output = child.stdout.take().expect("standard output is piped");
            adopt(child);
            let mut crashed = false;
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if line == "listening" {
                    store.put("servers", &id, &entry("pool", address, &zone, 64, unix_ms()));
                    note(&format!("engine {id} listed at {address}"));
                    continue;
                }
                crashed |= line == "crash";
                let words = line.split(' ').collect::<Vec<&str>>();
                if let ["run", attempt, kind] = words[..] {
                    note(&format!("engine {id} runs {attempt} ({kind})"));
                    lock(&seen.runs).push(Run {
                        at: now(),
                        deadly: kind == "deadly",
                    });
                }
            }
            if stopped() {
                return;
            }
            if !crashed {
                // Another process has taken the port meanwhile.
                note(&format!("engine {id} could not start at {address}"));
                store.remove("servers", &id);
                address = free_address();
                continue;
            }
            lock(&seen.crashes).push(now());
            note(&format!("engine {id} crashed"));
            // Its entry goes after three check-in intervals of silence, or when it is back.
            sleep_ms(back_ms);
            store.remove("servers", &id);
        }
    });
}
