//! A machine is stopped as planned while requests that it accepted wait for a busy
//! stage pool.

use super::{ask, restart, Site};
use crate::{
    host, record,
    workers::{Kind, Stage},
};
use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

const CALL: Duration = Duration::from_millis(800);
const ITEM: Duration = Duration::from_millis(25);
const DEADLINE: Duration = Duration::from_millis(8000);
/// The figures of the site's sheet.
const GRACE: Duration = Duration::from_secs(8);
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time for which consumers still use the address of the machine. The directory's `ttlS`
/// is 2 s, and some consumers keep its answer three times as long.
const KEPT: Duration = Duration::from_millis(2400);

struct Sent {
    attempt: String,
    at: Instant,
    ended: Instant,
    complete: bool,
    to_stopped: bool,
    status: u16,
}

pub fn run(folder: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::new(&restart::config_with(restart::STAGES, CALL, ITEM));
    let stage = Stage { call: CALL, item: ITEM, queue: 2, kept: Duration::from_secs(4) };
    for number in 1..=2 {
        site.worker(&format!("i-parts-{number}"), "parts", 1, Kind::Stage(stage));
    }
    let kind = Kind::Model { events: 3, pause: Duration::from_millis(20) };
    site.worker("i-model-1", "model", 64, kind);
    site.start_hosts(folder, 3, &[])?;
    let sender = restart::sender(&site)?;
    let stopped = (1..3).find(|number| *number != sender).unwrap_or(1);
    record(&format!("{} sends the calls, {} is stopped", site.hosts[sender].name, site.hosts[stopped].name));

    // Twenty requests a second with two pieces each, half of them at the machine that is
    // stopped. The pool makes sixteen pieces a second.
    let started = Instant::now();
    let stop_at = started + Duration::from_secs(12);
    let mut signalled = None;
    let mut threads = Vec::new();
    let mut number = 0;
    while Instant::now() < stop_at + GRACE + Duration::from_secs(1) {
        if trouble && signalled.is_none() && Instant::now() >= stop_at {
            site.hosts[stopped].signal(host::SIGTERM);
            signalled = Some(Instant::now());
        }
        number += 1;
        let gone = signalled.is_some_and(|at: Instant| at.elapsed() > KEPT);
        let to_stopped = number % 2 == 0 && !gone;
        let other = (0..3).filter(|host| *host != stopped).nth(number / 2 % 2).unwrap_or(0);
        let host = &site.hosts[if to_stopped { stopped } else { other }];
        let (attempt, text) = restart::draft(&site, "1,1", DEADLINE.as_millis() as u64);
        let (name, address) = (host.name.clone(), host.front());
        threads.push(thread::spawn(move || {
            let at = Instant::now();
            let answer = ask(&name, address, &attempt, &text, DEADLINE + Duration::from_secs(1));
            let (ended, complete, status) = (Instant::now(), answer.complete, answer.status);
            Sent { attempt, at, ended, complete, to_stopped, status }
        }));
        thread::sleep(Duration::from_millis(50));
    }
    let sent: Vec<Sent> = threads.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let work = std::mem::take(&mut *site.floor.work.lock().unwrap());
    let served = sent.iter().filter(|sent| sent.status == 200 && sent.complete).count();
    record(&format!("{} requests sent, {served} served", sent.len()));
    if served == 0 {
        return Err("no request was served".into());
    }
    let Some(signalled) = signalled else {
        let cut = sent.iter().filter(|sent| !sent.complete).count();
        record(&format!("{cut} connections without a complete answer"));
        return Ok((cut > 0).then(|| format!("{cut} connections without a complete answer")).into_iter().collect());
    };
    let mut broken = Vec::new();
    for request in sent.iter().filter(|sent| sent.to_stopped && !sent.complete) {
        let age = request.ended - request.at;
        let after = request.ended.saturating_duration_since(signalled);
        let in_grace = request.ended >= signalled && after <= GRACE + Duration::from_secs(1);
        // What the rule does not count.
        let last_sixth = signalled + GRACE * 5 / 6;
        let worked = work.iter().any(|(id, began, ended)| {
            *id == request.attempt && *ended >= last_sixth && *began <= request.ended
        });
        let excused = age >= DEADLINE || worked && request.at <= signalled + Duration::from_secs(3);
        let what = format!(
            "request {} sent {:.3} s after the SIGTERM, cut {:.3} s after it; at work in the last sixth: {worked}",
            request.attempt,
            request.at.saturating_duration_since(signalled).as_secs_f64(),
            after.as_secs_f64()
        );
        record(&format!("cut: {what}"));
        if in_grace && age > LOSS_SLACK && !excused && request.at >= signalled {
            broken.push(format!("LOST: {what}"));
        }
    }
    Ok(broken)
}
