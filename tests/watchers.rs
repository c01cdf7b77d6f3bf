//! Tests of the selection of the hosts that watch the object API. They guard
//! against a number of watchers that grows with the fleet, and against hosts that
//! select differently.

use persimmoncleat::state::{fleet::watchers::watchers, id};

fn hosts(count: usize) -> Vec<(id::Host, id::Domain)> {
    (0..count)
        .map(|number| {
            let region = ["is-south", "is-north", "ga"][number % 3];
            let domain = format!("{region}-{}", number % 4);
            (format!("h{number}").into(), domain.as_str().into())
        })
        .collect()
}

fn select_watchers(hosts: &[(id::Host, id::Domain)]) -> Vec<id::Host> {
    let watchers = watchers(hosts.iter().map(|(host, domain)| (host, domain)));
    watchers.into_iter().cloned().collect()
}

#[test]
fn two_hosts_of_each_region_watch_in_any_fleet_size() {
    assert_eq!(select_watchers(&hosts(12)).len(), 6);
    assert_eq!(select_watchers(&hosts(900)).len(), 6);
    assert_eq!(select_watchers(&hosts(4)).len(), 4);
}

#[test]
fn selection_ignores_the_order_of_the_hosts() {
    let mut hosts = hosts(30);
    let first = select_watchers(&hosts);
    hosts.reverse();
    assert_eq!(select_watchers(&hosts), first);
}

#[test]
fn removing_a_watcher_replaces_only_that_watcher() {
    let mut hosts = hosts(30);
    let before = select_watchers(&hosts);
    hosts.retain(|(host, _)| *host != before[0]);
    let after = select_watchers(&hosts);
    assert_eq!(after.len(), 6);
    assert!(before[1..].iter().all(|host| after.contains(host)));
}
