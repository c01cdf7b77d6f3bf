//! A config numbers the stages of a route so that a stage needs the results of one with a
//! higher number.

use super::{ask, restart, Site};
use crate::{
    record,
    workers::{Kind, Stage},
};
use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

/// Large results, then two stages that follow.
const ASCENDING: &str = "[{\"service\":\"parts\",\"after\":[],\"bytes\":3000000},\
    {\"service\":\"parts\",\"after\":[0],\"bytes\":60000},\
    {\"service\":\"parts\",\"after\":[1],\"bytes\":6000}]";
/// The same stages; the first of them has the highest number.
const OTHER: &str = "[{\"service\":\"parts\",\"after\":[2],\"bytes\":60000},\
    {\"service\":\"parts\",\"after\":[0],\"bytes\":6000},\
    {\"service\":\"parts\",\"after\":[],\"bytes\":3000000}]";
/// The route's `timeoutMs`.
const TIMEOUT: Duration = Duration::from_millis(8000);
/// The site's `configApplyMs`.
const APPLY: Duration = Duration::from_millis(2000);

pub fn run(folder: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let (call, item) = (Duration::from_millis(150), Duration::from_millis(16));
    let mut site = Site::new(&restart::config_version(7, ASCENDING, call, item));
    let stage = Stage { call, item, queue: 2, kept: Duration::from_secs(4) };
    for number in 1..=3 {
        site.worker(&format!("i-parts-{number}"), "parts", 1, Kind::Stage(stage));
    }
    let kind = Kind::Model { events: 3, pause: Duration::from_millis(20) };
    site.worker("i-model-1", "model", 64, kind);
    site.start_hosts(folder, 3, &[])?;
    let send = |site: &Site, number: usize| {
        let host = &site.hosts[number % 3];
        let (attempt, text) = restart::draft(site, "1,1,1", 12_000);
        let (name, address) = (host.name.clone(), host.front());
        thread::spawn(move || {
            let started = Instant::now();
            let answer = ask(&name, address, &attempt, &text, TIMEOUT + Duration::from_secs(2));
            (started.elapsed(), answer.status)
        })
    };
    let before: Vec<_> = (0..6).map(|number| send(&site, number)).collect();
    let before = before.into_iter().filter_map(|thread| thread.join().ok());
    let served = before.filter(|(_, status)| *status == 200).count();
    record(&format!("{served} of 6 requests served before the change"));
    if served < 6 {
        return Err("the first config is not served".into());
    }

    let stages = if trouble { OTHER } else { ASCENDING };
    site.store.put("config", "main", &restart::config_version(12, stages, call, item));
    record(&format!("config 12: stages {stages}"));
    thread::sleep(APPLY + Duration::from_millis(500));
    let mut threads = Vec::new();
    for number in 0..24 {
        threads.push(send(&site, number));
        thread::sleep(Duration::from_millis(150));
    }
    let (mut late, mut unanswered, mut served) = (0, 0, 0);
    for thread in threads {
        let Ok((time, status)) = thread.join() else { continue };
        served += u32::from(status == 200);
        late += u32::from(time >= TIMEOUT);
        unanswered += u32::from(status == 0 && time >= TIMEOUT + Duration::from_millis(500));
    }
    let ready = site.hosts.iter().filter(|host| host.is_ready()).count();
    record(&format!(
        "after the change: {served} of 24 served; unanswered at the timeout {late}, half a second later {unanswered}; {ready} of 3 machines ready"
    ));
    let broken = unanswered * 2 > late;
    Ok(broken
        .then(|| format!("CONFIG: {unanswered} of {late} requests have no answer 0.5 s after their timeout; {ready} of 3 machines ready"))
        .into_iter()
        .collect())
}
