//! A request omits a stage whose results another stage needs.

use super::{ask, restart, Site};
use crate::{
    record,
    workers::{Kind, Stage},
};
use std::{path::Path, thread, time::Duration};

/// Stage 2 needs the results of stages 0 and 1, and stage 1 those of stage 0.
const STAGES: &str = "[{\"service\":\"parts\",\"after\":[],\"bytes\":8000},\
    {\"service\":\"parts\",\"after\":[0],\"bytes\":8000},\
    {\"service\":\"parts\",\"after\":[0,1],\"bytes\":8000}]";

pub fn run(folder: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let (call, item) = (Duration::from_millis(150), Duration::from_millis(16));
    let mut site = Site::new(&restart::config_with(STAGES, call, item));
    let stage = Stage { call, item, queue: 2, kept: Duration::from_secs(4) };
    for number in 1..=3 {
        site.worker(&format!("i-parts-{number}"), "parts", 1, Kind::Stage(stage));
    }
    let kind = Kind::Model { events: 3, pause: Duration::from_millis(20) };
    site.worker("i-model-1", "model", 64, kind);
    site.start_hosts(folder, 3, &[])?;

    let pieces = if trouble { "2,0,2" } else { "2,1,2" };
    let mut served = 0;
    for number in 0..12 {
        let host = &site.hosts[number % 3];
        let (attempt, text) = restart::draft(&site, pieces, 8000);
        let answer = ask(&host.name, host.front(), &attempt, &text, Duration::from_secs(9));
        served += u32::from(answer.status == 200 && answer.complete);
        thread::sleep(Duration::from_millis(100));
    }
    let twice = std::mem::take(&mut *site.floor.twice.lock().unwrap());
    record(&format!("X-Pieces {pieces}: {served} of 12 requests served, {} inputs given twice", twice.len()));
    if served == 0 {
        return Err("no request was served".into());
    }
    Ok(twice.into_iter().map(|what| format!("MIXED: {what}")).collect())
}
