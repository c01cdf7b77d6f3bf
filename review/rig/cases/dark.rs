//! A machine loses power for a moment while another machine works on jobs of its
//! requests: nobody closes its connections.

use super::{ask, restart, Site};
use crate::{
    host, record,
    relay::Relay,
    workers::{Kind, Stage},
};
use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

/// Time for which the machine has no power.
const DARK: Duration = Duration::from_millis(400);
/// Time for a call of the stages without its pieces.
const CALL: Duration = Duration::from_millis(1500);
/// Pause between two requests to the machine.
const PAUSE: Duration = Duration::from_millis(100);
/// The route's `timeoutMs`.
const TIMEOUT: Duration = Duration::from_millis(8000);

pub fn run(folder: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::new(&restart::config_with(restart::STAGES, CALL, restart::ITEM));
    let stage = Stage { call: CALL, item: restart::ITEM, queue: 2, kept: Duration::from_secs(4) };
    for number in 1..=8 {
        site.worker(&format!("i-parts-{number}"), "parts", 1, Kind::Stage(stage));
    }
    for number in 1..=2 {
        let kind = Kind::Model { events: 3, pause: Duration::from_millis(20) };
        site.worker(&format!("i-model-{number}"), "model", 64, kind);
    }
    // Links between machines pass a relay in front of each machine.
    let mut relays = Vec::new();
    for number in 1..=3 {
        let ip = host::ip(number);
        let relay = Relay::start((ip, 9028).into(), (ip, 8628).into());
        relays.push(relay.map_err(|error| error.to_string())?);
    }
    let changes = [
        ("peer_address = IP:8628".to_owned(), "peer_address = IP:9028\npeer_listen_address = IP:8628".to_owned()),
        (":8628,".to_owned(), ":9028,".to_owned()),
    ];
    site.start_hosts(folder, 3, &changes)?;
    let sender = restart::sender(&site)?;
    let home = (1..3).find(|number| *number != sender).unwrap_or(1);
    record(&format!("{} sends the calls, {} loses power", site.hosts[sender].name, site.hosts[home].name));

    let (name, address) = (site.hosts[home].name.clone(), site.hosts[home].front());
    let mut threads = Vec::new();
    let mut sent = 0;
    let mut send = |site: &Site, threads: &mut Vec<thread::JoinHandle<(Instant, u16, Duration)>>| {
        // A request has from one to four pieces of the first stage.
        sent += 1;
        let (attempt, text) = restart::draft(site, ["4,1", "1,1", "3,1", "2,1"][sent % 4], 12_000);
        let name = name.clone();
        threads.push(thread::spawn(move || {
            let started = Instant::now();
            let answer = ask(&name, address, &attempt, &text, TIMEOUT + Duration::from_secs(2));
            (started, answer.status, started.elapsed())
        }));
    };
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(600) {
        send(&site, &mut threads);
        thread::sleep(PAUSE);
    }
    if trouble {
        relays.iter().for_each(|relay| relay.set_power(false));
        site.hosts[home].kill();
        thread::sleep(DARK);
        site.hosts[home].start();
        relays.iter().for_each(|relay| relay.set_power(true));
    }
    let back = Instant::now();
    site.hosts[home].wait_ready(Duration::from_secs(2));
    record(&format!("{name} is back"));
    while back.elapsed() < Duration::from_secs(14) {
        send(&site, &mut threads);
        thread::sleep(PAUSE);
    }
    let used = site.hosts[home].processor_time();
    thread::sleep(Duration::from_secs(2));
    let used = site.hosts[home].processor_time() - used;
    let ready = site.hosts[home].is_ready();
    record(&format!("{name} used {used:.2} s of processor time in 2 s; ready: {ready}"));
    // In touch: three seconds after its return.
    let in_touch = back + Duration::from_secs(3);
    let (mut late, mut unanswered, mut served) = (0, 0, 0);
    for thread in threads {
        let Ok((started, status, time)) = thread.join() else { continue };
        served += u32::from(status == 200);
        if started >= in_touch && (status == 0 || time >= TIMEOUT) {
            late += 1;
            unanswered += u32::from(status == 0 && time >= TIMEOUT + Duration::from_millis(500));
        }
    }
    for host in &site.hosts {
        for line in host.logged("panicked") {
            record(&format!("log of {}: {line}", host.name));
        }
    }
    let foreign = std::mem::take(&mut *site.floor.foreign.lock().unwrap());
    record(&format!("served {served}; unanswered at the timeout {late}, half a second later {unanswered}; foreign inputs {}", foreign.len()));
    let mut broken = Vec::new();
    if unanswered * 2 > late {
        broken.push(format!("CONFIG: {unanswered} of {late} requests have no answer 0.5 s after their timeout; ready: {ready}; processor time in 2 s: {used:.2} s"));
    }
    broken.extend(foreign.into_iter().map(|what| format!("MIXED: {what}")));
    Ok(broken)
}
