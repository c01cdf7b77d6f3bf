//! Tests that metrics are sent to the statsd address in its line format.

use {
    persimmoncleat::transport::metrics::Metrics,
    std::{net::UdpSocket, time::Duration},
};

#[test]
fn counters_times_and_gauges_are_sent() {
    let statsd = UdpSocket::bind("127.0.0.1:0").unwrap();
    statsd
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let metrics = Metrics::new(Some(statsd.local_addr().unwrap())).unwrap();
    let receive = || {
        let mut buffer = [0; 256];
        let read = statsd.recv(&mut buffer).unwrap();
        String::from_utf8(buffer[..read].to_vec()).unwrap()
    };

    metrics.count("answered");
    assert_eq!(receive().trim(), "persimmoncleat.answered:1|c");
    metrics.time("request", Duration::from_millis(12));
    assert_eq!(receive().trim(), "persimmoncleat.request:12|ms");
    metrics.gauge("backlog.draft.hvarfdal.volume.depth", 3);
    assert_eq!(
        receive().trim(),
        "persimmoncleat.backlog.draft.hvarfdal.volume.depth:3|g"
    );
}
