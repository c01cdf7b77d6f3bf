//! Measures the memory of requests in progress.

use {
    crate::{
        caller::{Caller, body},
        deployment,
        process::Usage,
    },
    stand_ins::{
        daemon::{Daemon, wait},
        endpoint::Kind,
        faults::FaultSwitches,
        fleet::Fleet,
        server::ANY_PORT,
    },
    std::{thread, time::Duration},
};

/// Maximum number of concurrent calls to one engine. The stand-in refuses a call
/// if 64 calls wait, and every call waits briefly, even if it can run at once.
const ENGINE_CALLS: &str = "64";
const ENGINES: usize = 18;
const REQUESTS: [usize; 2] = [500, 1000];

/// Time that an endpoint takes for a call, which exceeds that of the measurement.
const ENDPOINT_DELAY_MS: u64 = 30_000;
/// Maximum time until all requests have reached the endpoints.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between the arrival of the last request and the measurement.
const SETTLE: Duration = Duration::from_millis(500);

/// Holds requests in progress at slow endpoints. They end when the host is
/// killed.
pub fn run() {
    println!("\n## 4. Memory of requests in progress\n");
    println!(
        "| requests in progress | at endpoints | resident MB | threads | resident MB per 1,000 requests |"
    );
    println!("|--:|--:|--:|--:|--:|");
    let fleet = start();
    let host = fleet.host_named("h1");
    let caller = Caller::new(host.caller_address());
    deployment::warm_up(&caller, "slow");
    fleet.set_faults(
        "slow",
        &FaultSwitches {
            slow_ms: Some(ENDPOINT_DELAY_MS),
            ..FaultSwitches::default()
        },
    );
    let idle = Usage::of(host.pid()).resident_bytes;
    print_row(&fleet, host, 0, idle);
    let mut started = 0;

    for requests in REQUESTS {
        for _ in started..requests {
            let caller = Caller::new(host.caller_address());
            thread::spawn(move || caller.post("slow", &body()));
        }

        started = requests;
        wait("requests in progress", START_TIMEOUT, || {
            (at_endpoints(&fleet, host) >= started as u64).then_some(())
        });
        thread::sleep(SETTLE);
        print_row(&fleet, host, started, idle);
    }
}

fn start() -> Fleet {
    let mut fleet = Fleet::without_hosts(&deployment::daemon());
    fleet.change_settings(&[
        ("pipelines/slow", "stages", "slow"),
        ("pools/slow", "concurrency_limit", ENGINE_CALLS),
        ("pools/slow", "hedge", "off"),
        ("pools/slow", "kind", "engine"),
    ]);

    for number in 1..=ENGINES {
        fleet.start_endpoint(&format!("slow-{number}"), "slow", Kind::Engine, ANY_PORT);
    }

    deployment::add_hosts(&mut fleet, 1);
    fleet
}

fn at_endpoints(fleet: &Fleet, host: &Daemon) -> u64 {
    let answer = fleet.operator(host).get("/v1/admin/endpoints");
    let answer = answer.unwrap_or_default();
    let rows = answer["endpoints"].as_array().into_iter().flatten();
    rows.filter_map(|row| row["outstanding"].as_u64()).sum()
}

fn print_row(fleet: &Fleet, host: &Daemon, requests: usize, idle: u64) {
    let usage = Usage::of(host.pid());
    let bytes = usage.resident_bytes.saturating_sub(idle);
    let each = match requests {
        0 => "–".into(),
        requests => format!("{:.1}", bytes as f64 / requests as f64 / 1e3),
    };
    println!(
        "| {requests} | {} | {:.1} | {} | {each} |",
        at_endpoints(fleet, host),
        usage.resident_bytes as f64 / 1e6,
        usage.threads,
    );
}
