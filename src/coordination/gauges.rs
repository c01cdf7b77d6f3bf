//! Reports the backlog and the scheduler's counters as gauges.

use {
    crate::{
        coordination::{control, gateway::Gateway, scheduling},
        state::backlog::Row,
    },
    std::{
        collections::BTreeSet,
        io,
        sync::{Arc, mpsc},
        thread,
        time::Duration,
    },
};

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the reporting thread. It ends after the control thread has stopped.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start(gateway: Arc<Gateway>) -> io::Result<()> {
    thread::Builder::new()
        .name("gauges".into())
        .spawn(move || {
            let mut reported = BTreeSet::new();

            while let Some(rows) = query_scheduler(&gateway, scheduling::Event::Backlog) {
                report_backlog(&gateway, &rows, &mut reported);

                let Some(report) = query_scheduler(&gateway, scheduling::Event::Endpoints) else {
                    return;
                };

                for (name, value) in report.counters {
                    gateway
                        .observer
                        .set_gauge(&format!("scheduler.{name}"), value);
                }

                let view = gateway.published.get();
                let outstanding = u64::from(view.local.outstanding);
                gateway.observer.set_gauge("outstanding", outstanding);
                gateway
                    .observer
                    .set_gauge("settings.version", view.policy.version);
                thread::sleep(REPORT_INTERVAL);
            }
        })?;

    Ok(())
}

/// Reports the gauges of every queue, and zeros for queues that have become
/// empty since the last report.
fn report_backlog(gateway: &Gateway, rows: &[Row], reported: &mut BTreeSet<String>) {
    let mut empty = std::mem::take(reported);

    for row in rows {
        let queue = queue_path(row);
        let gauges = [
            ("depth", u64::try_from(row.depth).unwrap_or(u64::MAX)),
            ("oldest_age_ms", millis(row.oldest)),
            ("estimated_lateness_ms", millis(row.lateness)),
        ];

        for (name, value) in gauges {
            gateway
                .observer
                .set_gauge(&format!("{queue}.{name}"), value);
        }

        empty.remove(&queue);
        reported.insert(queue);
    }

    for queue in empty {
        for name in ["depth", "oldest_age_ms", "estimated_lateness_ms"] {
            gateway.observer.set_gauge(&format!("{queue}.{name}"), 0);
        }
    }
}

/// Returns the metric path of a queue. Dots separate the parts of the path, so
/// a dot within a part is replaced.
fn queue_path(row: &Row) -> String {
    let part = |text: &str| text.replace('.', "_");

    format!(
        "backlog.{}.{}.{}",
        part(row.stage.as_str()),
        part(row.team.as_str()),
        part(row.class.as_str())
    )
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn query_scheduler<T>(
    gateway: &Gateway,
    event: impl FnOnce(mpsc::Sender<T>) -> scheduling::Event,
) -> Option<T> {
    let (reply, answer) = mpsc::channel();
    let event = control::Event::Scheduling(event(reply));
    gateway.control.send(event).ok()?;
    answer.recv().ok()
}
