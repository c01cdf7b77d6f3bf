//! Computes the rate of calls of the object API from the rules that hosts follow.

use {
    crate::meter::to_f64,
    persimmoncleat::state::{
        fleet::watchers::{region, watchers},
        id,
        lease::RENEWAL,
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Maximum time that one watch call waits.
const WATCH_WAIT: Duration = Duration::from_millis(2500);
/// Interval between two list calls of a watcher.
const RELIST_INTERVAL: Duration = Duration::from_secs(2);
/// Number of hosts that contend for the lease of a model.
const CANDIDATES_PER_MODEL: f64 = 2.0;
const MODELS: f64 = 9.0;
/// Number of settings changes per day.
const CHANGES_A_DAY: f64 = 64_000.0;
const DAY: Duration = Duration::from_secs(86_400);

/// Prints the calls per second of the whole fleet for several numbers of hosts.
pub fn print(sizes: &[usize]) {
    let changes = CHANGES_A_DAY / DAY.as_secs_f64();
    println!("object API calls a second of the whole fleet, {changes:.2} changes a second");
    println!(
        "{:>6} {:>8} {:>9} {:>8} {:>8} {:>8} {:>8}",
        "hosts", "regions", "watchers", "watch", "list", "get", "put"
    );

    for size in sizes {
        let hosts: Vec<(id::Host, id::Domain)> = (0..*size)
            .map(|index| {
                let domain = format!("region{}-{}", index % 5, index % 17);
                (format!("host-{index:04}").into(), domain.into())
            })
            .collect();
        let regions: BTreeSet<&str> = hosts.iter().map(|(_, domain)| region(domain)).collect();
        let watching = to_f64(watchers(hosts.iter().map(|(host, domain)| (host, domain))).len());
        // A watch returns at each change or after its maximum wait, and is then
        // repeated.
        let watch = watching * (changes + 1.0 / WATCH_WAIT.as_secs_f64());
        let list = watching / RELIST_INTERVAL.as_secs_f64();
        let leases = MODELS / RENEWAL.as_secs_f64();
        let get = leases * (CANDIDATES_PER_MODEL - 1.0);
        let put = leases + changes + changes / 256.0;

        println!(
            "{size:>6} {:>8} {watching:>9.0} {watch:>8.2} {list:>8.2} {get:>8.2} {put:>8.2}",
            regions.len()
        );
    }

    println!();
}
