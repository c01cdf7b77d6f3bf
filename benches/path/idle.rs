//! Measures the traffic and the processor time of hosts without requests.

use {
    crate::{deployment, process::Usage},
    stand_ins::{fleet::Fleet, object_api::Counts},
    std::{
        process::Command,
        thread,
        time::{Duration, Instant},
    },
};

const HOSTS: [usize; 3] = [2, 4, 8];
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(5);

/// Pause between the start of the hosts and the measurement, in which links open
/// and membership changes propagate.
const SETTLE: Duration = Duration::from_secs(3);

/// The resources that the hosts of a fleet have used since they started.
struct ResourceUsage {
    at: Instant,
    counts: Counts,
    /// Payload of the peer links, counting each byte once.
    link_bytes: u64,
    processor: Duration,
}

/// Measures fleets with several numbers of hosts.
pub fn run() {
    println!("\n## 6. Idle hosts\n");
    println!(
        "| hosts | peer link bytes/s per host, sent and received | daemon processor ms/s | object API calls/s of the fleet: get | put | delete | list | watch |"
    );
    println!("|--:|--:|--:|--:|--:|--:|--:|--:|");

    for hosts in HOSTS {
        measure(hosts);
    }
}

fn measure(hosts: usize) {
    let mut fleet = Fleet::without_hosts(&deployment::daemon());

    // All hosts are in one region, because two hosts of each region watch the
    // store. The region is the part of the domain's name before the last `-`.
    for number in 1..=hosts {
        fleet.start_host(&format!("h{number}"), &format!("r1-{number}"));
    }

    fleet.wait_ready();
    thread::sleep(SETTLE);
    let before = ResourceUsage::take(&fleet);
    thread::sleep(MEASUREMENT_PERIOD);
    let after = ResourceUsage::take(&fleet);
    let seconds = (after.at - before.at).as_secs_f64();
    let link_bytes = after.link_bytes.saturating_sub(before.link_bytes) as f64;
    let processor = (after.processor - before.processor).as_secs_f64();
    let calls = |count: fn(&Counts) -> u64| {
        let calls = count(&after.counts) - count(&before.counts);
        calls as f64 / seconds
    };

    println!(
        "| {hosts} | {:.0} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} |",
        2.0 * link_bytes / seconds / hosts as f64,
        1e3 * processor / seconds / hosts as f64,
        calls(|counts| counts.get),
        calls(|counts| counts.put),
        calls(|counts| counts.delete),
        calls(|counts| counts.list),
        calls(|counts| counts.watch),
    );
}

impl ResourceUsage {
    fn take(fleet: &Fleet) -> Self {
        Self {
            at: Instant::now(),
            counts: fleet.objects.counts(),
            link_bytes: link_bytes(fleet),
            processor: fleet
                .hosts
                .iter()
                .map(|host| Usage::of(host.pid()).processor)
                .sum(),
        }
    }
}

/// Returns the bytes that the kernel counts at the accepting end of each peer
/// link. The counters of the loopback interface would include unrelated traffic
/// of the machine, and a relay would be bypassed, because hosts exchange their
/// own addresses.
fn link_bytes(fleet: &Fleet) -> u64 {
    let ports: Vec<String> = fleet
        .hosts
        .iter()
        .map(|host| format!("sport = :{}", host.peer_address().port()))
        .collect();
    let output = Command::new("ss")
        .args(["-tinHO", &ports.join(" or ")])
        .output()
        .expect("ss of iproute2 is installed");
    assert!(output.status.success(), "ss failed: {output:?}");

    String::from_utf8_lossy(&output.stdout)
        .split_whitespace()
        .filter_map(|field| field.split_once(':'))
        .filter(|(name, _)| matches!(*name, "bytes_received" | "bytes_sent"))
        .filter_map(|(_, value)| value.parse::<u64>().ok())
        .sum()
}
