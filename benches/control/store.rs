//! Calls of the object API, from the rules by which hosts make them.

use {
    crate::meter::float,
    persimmoncleat::state::{
        fleet::watchers::{region, watchers},
        id,
        lease::RENEWAL,
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Longest wait of one watch.
const WATCH: Duration = Duration::from_millis(2500);
/// Time between two lists of a watcher.
const RELIST: Duration = Duration::from_secs(2);
const CANDIDATES: f64 = 2.0;
const MODELS: f64 = 9.0;
const CHANGES_A_DAY: f64 = 64_000.0;
const DAY: Duration = Duration::from_secs(86_400);

/// Prints the calls a second of the whole fleet at several sizes.
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
        let watching = float(watchers(hosts.iter().map(|(host, domain)| (host, domain))).len());
        // A watch returns with each change, and is repeated when it ends.
        let watch = watching * (changes + 1.0 / WATCH.as_secs_f64());
        let list = watching / RELIST.as_secs_f64();
        let leases = MODELS / RENEWAL.as_secs_f64();
        let get = leases * (CANDIDATES - 1.0);
        let put = leases + changes + changes / 256.0;

        println!(
            "{size:>6} {:>8} {watching:>9.0} {watch:>8.2} {list:>8.2} {get:>8.2} {put:>8.2}",
            regions.len()
        );
    }

    println!();
}
