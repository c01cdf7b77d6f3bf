//! Which hosts watch the store.

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

fn chosen(hosts: &[(id::Host, id::Domain)]) -> Vec<id::Host> {
    let watchers = watchers(hosts.iter().map(|(host, domain)| (host, domain)));
    watchers.into_iter().cloned().collect()
}

#[test]
fn two_hosts_of_each_region_watch_however_many_there_are() {
    assert_eq!(chosen(&hosts(12)).len(), 6);
    assert_eq!(chosen(&hosts(900)).len(), 6);
    assert_eq!(chosen(&hosts(4)).len(), 4);
}

#[test]
fn order_of_the_view_does_not_matter() {
    let mut hosts = hosts(30);
    let first = chosen(&hosts);
    hosts.reverse();
    assert_eq!(chosen(&hosts), first);
}

#[test]
fn only_a_watcher_that_goes_is_replaced() {
    let mut hosts = hosts(30);
    let before = chosen(&hosts);
    hosts.retain(|(host, _)| *host != before[0]);
    let after = chosen(&hosts);
    assert_eq!(after.len(), 6);
    assert!(before[1..].iter().all(|host| after.contains(host)));
}
