//! A machine's process is killed and started again while stage calls that another
//! machine sent for it are at work.

use super::{ask, request_text, Site};
use crate::{
    record,
    workers::{Kind, Stage},
};
use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

/// Stage 1 needs the results of stage 0.
pub const STAGES: &str = "[{\"service\":\"parts\",\"after\":[],\"bytes\":8000},\
    {\"service\":\"parts\",\"after\":[0],\"bytes\":8000}]";
/// Time for a call of the stages, and more for each piece.
pub const CALL: Duration = Duration::from_millis(800);
pub const ITEM: Duration = Duration::from_millis(25);
const KILLS: u32 = 3;

pub fn config() -> String {
    config_with(STAGES, CALL, ITEM)
}

/// Returns a config with a route of streams that has these stages.
pub fn config_with(stages: &str, call: Duration, item: Duration) -> String {
    config_version(7, stages, call, item)
}

/// Returns a version of that config.
pub fn config_version(version: u32, stages: &str, call: Duration, item: Duration) -> String {
    let route = format!(
        "{{\"name\":\"draft\",\"host\":\"{}\",\"pathPrefix\":\"/draft/\",\"routeKind\":\"stream\",\
        \"timeoutMs\":8000,\"targetLatencyMs\":2000,\"gapGoalMs\":300,\"priority\":1,\"maxAttempts\":1,\
        \"public\":false,\"resumable\":false,\"sticky\":true,\"service\":\"model\",\"stages\":{stages}}}",
        super::HOST
    );
    format!(
        "{{\"version\":{version},\"routes\":[{route}],\"services\":[\
        {{\"name\":\"model\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"engine\":{{\"slots\":64,\
        \"kvCapacity\":353568,\"kvTokenBytes\":18432,\"linkMbps\":550000}}}},\
        {{\"name\":\"parts\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"pieces\":{{\"slots\":1,\"queue\":2,\
        \"batch\":8,\"callMs\":{},\"itemMs\":{},\"headroomMb\":36,\"handleS\":4,\"linkMbps\":10000}}}}],\
        \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
        \"idleTimeoutMs\":15000}},\
        \"tenants\":[{{\"name\":\"salon\",\"apiKeys\":[\"key-1\"],\"priority\":1}}]}}",
        call.as_millis(),
        item.as_millis()
    )
}

pub fn run(folder: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::new(&config());
    let stage = Stage { call: CALL, item: ITEM, queue: 2, kept: Duration::from_secs(4) };
    for number in 1..=3 {
        site.worker(&format!("i-parts-{number}"), "parts", 1, Kind::Stage(stage));
    }
    for number in 1..=2 {
        let kind = Kind::Model { events: 3, pause: Duration::from_millis(20) };
        site.worker(&format!("i-model-{number}"), "model", 64, kind);
    }
    site.start_hosts(folder, 3, &[])?;

    let site = &mut site;
    let sender = sender(site)?;
    // Another machine, which has served nothing yet.
    let home = (1..3).find(|number| *number != sender).unwrap_or(1);
    record(&format!("{} sends the calls, {} is killed", site.hosts[sender].name, site.hosts[home].name));

    let (name, address) = (site.hosts[home].name.clone(), site.hosts[home].front());
    let started = Instant::now();
    let mut threads = Vec::new();
    let mut kills = 0;
    let mut served = 0;
    let mut next_kill = Duration::from_millis(900);
    let mut back = None;

    while started.elapsed() < Duration::from_millis(900 + 2500 * u64::from(KILLS)) {
        let (attempt, text) = draft(site, "1,1", 8000);
        let name = name.clone();
        threads.push(thread::spawn(move || ask(&name, address, &attempt, &text, Duration::from_secs(9)).status));
        thread::sleep(Duration::from_millis(100));

        if trouble && back.is_none() && started.elapsed() >= next_kill && kills < KILLS {
            site.hosts[home].kill();
            kills += 1;
            next_kill += Duration::from_millis(2500);
            back = Some(Instant::now() + Duration::from_millis(200));
        }
        if back.is_some_and(|at| at <= Instant::now()) {
            back = None;
            site.hosts[home].start();
        }
    }
    for thread in threads {
        served += u32::from(thread.join().unwrap_or(0) == 200);
    }
    for host in &site.hosts {
        for line in host.logged("panicked") {
            record(&format!("log of {}: {line}", host.name));
        }
    }
    let foreign = std::mem::take(&mut *site.floor.foreign.lock().unwrap());
    record(&format!("{kills} kills, {served} requests served, {} foreign inputs", foreign.len()));
    if served == 0 {
        return Err("no request was served".into());
    }
    Ok(foreign.into_iter().map(|what| format!("MIXED: {what}")).collect())
}

/// Returns a request with these numbers of pieces.
pub fn draft(site: &Site, pieces: &str, deadline: u64) -> (String, Vec<u8>) {
    let attempt = site.attempt();
    let extra = format!(
        "X-Model: m\r\nX-Token-Counts: 300,20\r\nX-Prompt-Prefix: a1:100,b{attempt}:200\r\n\
        X-Pieces: {pieces}\r\nX-Piece-Key: {attempt}\r\n"
    );
    let text = request_text("POST", "/draft/2f", &attempt, deadline, &extra, b"{}");
    (attempt, text)
}

/// Sends one request, which shows the machine that sends the calls of the pool.
pub fn sender(site: &Site) -> Result<usize, String> {
    let (attempt, text) = draft(site, "1,1", 8000);
    let first = &site.hosts[0];
    let answer = ask(&first.name, first.front(), &attempt, &text, Duration::from_secs(9));
    if answer.status != 200 {
        return Err(format!("the first request got {}", answer.status));
    }
    let sender = site.hosts.iter().position(|host| host.metric("", "piece_calls") > 0.0);
    sender.ok_or_else(|| "no machine sent the calls of the pool".into())
}
