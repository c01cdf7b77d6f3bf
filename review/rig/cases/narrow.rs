//! A machine is stopped as planned while long answers pass narrow links of consumers.

use super::{ask, request_text, Site, HOST};
use crate::{host, record, relay, workers::Kind};
use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

const DEADLINE: Duration = Duration::from_millis(8000);
const GRACE: Duration = Duration::from_secs(8);
/// Time for which consumers still use the address of the machine. The directory's `ttlS`
/// is 2 s, and some consumers keep its answer three times as long.
const KEPT: Duration = Duration::from_millis(2400);
/// Bits a second of the link of a consumer.
const LINK: u64 = 20_000_000;
const BYTES: usize = 12_000_000;
const PAUSE: Duration = Duration::from_millis(400);

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"read\",\"host\":\"{HOST}\",\"pathPrefix\":\"/read/\",\
        \"routeKind\":\"idempotent\",\"timeoutMs\":8000,\"targetLatencyMs\":4000,\"priority\":1,\
        \"maxAttempts\":1,\"public\":false,\"service\":\"records\"}}],\"services\":[\
        {{\"name\":\"records\",\"healthPath\":\"/healthz\",\"maxConns\":110}}],\
        \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
        \"idleTimeoutMs\":15000}},\
        \"tenants\":[{{\"name\":\"salon\",\"apiKeys\":[\"key-1\"],\"priority\":1}}]}}"
    )
}

pub fn run(folder: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::new(&config());
    for number in 1..=3 {
        let kind = Kind::Plain { work: Duration::from_millis(20), bytes: BYTES };
        site.worker(&format!("i-records-{number}"), "records", 6, kind);
    }
    site.start_hosts(folder, 3, &[])?;
    let stopped = &site.hosts[1];
    let started = Instant::now();
    let stop_at = started + Duration::from_secs(4);
    let mut signalled: Option<Instant> = None;
    let mut threads = Vec::new();
    while Instant::now() < stop_at + KEPT {
        if trouble && signalled.is_none() && Instant::now() >= stop_at {
            stopped.signal(host::SIGTERM);
            signalled = Some(Instant::now());
        }
        // Each consumer has a link of its own.
        let address = relay::narrow(stopped.front(), LINK).map_err(|error| error.to_string())?;
        let attempt = site.attempt();
        let text = request_text("GET", "/read/2f", &attempt, DEADLINE.as_millis() as u64, "", b"");
        let name = stopped.name.clone();
        threads.push(thread::spawn(move || {
            let at = Instant::now();
            let answer = ask(&name, address, &attempt, &text, DEADLINE);
            (attempt, at, Instant::now(), answer)
        }));
        thread::sleep(PAUSE);
    }
    let mut broken = Vec::new();
    let mut served = 0;
    for thread in threads {
        let Ok((attempt, at, ended, answer)) = thread.join() else { continue };
        if answer.complete && answer.status == 200 && answer.body.len() == BYTES {
            served += 1;
            continue;
        }
        let since = |time: Instant| signalled.map_or(0.0, |signalled| (time - signalled).as_secs_f64());
        let what = format!(
            "request {attempt}: {} of {BYTES} bytes of its answer ({}) when the connection ended {:.3} s after the SIGTERM",
            answer.body.len(),
            answer.status,
            since(ended)
        );
        record(&what);
        let excused = ended - at >= DEADLINE || signalled.is_some_and(|signalled| ended > signalled + GRACE + Duration::from_secs(1));
        if !excused && answer.status != 503 {
            broken.push(format!("LOST: {what}"));
        }
    }
    record(&format!("{served} answers were complete"));
    if served == 0 {
        return Err("no request was served".into());
    }
    Ok(broken)
}
