//! A host must report how busy it is, and must not change the report for nothing.

use {
    crate::fleet::member,
    capnp::message::Builder,
    persimmoncleat::{
        state::{
            clock::Time,
            fleet::{
                gossip::Message,
                headroom::{Headroom, Sample},
                member::Member,
                peers::Peers,
            },
        },
        transport::{peer_capnp::message, wire},
    },
    std::time::Duration,
};

/// Processor time of a small host, in cores.
const CORES: f64 = 0.12;

const INTERVAL: Duration = Duration::from_millis(50);

/// A host on virtual time, with samples of 50 ms.
struct Host {
    headroom: Headroom,
    now: Time,
    reports: Vec<u8>,
}

impl Host {
    fn new() -> Self {
        Self {
            headroom: Headroom::new(Some(CORES)),
            now: Time::from_millis(1000),
            reports: Vec::new(),
        }
    }

    /// Uses a part of the processor time for some seconds, while timers are late.
    fn run(&mut self, seconds: f64, used: impl Fn(usize) -> f64, lateness: Duration) {
        let elapsed = INTERVAL + lateness;
        let samples = (seconds / elapsed.as_secs_f64()) as usize;

        for index in 0..samples {
            self.now = self.now + elapsed;
            let used = elapsed.mul_f64(used(index) * CORES);
            let sample = Sample {
                elapsed,
                lateness,
                used,
            };
            let change = self.headroom.record(self.now, sample);
            self.reports.extend(change.map(|change| change.report));
        }
    }

    fn use_evenly(&mut self, seconds: f64, used: f64) {
        self.run(seconds, |_| used, Duration::ZERO);
    }
}

macro_rules! reports {
    ($($name:ident: $used:expr, $lateness_ms:expr => $reports:expr;)*) => {$(
        /// Uses a part of the processor time for 20 s, after a start without load.
        #[test]
        fn $name() {
            let mut host = Host::new();
            host.use_evenly(1.0, 0.0);
            host.run(20.0, $used, Duration::from_millis($lateness_ms));
            assert_eq!(host.reports, $reports);
        }
    )*};
}

reports! {
    idle_host_reports_all: |_| 0.02, 1 => [100];
    half_busy_host_reports_half: |_| 0.5, 1 => [100, 50];
    starved_host_reports_the_least: |_| 1.0, 0 => [100, 1];
    // Processor time is granted in the first part of each period of 100 ms.
    granted_in_periods_counts_on_average: |i| if i % 2 == 0 { 1.0 } else { 0.0 }, 1 => [100, 50];
    border_between_steps_is_not_crossed: |i| if i / 20 % 2 == 0 { 0.08 } else { 0.17 }, 1 => [100];
    short_bursts_change_nothing: |i| if i % 200 < 10 { 1.0 } else { 0.0 }, 1 => [100];
    // Slowed down five times: 50 ms of waiting take 250 ms, whatever it uses.
    slowed_host_reports_the_least: |_| 0.1, 200 => [100, 25];
}

#[test]
fn step_is_left_only_after_it_was_wrong_for_a_second() {
    let mut host = Host::new();
    host.use_evenly(5.0, 0.0);
    host.use_evenly(1.0, 1.0);
    assert_eq!(host.reports, [100]);
    host.use_evenly(1.0, 1.0);
    assert_ne!(host.reports, [100]);
}

/// Guards against work that moves back and forth: a host that gave it up gets it back
/// only after some seconds.
#[test]
fn recovered_host_reports_more_after_some_seconds() {
    let mut host = Host::new();
    host.use_evenly(10.0, 1.0);
    let before = host.reports.clone();
    host.use_evenly(2.5, 0.0);
    assert_eq!(host.reports, before);
    host.use_evenly(6.0, 0.0);
    assert_eq!(host.reports.last(), Some(&100));
}

#[test]
fn suspended_host_reports_little_for_a_short_time() {
    let mut host = Host::new();
    host.use_evenly(5.0, 0.1);
    host.run(20.0, |_| 0.0, Duration::from_secs(9));
    host.use_evenly(10.0, 0.1);
    assert_eq!(host.reports.last(), Some(&100));
    assert!(host.reports.len() <= 5, "{:?}", host.reports);
}

#[test]
fn host_without_known_cores_measures_its_lateness() {
    let mut host = Host::new();
    host.headroom = Headroom::new(None);
    host.use_evenly(5.0, 5.0);
    assert_eq!(host.reports, [100]);
    host.run(10.0, |_| 0.1, Duration::from_millis(60));
    assert_eq!(host.reports, [100, 50]);
}

fn with_headroom(headroom: Option<u8>, clock: u64) -> Member {
    Member {
        clock: Time::from_millis(clock),
        headroom,
        ..member("h", "d", 1000)
    }
}

macro_rules! over_a_link {
    ($($name:ident: $headroom:expr;)*) => {$(
        #[test]
        fn $name() {
            let message = Message {
                from: with_headroom($headroom, 1),
                known: 1,
                quarantine: Vec::new(),
                updates: Vec::new(),
            };
            let mut builder = Builder::new_default();
            wire::write_message(builder.init_root(), &message);
            let reader = builder.get_root_as_reader::<message::Reader>().unwrap();
            assert_eq!(wire::read_message(reader).unwrap(), message);
        }
    )*};
}

over_a_link! {
    headroom_passes_a_link: Some(25);
    missing_headroom_passes_a_link: None;
}

#[test]
fn changed_headroom_is_passed_on() {
    let mut peers = Peers::default();
    peers.merge(Time::ZERO, with_headroom(Some(100), 1), true);
    assert!(!peers.merge(Time::ZERO, with_headroom(Some(100), 2), true));
    assert!(peers.merge(Time::ZERO, with_headroom(Some(25), 3), true));
}

/// Guards against weights that change with each record that a host of an earlier
/// version relays, which knows no headroom.
#[test]
fn relayed_record_without_headroom_keeps_the_known_one() {
    let mut peers = Peers::default();
    peers.merge(Time::ZERO, with_headroom(Some(25), 1), true);
    assert!(!peers.merge(Time::ZERO, with_headroom(None, 2), false));
    assert_eq!(peers.members()[0].headroom, Some(25));
    // The host itself no longer reports it.
    assert!(peers.merge(Time::ZERO, with_headroom(None, 3), true));
    assert_eq!(peers.members()[0].headroom, None);
}

#[test]
fn implausible_headroom_counts_as_unused() {
    assert_eq!(with_headroom(Some(255), 1).unused(), 1.0);
    assert_eq!(with_headroom(None, 1).unused(), 1.0);
}
