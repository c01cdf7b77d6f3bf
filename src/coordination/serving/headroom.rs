//! Measures the headroom of this host on the traffic thread, and tells the control
//! thread when the report changes.

use {
    crate::{
        coordination::serving::{control::Event, host::Host},
        state::fleet::headroom::{Change, Headroom, Sample},
        transport::{boot_clock, machine},
    },
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between checks whether the settings enable the measurement.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// Measures and reports while the settings enable it.
pub async fn run(host: Rc<Host>) {
    loop {
        if host.settings().headroom {
            measure(&host).await;
            report(&host, None);
            log::info!("headroom no longer reported");
        }

        sleep(SETTINGS_INTERVAL).await;
    }
}

/// Measures until the settings disable it.
async fn measure(host: &Host) {
    let mut headroom = Headroom::new(host.settings().cores);
    let mut last = boot_clock::now();
    let mut last_used = machine::processor_time();

    while host.settings().headroom {
        sleep(SAMPLE_INTERVAL).await;
        let (now, used) = (boot_clock::now(), machine::processor_time());
        let elapsed = now.since(last);
        let lateness = elapsed.saturating_sub(SAMPLE_INTERVAL);
        let sample = Sample {
            elapsed,
            lateness,
            used: used.saturating_sub(last_used),
        };
        (last, last_used) = (now, used);
        host.tally.time("traffic_thread_late", lateness, &[]);

        if let Some(change) = headroom.record(now, sample) {
            note(host, change);
        }
    }
}

fn note(host: &Host, change: Change) {
    let percent = change.report.to_string();
    host.tally
        .count("headroom_reports", &[("percent", percent.as_str())]);
    log::info!(
        percent = change.report,
        used_percent = change.used,
        late_percent = change.late;
        "headroom reported"
    );
    report(host, Some(change.report));
}

fn report(host: &Host, percent: Option<u8>) {
    // Fails only after the control thread has stopped.
    drop(host.control.send(Event::Headroom(percent)));
}
